// Package intake decides what a daemon holds in memory for its callers: which connection may receive more, which waits, which is
// refused and which is closed. Its state machine has no lock, clock or network. It is designed for some thousand connections and a
// decision for each header section and body; searching for connections to close, which reads all of them, happens only when
// the budget is used up.
package intake

import "time"

const (
	// ConnectionCost is the memory in bytes that an open connection uses: its goroutine, buffers and entries in tables.
	ConnectionCost = 16 << 10
	// SecureConnectionCost is ConnectionCost with TLS, which holds a record of 16 KiB while it is read, and another one while it is
	// decrypted.
	SecureConnectionCost = 56 << 10
	// RequestCost is the memory in bytes that a request uses while it is served, beside its header section and its body: the connection to
	// an endpoint with its goroutines and buffers, the head of the response, the part of the answer that is being passed on, and what was
	// decoded of the request.
	RequestCost = 24 << 10
)

// loneAnswer is the memory in bytes for the answer to the only request on a daemon: 1 MiB of text with its copies.
const loneAnswer = 8 << 20

const (
	// SmallBytes is the size up to which a body counts as small. Small bodies and header sections may use the part of the budget
	// that Limits.Bodies leaves, and larger connections are closed for them.
	SmallBytes = 64 << 10
	// closeFactor is the ratio of what a connection that makes progress holds to what a small request needs, from which on the
	// connection is closed for it. Requests of similar size would otherwise close each other.
	closeFactor = 4
	// garbageShare is the inverse of the part of Limits.Bodies that garbage may reach before it is collected.
	garbageShare = 4
	// progressBytes is what a connection must have sent to have made progress. Single bytes now and then are none.
	progressBytes = 1 << 10
)

// Limits bound what is held for callers.
type Limits struct {
	Memory int64 // bytes for everything: connections, header sections, bodies, requests in flight and their answers
	Bodies int64 // up to which Memory is given to bodies above SmallBytes and to answers; the rest is left for small requests
	// Connection is the memory that an open connection uses; 0 for ConnectionCost.
	Connection int64
	// Stall is the time without progress after which a connection may be closed if its memory or place is needed.
	Stall time.Duration
	// ReadsOnly says that requests change nothing: a connection gives up its place also while its request is being served or waits for
	// memory, and is closed without a response, which would take time.
	ReadsOnly bool
	// Wait is the longest wait for memory.
	Wait time.Duration
	// HeaderTimeout limits the time from the first byte of a header section to its end, IdleTimeout that without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	Idle      Phase = iota // between requests, or before the first one
	Receiving              // a header section is arriving
	Body                   // a body is arriving
	Serving                // the request is complete; it is never closed for its memory
)

// Kind is what memory is used for.
type Kind int

// Kinds of memory.
const (
	KindHeader  Kind = iota
	KindBody         // also the copies of a body that are made for its calls
	KindRequest      // of a request in flight, see RequestCost
	KindAnswer       // what is held of the answer beyond that
	Kinds            // number of kinds
)

// String returns the name of the kind, as metrics show it.
func (k Kind) String() string { return [Kinds]string{"header", "body", "request", "answer"}[k] }

// Reason says why a connection was refused or closed.
type Reason string

// Reasons.
const (
	ReasonNone          Reason = ""
	ReasonStalled       Reason = "stalled"        // made no progress while its memory or place was needed
	ReasonLargest       Reason = "largest"        // held most while others needed memory
	ReasonMemory        Reason = "memory"         // waited too long for memory
	ReasonPlace         Reason = "place"          // idle while its place was needed
	ReasonHeaderTimeout Reason = "header_timeout" // the header section took too long
	ReasonIdleTimeout   Reason = "idle_timeout"
	ReasonHeaderSize    Reason = "header_size" // set by the reader of the header section
)

