// Package local runs a small deployment in one process: daemons and stand-ins of engines, plain services' endpoints
// and the platform. They are connected by sockets on loopback or by a network in memory. The demo and the tests use it.
package local
