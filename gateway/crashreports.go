package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/poison"
)

// reportDelays are the times after a crash at which its record is sent: messages can be lost, and daemons start.
var reportDelays = []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}

const (
	// reportInterval is the time for which records are collected before they are sent.
	reportInterval = 20 * time.Millisecond
	// maxPendingReports bounds the records that wait to be sent. A crash interrupts the requests in an endpoint's slots.
	maxPendingReports = 4096
)

// crashReports sends records about requests at endpoints that crashed to the other daemons, and receives theirs.
type crashReports struct {
	g *Gateway

	mu      sync.Mutex
	pending []pendingReport
	wake    chan struct{}
}

// pendingReport is a record that is sent at a time, and again later.
type pendingReport struct {
	record poison.Record
	first  time.Time
	sent   int // number of times
}

func newCrashReports(g *Gateway) *crashReports {
	return &crashReports{g: g, wake: make(chan struct{}, 1)}
}

// add reports a crash, or the trial of a refused request, that this daemon has seen.
func (c *crashReports) add(r poison.Record) {
	crashes := c.g.poison.Crashes(r.Fingerprint, time.Now())
	kind := "crash"
	if r.Trial {
		kind = "trial"
	}
	c.g.spec.Metrics.Counter(`bramley_suspect_requests_total{kind="` + kind + `"}`).Inc()
	c.g.log.WithFields(logrus.Fields{"fingerprint": strconv.FormatUint(r.Fingerprint, 16), "crash": r.Crash, "crashes": crashes, "trial": r.Trial}).Info("endpoint crashed under a request")
	c.enqueue(r)
}

// clear reports that a request was not the cause of crashes.
func (c *crashReports) clear(records []poison.Record) {
	for _, r := range records {
		c.enqueue(r)
	}
}

func (c *crashReports) enqueue(r poison.Record) {
	c.mu.Lock()
	if len(c.pending) < maxPendingReports {
		c.pending = append(c.pending, pendingReport{record: r, first: time.Now()})
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// receive applies the records of another daemon.
func (c *crashReports) receive(records []poison.Record) {
	for _, r := range records {
		c.g.poison.Add(r, time.Now())
	}
}

// run sends records until the daemon stops.
func (c *crashReports) run() {
	for c.g.ctx.Err() == nil {
		records, next := c.due(time.Now())
		for len(records) > 0 {
			n := min(len(records), notice.MaxCrashes)
			c.send(records[:n])
			records = records[n:]
		}
		if next.IsZero() {
			select {
			case <-c.wake:
				_ = pause.For(c.g.ctx, reportInterval)
			case <-c.g.ctx.Done():
			}
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-c.wake:
			_ = pause.For(c.g.ctx, reportInterval)
		case <-c.g.ctx.Done():
		}
		timer.Stop()
	}
}

// due returns the records that must be sent now, and the time at which the next one is due; zero if there are none.
func (c *crashReports) due(now time.Time) (records []poison.Record, next time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.pending[:0]
	for _, p := range c.pending {
		if !now.Before(p.first.Add(reportDelays[p.sent])) {
			records = append(records, p.record)
			p.sent++
		}
		if p.sent == len(reportDelays) {
			continue
		}
		kept = append(kept, p)
		if at := p.first.Add(reportDelays[p.sent]); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	c.pending = kept
	return records, next
}

func (c *crashReports) send(records []poison.Record) {
	x := c.g.exchange.Load()
	if x == nil {
		return
	}
	if err := x.SendAll(c.g.spec.Domain, notice.Message{From: c.g.spec.Name, Crashes: records}); err != nil {
		c.g.log.WithError(err).Debug("sending crash records to peers failed")
	}
}