// Reasons lists all reasons for which a connection is refused or closed.
var Reasons = []Reason{ReasonStalled, ReasonLargest, ReasonMemory, ReasonPlace, ReasonHeaderTimeout, ReasonIdleTimeout, ReasonHeaderSize}

// closeLimit is the time after which a connection that was to be refused, so that its client reads why, is closed.
const closeLimit = 2 * time.Second

// Action is what must be done with a connection: Reason is ReasonNone if the memory for which it waits was granted, otherwise the
// connection must be refused or closed. Force says that it has had time for a refusal and must be closed.
type Action struct {
	Conn   *Conn
	Reason Reason
	Force  bool
}

// Conn is the state of one connection.
type Conn struct {
	Owner any // of the caller of this package

	phase     Phase
	group     string // team, or empty
	held      [Kinds]int64
	since     time.Time // when the phase began
	progress  time.Time // when the connection last made progress
	received  int       // bytes since then
	want      int64     // bytes for which it waits; 0 if it does not wait
	wantKind  Kind
	wantSince time.Time
	closing   Reason
	closedAt  time.Time // when closing was set
}

// HeldOf returns what a connection holds of a kind.
func (c *Conn) HeldOf(k Kind) int64 { return c.held[k] }

// Held returns what a connection holds.
func (c *Conn) Held() int64 { return sum(c.held) }

func sum(held [Kinds]int64) (total int64) {
	for _, n := range held {
		total += n
	}
	return total
}

// Closing returns why the connection must be refused or closed, or ReasonNone.
func (c *Conn) Closing() Reason { return c.closing }

// Waiting reports whether a connection waits for memory.
func (c *Conn) Waiting() bool { return c.want > 0 }

// Table holds the connections. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  map[*Conn]struct{}
	held   [Kinds]int64
	groups map[string]int64 // bytes of bodies by group
	// answers is the bytes of answers by group.
	answers map[string]int64
	refused int64   // times that Extend did not grant memory
	small   []*Conn // that wait for memory, in the order of their arrival
	large   []*Conn
	// garbage is the size of the buffers that were given up and not collected yet, collecting that of the ones that the running
	// collection will free. The collector of the runtime starts too late for buffers of megabytes that follow each other fast.
	garbage, collecting int64
	collect             bool // a collection must be started
}

// New returns a table without connections.
func New(l Limits) *Table {
	if l.Connection == 0 {
		l.Connection = ConnectionCost
	}
	return &Table{limits: l, conns: map[*Conn]struct{}{}, groups: map[string]int64{}, answers: map[string]int64{}}
}

// SetTimeouts replaces the operators' time limits.
func (t *Table) SetTimeouts(header, idle time.Duration) {
	t.limits.HeaderTimeout, t.limits.IdleTimeout = header, idle
}

// Open adds a connection.
func (t *Table) Open(now time.Time, owner any) *Conn {
	c := &Conn{Owner: owner, since: now, progress: now}
	t.conns[c] = struct{}{}
	return c
}

// Close removes a connection and returns the grants that this allows.
func (t *Table) Close(c *Conn, now time.Time) []Action {
	if _, ok := t.conns[c]; !ok {
		return nil
	}
	t.free(c)
	delete(t.conns, c)
	return t.advance(now)
}

// Finish ends a request: the connection is idle and holds nothing.
func (t *Table) Finish(c *Conn, now time.Time) []Action {
	t.free(c)
	c.group = ""
	t.enter(c, Idle, now)
	return t.advance(now)
}

// Receive says that bytes of a header section have arrived, which uses cost so far. It returns as Want does.
func (t *Table) Receive(c *Conn, cost int64, now time.Time) (granted bool, actions []Action) {
	if c.phase == Idle {
		t.enter(c, Receiving, now)
	}
	return t.Want(c, KindHeader, cost-c.held[KindHeader], now)
}

