// Package pool is the endpoint table. It decides which endpoints a daemon may use, how much work it may give to each,
// and which one serves a request. It makes no network calls; reports and outcomes are handed in with their time.
//
// The limits of an endpoint hold over all daemons together. Each endpoint is assigned to a set of daemons by rendezvous
// hashing, and each of them may use its share of the limit, computed from its rank in that set. No message is needed.
package pool
