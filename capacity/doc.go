// Package capacity measures how the cost of a daemon grows with the size of a deployment. It starts daemons and a
// stand-in for the platform and the endpoints as processes on loopback, reads their processor time, memory, bytes and
// calls, and fits straight lines to the figures.
package capacity