// Admit says that the header section of a request is complete, and asks for the memory that the request uses while it is served. It returns
// as Want does.
func (t *Table) Admit(c *Conn, now time.Time) (granted bool, actions []Action) {
	t.enter(c, Body, now)
	return t.Want(c, KindRequest, RequestCost, now)
}

// Identify says that the header section of a request uses cost, and that its body will be counted for a group. It
// returns the reason if the connection must be refused.
func (t *Table) Identify(c *Conn, group string, cost int64, now time.Time) Reason {
	t.add(c, KindHeader, cost-c.held[KindHeader])
	c.group = group
	t.enter(c, Body, now)
	return c.closing
}

// Serve says that a request is complete. It returns the reason if the connection must be refused instead.
func (t *Table) Serve(c *Conn, now time.Time) Reason {
	if c.closing == ReasonNone {
		t.enter(c, Serving, now)
	}
	return c.closing
}

// Progress says that bytes of a body have arrived.
func (t *Table) Progress(c *Conn, bytes int, now time.Time) {
	if c.received += bytes; c.received >= progressBytes {
		c.received, c.progress = 0, now
	}
}

// Want asks for memory. It is granted at once if granted is true; otherwise the connection waits for an Action, unless it must be
// refused (see Closing).
func (t *Table) Want(c *Conn, kind Kind, bytes int64, now time.Time) (granted bool, actions []Action) {
	if c.closing != ReasonNone {
		return false, nil
	}
	if bytes <= 0 {
		return true, nil
	}
	if len(t.queue(c, bytes)) == 0 && t.fits(c, kind, bytes) {
		t.grant(c, kind, bytes, now)
		return true, nil
	}
	c.want, c.wantKind, c.wantSince = bytes, kind, now
	if t.isSmall(c, bytes) {
		t.small = append(t.small, c)
	} else {
		t.large = append(t.large, c)
	}
	actions = t.advance(now)
	return false, actions
}

// Extend asks for memory for the answer to a request that is being served. It does not wait: what is not held of an answer is no loss for
// most requests. A group gets as much for its answers as is left for those of others, so that one group can't take all. The only request on
// the daemon always gets up to loneAnswer.
func (t *Table) Extend(c *Conn, bytes int64) bool {
	if _, open := t.conns[c]; !open {
		return false // its request is about to end, and nothing would give the memory back
	}
	left := t.limits.Bodies - t.used() - bytes
	alone := sum(t.held) == c.Held() && c.held[KindAnswer]+bytes <= loneAnswer
	if !alone && t.answers[c.group]+bytes > left {
		t.refused++
		t.collect = true // what was given up may suffice the next one
		return false
	}
	t.add(c, KindAnswer, bytes)
	return true
}

// Keep returns what a connection holds of a kind above a number of bytes.
func (t *Table) Keep(c *Conn, kind Kind, bytes int64, now time.Time) []Action {
	if c.held[kind] <= bytes {
		return nil
	}
	t.giveUp(c.held[kind] - bytes)
	t.add(c, kind, bytes-c.held[kind])
	return t.advance(now)
}

// Sweep applies the time limits.
func (t *Table) Sweep(now time.Time) []Action {
	var actions []Action
	for c := range t.conns {
		if c.closing != ReasonNone {
			if now.Sub(c.closedAt) >= closeLimit {
				actions = append(actions, Action{c, c.closing, true})
			}
			continue
		}
		reason := ReasonNone
		switch {
		case c.want > 0 && now.Sub(c.wantSince) >= t.limits.Wait:
			reason = ReasonMemory
		case c.phase == Receiving && now.Sub(c.since) >= t.limits.HeaderTimeout:
			reason = ReasonHeaderTimeout
		case c.phase == Idle && now.Sub(c.since) >= t.limits.IdleTimeout:
			reason = ReasonIdleTimeout
		}
		if reason != ReasonNone {
			actions = append(actions, t.end(c, reason, now))
		}
	}
	return append(actions, t.advance(now)...)
}

