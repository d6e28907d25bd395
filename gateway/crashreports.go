package gateway

import (
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/suspect"
)

// crashDelays are the times after a crash at which its record is sent: messages can be lost, and daemons start. clearDelays are those of what
// speaks in favor of a request or part.
var crashDelays, clearDelays = []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}, []time.Duration{0, 2 * time.Second}

const (
	// reportInterval is the time for which records are collected before they are sent.
	reportInterval = 20 * time.Millisecond
	// maxPendingReports bounds the records, and the prompt parts, that wait to be sent. A crash interrupts the requests in an endpoint's slots.
	maxPendingReports = 4096
	// clearDelayPerPeer is the time per daemon over which reports in favor of parts are spread, and reportValidity the time
	// for which the report of one daemon makes those of the others unnecessary.
	clearDelayPerPeer, reportValidity = 2 * time.Millisecond, 2 * time.Second
	// partsPerRecord is the largest number of parts in a record in their favor.
	partsPerRecord = 16
)

// crashReports sends records about requests at endpoints that crashed to the other daemons, and receives theirs.
type crashReports struct {
	g *Gateway

	mu      sync.Mutex
	pending []pendingReport
	parts   map[uint64]pendingPart // prompt parts in favor of which a record will be sent
	cleared map[uint64]clearedPart // prompt parts in favor of which other daemons sent a record
	wake    chan struct{}
}

// pendingReport is a record about a request that is sent at a time, and again later.
type pendingReport struct {
	record poison.Record
	first  time.Time
	sent   int // number of times
}

// delays returns the times after first at which the record is sent.
func (p *pendingReport) delays() []time.Duration {
	if p.record.Cleared {
		return clearDelays
	}
	return crashDelays
}

// pendingPart is what speaks in favor of a prompt part: a complete answer, or one that went on for a while.
type pendingPart struct {
	sound bool
	due   time.Time
	again int // number of times that it is sent after this one
}

// clearedPart is what another daemon sent in favor of a prompt part.
type clearedPart struct {
	sound bool
	at    time.Time
}

func newCrashReports(g *Gateway) *crashReports {
	return &crashReports{g: g, parts: map[uint64]pendingPart{}, cleared: map[uint64]clearedPart{}, wake: make(chan struct{}, 1)}
}

// add reports a crash, or the trial of a refused request, that this daemon has seen.
func (c *crashReports) add(r poison.Record) {
	crashes := c.g.poison.Crashes(r.Fingerprint, time.Now())
	kind := "crash"
	if r.Trial {
		kind = "trial"
	}
	c.g.spec.Metrics.Counter(`bramley_suspect_requests_total{kind="` + kind + `"}`).Inc()
	c.g.log.WithFields(logrus.Fields{"fingerprint": strconv.FormatUint(r.Fingerprint, 16), "crash": r.Crash, "crashes": crashes, "trial": r.Trial, "parts": suspect.FormatParts(r.Parts)}).Info("endpoint crashed under a request")
	c.enqueue(r)
}

// clear reports that requests, or prompt parts, were not the cause of crashes.
func (c *crashReports) clear(records []poison.Record) {
	for _, r := range records {
		if r.Sound || r.Survived {
			c.enqueueParts(r, time.Now(), len(clearDelays)-1)
			continue
		}
		c.enqueue(r)
	}
}

// enqueue sends a record about a request, some times. A record that clears the request replaces that of its crash, and both are
// dropped if the other daemons have not been told of the crash.
func (c *crashReports) enqueue(r poison.Record) {
	c.mu.Lock()
	told := true
	if r.Answered {
		c.pending = slices.DeleteFunc(c.pending, func(p pendingReport) bool {
			same := !p.record.Cleared && p.record.Fingerprint == r.Fingerprint && p.record.Crash == r.Crash
			told = told && (!same || p.sent > 0)
			return same
		})
	}
	if told && len(c.pending) < maxPendingReports {
		c.pending = append(c.pending, pendingReport{record: r, first: time.Now()})
	}
	c.mu.Unlock()
	c.signal()
}

// enqueueParts sends a record in favor of its parts at a time, and some more times, unless other daemons do so before.
func (c *crashReports) enqueueParts(r poison.Record, due time.Time, again int) {
	c.mu.Lock()
	for _, part := range r.Parts {
		old, waiting := c.parts[part]
		if waiting && old.sound == r.Sound && !due.Before(old.due) || waiting && old.sound && !r.Sound || !waiting && len(c.parts) >= maxPendingReports {
			continue
		}
		c.parts[part] = pendingPart{r.Sound, due, again}
	}
	c.mu.Unlock()
	c.signal()
}

func (c *crashReports) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// receive applies the records of another daemon.
func (c *crashReports) receive(records []poison.Record) {
	for _, r := range records {
		now := time.Now()
		c.g.poison.Add(r, now)
		if r.Sound || r.Survived {
			c.noteCleared(r, now)
		}
		for _, known := range c.g.poison.Parts.Known(r) {
			c.enqueueParts(known, now.Add(c.clearDelay()), 0)
		}
	}
}

