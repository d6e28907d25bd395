package dispatch

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	// crashCheckTimeout bounds the check whether an endpoint whose connection broke has crashed. The host of a process that ended
	// refuses a connection at once; one that does not answer may be partitioned.
	crashCheckTimeout = 100 * time.Millisecond
	// breakTTL is the time for which a broken attempt waits for the host list to tell that its endpoint has ended, and maxBreaks the
	// number of broken attempts that wait.
	breakTTL  = 10 * time.Second
	maxBreaks = 4096
)

// checkCrashes returns an error if too many endpoints crashed while they ran the request, or requests with a part of its prompt, at
// whichever daemon. It is not refused for good, since another request may have crashed them.
func (x *Exchange) checkCrashes() error {
	if err := x.filter.checkParts(x.parts, x.ran); err != nil {
		return err
	}
	return x.filter.checkContent(x.in.Fingerprint, x.ran)
}

// BrokenAttempt describes an attempt whose connection broke before the end of the answer.
type BrokenAttempt struct {
	Request  string   // ID
	Endpoint string   // ID
	Parts    []uint64 // IDs of the prompt's shared parts
	Down     bool     // the endpoint's host refuses connections
	Err      error
}

// recordCrash counts a crash against the request if its attempt broke off because the endpoint crashed, and notifies the other
// daemons. A connection that broke for another reason says nothing about the request, unless the host list tells soon that the endpoint
// has ended.
func (x *Exchange) recordCrash(r *pool.Reservation, err error) {
	spec := &x.filter.spec
	if spec.IsDown == nil || errors.Is(err, engine.ErrInvalidResponse) {
		return
	}
	now := spec.Now()
	b := brokenAttempt{process: process{r.ID, r.Started}, addr: r.Addr, at: now, record: poison.Record{
		Fingerprint: x.in.Fingerprint, Team: keyed.OwnerOf(x.in.Team), Crash: crashID(r.ID, r.Started), Request: xxhash.Sum64String(x.in.Request.ID), Ran: now.Sub(x.sentAt),
	}}
	b.record.Parts = spec.Poison.Parts.Suspicious(x.parts)
	if !errors.Is(err, engine.ErrStalled) {
		down := x.filter.isDown(x.ctx, r.Addr)
		if x.in.OnBroken != nil {
			x.in.OnBroken(BrokenAttempt{Request: x.in.Request.ID, Endpoint: r.ID, Parts: x.parts, Down: down, Err: err})
		}
		if down {
			x.filter.addCrash(b.record)
			return
		}
	}
	x.filter.breaks.add(b)
}

// crashID identifies the end of an endpoint's process.
func crashID(endpoint string, started int64) string {
	return endpoint + "/" + strconv.FormatInt(started, 10)
}

// isDown reports whether the host of an address refuses connections. It also asks when ctx has ended, since the caller may have left.
func (f *Filter) isDown(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	return f.spec.IsDown(ctx, addr)
}

// addCrash adds a crash to the tables and sends it to the other daemons.
func (f *Filter) addCrash(record poison.Record) {
	if f.spec.Poison.Add(record, f.spec.Now()) && f.spec.OnCrash != nil {
		f.spec.OnCrash(record)
	}
}

// process identifies a process of an endpoint.
type process struct {
	id      string
	started int64
}

// brokenAttempt is an attempt whose connection broke or fell silent, without a sign yet that the endpoint has ended.
type brokenAttempt struct {
	process
	addr   string
	at     time.Time
	record poison.Record
}

// brokenAttempts holds the broken attempts of the last breakTTL. If there are more than maxBreaks, the oldest of the team with the most is
// dropped, and does not count if its endpoint turns out to have ended. It is safe for concurrent use.
type brokenAttempts struct {
	mu    sync.Mutex
	table *keyed.Table[uint64, brokenAttempt] // by number; nil before the first one
	added uint64
}

func (b *brokenAttempts) add(a brokenAttempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		b.table = keyed.New[uint64, brokenAttempt](maxBreaks)
	}
	b.remove(func(old *brokenAttempt) bool { return a.at.Sub(old.at) > breakTTL })
	b.added++
	b.table.Put(a.record.Team, b.added, a)
}

// remove removes and returns the attempts for which match returns true. The caller holds mu.
func (b *brokenAttempts) remove(match func(*brokenAttempt) bool) (out []brokenAttempt) {
	if b.table == nil {
		return nil
	}
	var removed []uint64
	for n, a := range b.table.All() {
		if match(&a) {
			removed, out = append(removed, n), append(out, a)
		}
	}
	for _, n := range removed {
		b.table.Delete(n)
	}
	return out
}

// take removes and returns the attempts for which match returns true.
func (b *brokenAttempts) take(match func(*brokenAttempt) bool) []brokenAttempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(match)
}

// EndpointEnded counts a crash against the requests whose attempts broke at a process of an endpoint. The host list tells so by removing
// its entry without notice, or by listing another process with its ID.
func (f *Filter) EndpointEnded(id string, started int64) {
	f.confirmBreaks(func(a *brokenAttempt) bool { return a.process == process{id, started} })
}

// AddressTaken is like EndpointEnded for the processes that were at an address at which another one is listed now.
func (f *Filter) AddressTaken(addr, id string, started int64) {
	f.confirmBreaks(func(a *brokenAttempt) bool { return a.addr == addr && a.process != process{id, started} })
}

func (f *Filter) confirmBreaks(match func(*brokenAttempt) bool) {
	now := f.spec.Now()
	for _, a := range f.breaks.take(match) {
		if age := now.Sub(a.at); age <= breakTTL {
			a.record.Ago = age
			f.addCrash(a.record)
		}
	}
}

// Complete records that the caller got the whole answer: the request is not the cause of the crashes that it met, nor is any part of its
// prompt. The end of a resumed stream to which this endpoint added nothing does not show that.
func (a *RoutedAnswer) Complete() {
	x := a.exchange
	if a.IsFailure() || x.in.Request.LastEvent > 0 && a.survival.begunAt.IsZero() {
		return
	}
	spec := &x.filter.spec
	x.filter.sendCleared(append(spec.Poison.ClearAnswered(x.in.Fingerprint, spec.Now()), x.filter.soundParts(x.in.Team, x.parts)...))
}

// Progress records that a part of the answer arrived.
func (a *RoutedAnswer) Progress(now time.Time) {
	a.survival.progress(a.exchange.filter, a.exchange.in.Team, a.exchange.parts, now)
}