// MakeRoom chooses a connection to close because there is no place for another one: the one that is idle for longest, or else
// the one whose request has made no progress for longest. It returns nothing if none may be closed.
func (t *Table) MakeRoom(now time.Time) []Action {
	var victim *Conn
	for c := range t.conns {
		switch {
		case c.closing != ReasonNone || now.Sub(c.progress) < t.limits.Stall || !t.limits.ReadsOnly && (c.phase == Serving || c.want > 0):
		case victim == nil || c.phase == Idle && victim.phase != Idle || (c.phase == Idle) == (victim.phase == Idle) && c.progress.Before(victim.progress):
			victim = c
		}
	}
	if victim == nil {
		return nil
	}
	reason := ReasonStalled
	if victim.phase == Idle {
		reason = ReasonPlace
	}
	a := t.end(victim, reason, now)
	a.Force = t.limits.ReadsOnly
	return []Action{a}
}

// StartCollection reports whether the caller must collect garbage now and then call EndCollection.
func (t *Table) StartCollection() bool {
	if !t.collect || t.collecting > 0 || t.garbage == 0 {
		return false
	}
	t.collect, t.collecting, t.garbage = false, t.garbage, 0
	return true
}

// EndCollection says that all buffers that had been given up at the start of the collection are free.
func (t *Table) EndCollection(now time.Time) []Action {
	t.collecting = 0
	return t.advance(now)
}

// HeldBytes returns what is held of a kind, and Connections the number of connections. Waiting returns how many wait for memory.
func (t *Table) HeldBytes(k Kind) int64 { return t.held[k] }

// Connections returns the number of connections.
func (t *Table) Connections() int { return len(t.conns) }

// RefusedAnswers returns the number of times that Extend did not grant memory.
func (t *Table) RefusedAnswers() int64 { return t.refused }

// Waiting returns the number of connections that wait for memory.
func (t *Table) Waiting() int { return len(t.small) + len(t.large) }

func (t *Table) enter(c *Conn, p Phase, now time.Time) {
	c.phase, c.since, c.progress, c.received = p, now, now, 0
}

func (t *Table) add(c *Conn, kind Kind, bytes int64) {
	c.held[kind] += bytes
	t.held[kind] += bytes
	var byGroup map[string]int64
	switch kind {
	case KindBody:
		byGroup = t.groups
	case KindAnswer:
		byGroup = t.answers
	default:
		return
	}
	if byGroup[c.group] += bytes; byGroup[c.group] == 0 {
		delete(byGroup, c.group)
	}
}

// grant counts memory for a connection. The wait is over, and its sender has time to make progress.
func (t *Table) grant(c *Conn, kind Kind, bytes int64, now time.Time) {
	t.add(c, kind, bytes)
	c.want, c.progress = 0, now
}

// free returns all that a connection holds, and ends its wait.
func (t *Table) free(c *Conn) {
	t.giveUp(c.held[KindBody])
	t.giveUp(c.held[KindAnswer])
	for k := range Kinds {
		t.add(c, k, -c.held[k])
	}
	t.unqueue(c)
}

// giveUp counts a buffer that is no longer used. Small ones are left to the collector's own pace.
func (t *Table) giveUp(bytes int64) {
	if bytes <= SmallBytes {
		return
	}
	t.garbage += bytes
	t.collect = t.collect || t.garbage > t.limits.Bodies/garbageShare
}

func (t *Table) unqueue(c *Conn) {
	if c.want == 0 {
		return
	}
	c.want = 0
	t.small, t.large = without(t.small, c), without(t.large, c)
}

