package intake

// Memory lends memory for what a request comes to hold while it is served.
type Memory interface {
	// Extend asks for more bytes. It does not wait, and reports whether they were granted.
	Extend(bytes int64) bool
	// Return gives back bytes that were granted.
	Return(bytes int64)
}

const (
	// freeBytes is the part of RequestCost that is meant for the answer.
	freeBytes = 4 << 10
	// extendBytes is the least that is asked for at once, and extendShare the part of what is in use already.
	extendBytes, extendShare = 4 << 10, 4
)

// Allowance counts what a request comes to hold of its answer. What is left when the request ends goes back with its connection. A nil one
// grants everything. It is used by one goroutine.
type Allowance struct {
	memory Memory
	free   int64
	used   int64
}

// NewAllowance returns the allowance of a request that has been admitted.
func NewAllowance(m Memory) *Allowance { return &Allowance{memory: m, free: freeBytes} }

// Use counts bytes before they are held. It reports whether there is memory for them; if not, none is counted.
func (a *Allowance) Use(bytes int64) bool {
	if a == nil {
		return true
	}
	if lack := bytes - a.free; lack > 0 {
		more := max(lack, extendBytes, a.used/extendShare)
		if !a.memory.Extend(more) {
			return false
		}
		a.free += more
	}
	a.free -= bytes
	a.used += bytes
	return true
}

// Release gives back bytes that Use has counted and that are no longer held.
func (a *Allowance) Release(bytes int64) {
	if a == nil {
		return
	}
	a.used -= bytes
	a.free += bytes
	if surplus := a.free - freeBytes; surplus > 0 {
		a.free -= surplus
		a.memory.Return(surplus)
	}
}
