// Package local runs a small deployment in one process on loopback: daemons, fake engines and plain services, and a fake
// platform, connected by real sockets. The demo and the tests use it.
package local
