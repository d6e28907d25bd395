// Package chaos runs a small deployment of real daemons under load, on loopback or on in-memory connections, injects failures
// from a seeded schedule, and checks invariants against the records of what endpoints executed, what callers received and
// what was billed. It does not rely on metrics of the daemons.
package chaos
