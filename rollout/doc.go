// Package rollout compares the versions of a roll-out by a sequential test, advances or halts its steps, and keeps the
// steps in force. It makes no network calls; evidence, time and state are handed in.
package rollout
