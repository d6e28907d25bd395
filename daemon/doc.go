// Package daemon wires the packages into the process that runs on every entry host, and manages its life cycle.
package daemon
