// Package chaos runs a small real deployment on loopback under load, injects failures from a seeded schedule, and checks
// the invariants of the design against the record of what endpoints ran, what callers received and what was billed. It
// uses no counter of the daemons.
package chaos
