// Package peer connects the daemons of a deployment with net/rpc. It spreads versioned documents (the configuration and
// the host list) by push-pull gossip over a bounded set of peers, and carries copies of bills and crash records.
package peer