func without(list []*Conn, c *Conn) []*Conn {
	for i, x := range list {
		if x == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// isSmall reports whether a connection's header section and body are small with more bytes.
func (t *Table) isSmall(c *Conn, bytes int64) bool {
	return c.held[KindHeader]+c.held[KindBody]+bytes <= SmallBytes
}

// queue returns the connections that wait before one that wants memory.
func (t *Table) queue(c *Conn, bytes int64) []*Conn {
	if t.isSmall(c, bytes) {
		return t.small
	}
	return t.large
}

// used returns all that is held.
func (t *Table) used() int64 {
	return sum(t.held) + t.garbage + t.collecting + int64(len(t.conns))*t.limits.Connection
}

// lacking returns the bytes by which a request for memory exceeds the limits.
func (t *Table) lacking(c *Conn, kind Kind, bytes int64) int64 {
	if kind == KindBody && !t.isSmall(c, bytes) {
		return t.used() + bytes - t.limits.Bodies
	}
	return t.used() + bytes - t.limits.Memory
}

// fits reports whether memory can be granted. What the only request on the daemon needs is always granted.
func (t *Table) fits(c *Conn, kind Kind, bytes int64) bool {
	return t.lacking(c, kind, bytes) <= 0 || sum(t.held) == c.Held() && t.garbage+t.collecting == 0
}

// end marks a connection to be refused or closed. Its memory counts until Close or Finish.
func (t *Table) end(c *Conn, r Reason, now time.Time) Action {
	t.unqueue(c)
	c.closing, c.closedAt = r, now
	return Action{c, r, false}
}

// advance grants memory to those that wait, small requests first, and chooses connections to close if it does not suffice.
func (t *Table) advance(now time.Time) []Action {
	var actions []Action
	for _, queue := range []*[]*Conn{&t.small, &t.large} {
		for len(*queue) > 0 {
			c := (*queue)[0]
			if !t.fits(c, c.wantKind, c.want) {
				actions = append(actions, t.makeSpace(c, now)...)
				break
			}
			*queue = (*queue)[1:]
			t.grant(c, c.wantKind, c.want, now)
			actions = append(actions, Action{c, ReasonNone, false})
		}
	}
	return actions
}

// makeSpace closes connections so that c can get what it wants: stalled ones, those that hold most first, and if these don't
// suffice the largest of the group that holds most, if c needs little or its group holds much less.
func (t *Table) makeSpace(c *Conn, now time.Time) []Action {
	t.collect = true
	need := t.lacking(c, c.wantKind, c.want) - t.garbage - t.collecting
	var stalled []*Conn
	var largest *Conn
	for x := range t.conns {
		switch {
		case x == c || x.Held() == 0:
		case x.closing != ReasonNone:
			need -= x.Held()
		case x.phase == Serving:
		case x.want == 0 && now.Sub(x.progress) >= t.limits.Stall:
			stalled = append(stalled, x)
		case largest == nil || t.precedes(x, largest):
			largest = x
		}
	}
	var actions []Action
	for need > 0 && len(stalled) > 0 {
		i := 0
		for j, x := range stalled {
			if x.Held() > stalled[i].Held() {
				i = j
			}
		}
		need -= stalled[i].Held()
		actions = append(actions, t.end(stalled[i], ReasonStalled, now))
		stalled[i] = stalled[len(stalled)-1]
		stalled = stalled[:len(stalled)-1]
	}
	if need > 0 && largest != nil && t.yields(largest, c) {
		actions = append(actions, t.end(largest, ReasonLargest, now))
	}
	return actions
}

// precedes reports whether a is closed before b: its group holds more, or within a group it holds more itself.
func (t *Table) precedes(a, b *Conn) bool {
	if ga, gb := t.groups[a.group], t.groups[b.group]; ga != gb {
		return ga > gb
	}
	return a.Held() > b.Held()
}

// yields reports whether a connection that makes progress is closed for one that waits.
func (t *Table) yields(x, c *Conn) bool {
	if t.isSmall(c, c.want) {
		return x.Held() >= closeFactor*(c.Held()+c.want)
	}
	return x.group != c.group && t.groups[x.group] > 2*(t.groups[c.group]+c.want)
}
