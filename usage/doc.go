// Package usage counts the requests of teams in windows of time, and decides when the counts of a window are complete and what may be
// reported of them to the platform.
package usage
