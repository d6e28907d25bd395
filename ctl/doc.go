// Package ctl implements bramleyctl, the operators' command line: it validates and publishes configurations, shows the state of
// daemons, reads and prunes stored bills and claims, and evaluates logs.
package ctl
