// Package capacity measures how the resource use of a daemon grows with the size of a deployment. It starts daemons, and a
// stand-in that simulates the platform and the endpoints, as processes on loopback. It reads their processor time, memory,
// control traffic and platform calls, and fits straight lines to the measurements.
package capacity
