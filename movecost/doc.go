// Package movecost simulates moves of KV caches, to measure the decisions of package cachemove. In its cost model, endpoints
// prefill one prompt at a time, and the moves of a daemon share the bandwidth of one link. It sleeps for the simulated times,
// so it should run under the fake clock of testing/synctest.
package movecost
