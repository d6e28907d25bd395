// Package rollout decides when a rollout advances to its next step and when it is halted, by a sequential statistical
// test of the new version against the old one. It also holds the steps in force at a daemon. The package makes no network
// calls; callers supply evidence, time and state.
package rollout