// clearDelay returns the time for which this daemon leaves it to others to report a part as sound, since most daemons know the same parts.
func (c *crashReports) clearDelay() time.Duration {
	return mathrand.N(reportInterval + time.Duration(c.g.members())*clearDelayPerPeer)
}

// noteCleared records that another daemon reported something in favor of parts.
func (c *crashReports) noteCleared(r poison.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cleared) >= maxPendingReports {
		clear(c.cleared)
	}
	for _, p := range r.Parts {
		c.cleared[p] = clearedPart{r.Sound || c.cleared[p].sound, now}
	}
}

// run sends records until the daemon stops.
func (c *crashReports) run() {
	for c.g.ctx.Err() == nil {
		now := time.Now()
		reports, next := c.due(now)
		parts, nextPart := c.dueParts(now)
		c.send(reports)
		c.send(reportBatch{minor: parts})
		if next.IsZero() || !nextPart.IsZero() && nextPart.Before(next) {
			next = nextPart
		}
		var isDue <-chan time.Time // never, if nothing waits
		if !next.IsZero() {
			isDue = time.After(time.Until(next))
		}
		select {
		case <-isDue:
		case <-c.wake:
			_ = pause.For(c.g.ctx, reportInterval)
		case <-c.g.ctx.Done():
		}
	}
}

// reportBatch holds records that are sent now, by their rank: of requests that met several crashes, of others, and minor ones, which are
// repeated or in favor of requests or parts.
type reportBatch struct{ suspect, first, minor []poison.Record }

// due returns the records about requests that must be sent now, and the time at which the next one is due; zero if there are none.
func (c *crashReports) due(now time.Time) (b reportBatch, next time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.pending[:0]
	for _, p := range c.pending {
		delays := p.delays()
		if !now.Before(p.first.Add(delays[p.sent])) {
			c.collect(&b, p, now)
			p.sent++
		}
		if p.sent == len(delays) {
			continue
		}
		kept = append(kept, p)
		if at := p.first.Add(delays[p.sent]); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	c.pending = kept
	return b, next
}

// collect adds a record to those that are sent now, without the parts that have turned out to be sound.
func (c *crashReports) collect(b *reportBatch, p pendingReport, now time.Time) {
	r := p.record
	if r.Crash != "" {
		r.Ago += now.Sub(p.first)
	}
	if len(r.Parts) > 0 && p.sent > 0 {
		r.Parts = c.g.poison.Parts.Suspicious(r.Parts)
	}
	switch {
	case !r.Cleared && (r.Trial || r.Isolated || c.g.poison.Crashes(r.Fingerprint, now) >= poison.IsolateAfter):
		b.suspect = append(b.suspect, r)
	case r.Cleared || p.sent > 0:
		b.minor = append(b.minor, r)
	default:
		b.first = append(b.first, r)
	}
}

// dueParts returns records in favor of the prompt parts that must be reported now, and the time at which the next one is due; zero if there
// are none.
func (c *crashReports) dueParts(now time.Time) (records []poison.Record, next time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sound, survived []uint64
	for part, p := range c.parts {
		known := c.cleared[part]
		told := known.at.After(p.due.Add(-reportValidity)) && (known.sound || !p.sound)
		switch {
		case told:
			delete(c.parts, part)
			continue
		case now.Before(p.due):
		case p.sound:
			sound = append(sound, part)
		default:
			survived = append(survived, part)
		}
		if !now.Before(p.due) {
			if p.again == 0 {
				delete(c.parts, part)
				continue
			}
			p.due, p.again = p.due.Add(clearDelays[len(clearDelays)-p.again]), p.again-1
			c.parts[part] = p
		}
		if next.IsZero() || p.due.Before(next) {
			next = p.due
		}
	}
	for chunk := range slices.Chunk(sound, partsPerRecord) {
		records = append(records, poison.Record{Sound: true, Parts: chunk})
	}
	for chunk := range slices.Chunk(survived, partsPerRecord) {
		records = append(records, poison.Record{Survived: true, Parts: chunk})
	}
	return records, next
}

// send sends records to all other daemons.
func (c *crashReports) send(b reportBatch) {
	x := c.g.exchange.Load()
	if x == nil {
		return
	}
	c.sendChunks(x, b.suspect, notice.Message{Suspect: true})
	c.sendChunks(x, b.first, notice.Message{})
	c.sendChunks(x, b.minor, notice.Message{Minor: true})
}

// sendChunks sends records in messages like m.
func (c *crashReports) sendChunks(x *notice.Exchange, records []poison.Record, m notice.Message) {
	m.From = c.g.spec.Name
	for chunk := range slices.Chunk(records, notice.MaxCrashes) {
		m.Crashes = chunk
		if err := x.SendAll(c.g.spec.Domain, m); err != nil {
			c.g.log.WithError(err).Debug("sending crash records to peers failed")
		}
	}
}
