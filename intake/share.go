package intake

const (
	// callerShare is the part of a daemon's memory for everything that callers make it hold, and bodyShare the part up to which it is given to
	// bodies above SmallBytes. Together with the daemon's own heap they stay under HeapShare, so that the garbage collector does not run
	// all the time.
	callerShare, bodyShare = 0.45, 0.4
	// connectionShare is the part that connections may use.
	connectionShare = 0.3
	// HeapShare is the part that the runtime's soft limit allows for the heap.
	HeapShare = 0.6
)

// LimitsFor returns the limits on memory for a daemon that may use a number of bytes, and the largest number of connections, each of which
// uses connectionCost.
func LimitsFor(memory, connectionCost int64) (l Limits, connections int) {
	m := float64(memory)
	return Limits{Memory: int64(callerShare * m), Bodies: int64(bodyShare * m), Connection: connectionCost}, int(connectionShare * m / float64(connectionCost))
}
