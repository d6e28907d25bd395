// Package cachemove moves the KV cache of a session to the endpoint that serves its next turn, if that is faster than a
// fresh prefill. The decision is pure code on rates that are learned from first tokens and from moves. The data streams from
// the old endpoint to the new one through the daemon and is never held as a whole. A move that is not made, fails or takes
// too long costs a prefill and nothing else.
package cachemove
