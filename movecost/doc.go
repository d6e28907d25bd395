// Package movecost is a cost model of moves of KV caches: endpoints that prefill one prompt at a time, and a link that the
// moves of a daemon share. It measures the decisions of package cachemove and is meant for the fake clock of
// testing/synctest.
package movecost
