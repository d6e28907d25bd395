// Package peer connects the daemons of a deployment through net/rpc. It distributes versioned documents (the
// configuration and the host list) by push-pull gossip with a bounded set of peers, broadcasts crash records, sends
// copies of bills to other daemons, and delivers counts of calls and answers to the daemons that evaluate them.
package peer
