// Package bench measures the decisions about models: which version answers a request, when a cascade escalates, and how a
// rollout advances and halts. It also measures the latency that packages pool and dispatch reach in front of simulated
// engines. It calls these packages directly, with small fakes around them and a fake clock, and a seed reproduces a run. It
// does not model networks, processes or machines.
package bench
