// Package bench measures the decisions about models: which version answers, when a cascade climbs, and how a roll-out
// advances and halts. It drives the decision packages directly against small fakes under a fake clock, reproducibly by
// seed. It models no network, no fleet of processes and no machines.
package bench
