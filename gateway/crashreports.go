package gateway

import (
	"math"
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

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
	// reportsPerSecond is the number of records about first crashes, and of minor ones, that all daemons together send in a second: as many as
	// each of them can receive and relay on the slowest link within the bounds of package notice. Each daemon may send its part of them,
	// and at once that of reportBurst, but at least minReportBurst.
	reportsPerSecond, reportBurst, minReportBurst = 300, 2 * time.Second, 2
	// maxReportDelay is the time after which a record is dropped that could not be sent.
	maxReportDelay = 2 * time.Second
	// maxClearDelay is the longest time for which a daemon leaves it to others to report a part as sound, and reportValidity the time
	// for which the report of one daemon makes those of the others unnecessary.
	maxClearDelay, reportValidity = 600 * time.Millisecond, 2 * time.Second
	// partsPerRecord is the largest number of parts in a record in their favor.
	partsPerRecord = 16
)

// crashReports sends records about requests at endpoints that crashed to the other daemons, and receives theirs.
type crashReports struct {
	g *Gateway

	mu      sync.Mutex
	pending []pendingReport
	first   *rate.Limiter          // of records about first crashes
	minor   *rate.Limiter          // of records that are repeated or in favor of requests
	parts   map[uint64]pendingPart // prompt parts in favor of which a record will be sent
	cleared map[uint64]clearedPart // prompt parts in favor of which other daemons sent a record
	wake    chan struct{}
}

// pendingReport is a record about a request that is sent at a time, and again later.
type pendingReport struct {
	record poison.Record
	first  time.Time
	sent   int  // number of times, those included in which a limit did not allow it
	told   bool // it was sent at least once
}

// dueAt returns the time at which the record is due next.
func (p *pendingReport) dueAt() time.Time { return p.first.Add(p.delays()[p.sent]) }

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
	return &crashReports{g: g, first: rate.NewLimiter(reportLimit(1)), minor: rate.NewLimiter(reportLimit(1)), parts: map[uint64]pendingPart{}, cleared: map[uint64]clearedPart{}, wake: make(chan struct{}, 1)}
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
			told = told && (!same || p.told)
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

// clearDelay returns the time for which this daemon leaves it to others to report a part as sound, since most daemons know the same parts. Short
// times are exponentially rarer the more daemons there are, so that few of them report before they have received the first report.
func (c *crashReports) clearDelay() time.Duration {
	spread := math.Log(float64(c.g.members())) + 1
	return time.Duration(math.Log1p(mathrand.Float64()*math.Expm1(spread)) / spread * float64(maxClearDelay))
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

// due returns the records about requests that must be sent now, and the time at which the next one is due; zero if there are none. Records of
// suspects are always sent; of the others the newest, as many as the limits allow.
func (c *crashReports) due(now time.Time) (b reportBatch, next time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLimits(now)
	for i := len(c.pending) - 1; i >= 0; i-- {
		p := &c.pending[i]
		if at := p.dueAt(); now.Before(at) || !c.collect(&b, p, now) && now.Sub(at) < maxReportDelay {
			continue
		}
		p.sent++
	}
	c.pending = slices.DeleteFunc(c.pending, func(p pendingReport) bool { return p.sent >= len(p.delays()) })
	for _, p := range c.pending {
		if at := p.dueAt(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !next.IsZero() && !next.After(now) { // the limits did not allow it
		next = c.retryAt(now)
	}
	return b, next
}

// setLimits adapts the limits to the number of daemons. The caller holds mu.
func (c *crashReports) setLimits(now time.Time) {
	perSecond, burst := reportLimit(c.g.members())
	for _, l := range []*rate.Limiter{c.first, c.minor} {
		if perSecond != l.Limit() {
			l.SetLimitAt(now, perSecond)
			l.SetBurstAt(now, burst)
		}
	}
}

// reportLimit returns the rate and the burst of a daemon's records, given the number of daemons.
func reportLimit(daemons int) (perSecond rate.Limit, burst int) {
	perSecond = rate.Limit(reportsPerSecond / float64(daemons))
	return perSecond, max(minReportBurst, int(float64(perSecond)*reportBurst.Seconds()))
}

// retryAt returns the time at which the limits may allow another record.
func (c *crashReports) retryAt(now time.Time) time.Time {
	return now.Add(time.Duration(float64(time.Second) / float64(c.minor.Limit())))
}

// collect adds a record to those that are sent now, without the parts that have turned out to be sound. It returns false if a limit does not allow
// that. The caller holds mu.
func (c *crashReports) collect(b *reportBatch, p *pendingReport, now time.Time) bool {
	r := p.record
	if r.Crash != "" {
		r.Ago += now.Sub(p.first)
	}
	if len(r.Parts) > 0 && p.sent > 0 {
		r.Parts = c.g.poison.Parts.Suspicious(r.Parts)
	}
	switch {
	case c.isSuspect(r, now):
		b.suspect = append(b.suspect, r)
	case r.Cleared || p.sent > 0:
		if !c.minor.AllowN(now, 1) {
			return false
		}
		b.minor = append(b.minor, r)
	default:
		if !c.first.AllowN(now, 1) {
			return false
		}
		b.first = append(b.first, r)
	}
	p.told = true
	return true
}

// isSuspect reports whether other daemons have to know of a record soon: the request, or one with a part of its prompt, met another crash
// before, or a refused request runs once more.
func (c *crashReports) isSuspect(r poison.Record, now time.Time) bool {
	return !r.Cleared && (r.Trial || r.Isolated || c.g.poison.Crashes(r.Fingerprint, now) >= poison.IsolateAfter || c.g.poison.Parts.Recurs(r, now))
}

// dueParts returns records in favor of the prompt parts that must be reported now, as many as the limit allows, and the time at which the next
// one is due; zero if there are none.
func (c *crashReports) dueParts(now time.Time) (records []poison.Record, next time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := map[bool][]uint64{} // by whether the parts are sound
	for part, p := range c.parts {
		known := c.cleared[part]
		switch {
		case known.at.After(p.due.Add(-reportValidity)) && (known.sound || !p.sound), now.Sub(p.due) > maxReportDelay:
			delete(c.parts, part)
		case !now.Before(p.due):
			due[p.sound] = append(due[p.sound], part)
		case next.IsZero() || p.due.Before(next):
			next = p.due
		}
	}
	for _, sound := range []bool{true, false} {
		for chunk := range slices.Chunk(due[sound], partsPerRecord) {
			if !c.minor.AllowN(now, 1) {
				return records, c.retryAt(now)
			}
			records = append(records, poison.Record{Sound: sound, Survived: !sound, Parts: chunk})
			for _, part := range chunk {
				again := c.sentPart(part)
				if !again.IsZero() && (next.IsZero() || again.Before(next)) {
					next = again
				}
			}
		}
	}
	return records, next
}

// sentPart records that a part was reported, and returns the time at which it is due again; zero if it is not. The caller holds mu.
func (c *crashReports) sentPart(part uint64) time.Time {
	p := c.parts[part]
	if p.again == 0 {
		delete(c.parts, part)
		return time.Time{}
	}
	p.due, p.again = p.due.Add(clearDelays[len(clearDelays)-p.again]), p.again-1
	c.parts[part] = p
	return p.due
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
