// Package bench measures the decisions about models: which version answers, when a cascade climbs, and how a roll-out
// advances and halts; and the latency that the packages pool and dispatch reach before fake engines. It drives these
// packages directly against small fakes under a fake clock, reproducibly by seed. It models no network, no fleet of
// processes and no machines.
package bench
