// Package ctl implements bramleyctl, the operators' command line: it validates and publishes configurations, shows the state of
// daemons, and reads and prunes stored bills and claims.
package ctl
