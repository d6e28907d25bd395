// Package entry is the HTTP server for callers, and for the ports of readiness checks and operators. It passes requests of callers to the
// pipeline. What clients make it hold is counted before it is read; package intake decides.
package entry
