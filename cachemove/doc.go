// Package cachemove moves the KV cache of a session to the endpoint that serves its next turn, if that is faster than
// computing it again in a full prefill. Decide is a pure function of rates that are measured on first tokens and on moves.
// The data streams from the old endpoint to the new one through the daemon, which never holds all of it. A move that is not
// made, fails or takes too long costs a prefill and nothing else.
package cachemove
