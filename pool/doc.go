// Package pool keeps the endpoint table of a daemon. It decides which endpoints the daemon may use, how much work it
// may send to each of them, and which one serves a request. It makes no network calls and reads no clock: callers pass
// in load reports, outcomes and the current time.
//
// The limits of an endpoint apply to all daemons together. Rendezvous hashing assigns a set of daemons to each
// endpoint, and each daemon computes its share of the limit from its rank in that set, so the daemons need not exchange
// messages.
package pool
