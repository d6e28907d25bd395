package pool

import (
	"cmp"
	"slices"
	"time"
)

// PeerReport is a load report of an endpoint of a service whose endpoints report their speed, to be sent to the other daemons
// of the failure domain. One of many daemons hears from an endpoint too rarely to know its load.
type PeerReport struct {
	Endpoint uint64 `msgpack:"e"` // hash of the ID
	Requests int    `msgpack:"r"` // running and waiting
	Slowness int    `msgpack:"s"` // in percent
	AgeMs    int    `msgpack:"a"`
}

const (
	// maxPeerReports bounds the reports in a message, of 25 bytes each, so that they need a small part of the bandwidth of the
	// estimates that they are sent with.
	maxPeerReports = 16
	// maxReportAge is the age from which a report is not sent. Most requests last for a few seconds at most.
	maxReportAge = 2 * time.Second
	// maxPeerRequests bounds the requests that a report may tell of one endpoint.
	maxPeerRequests = 1 << 20
)

// PeerReports returns the newest reports that this daemon got from endpoints and did not return before.
func (p *Pool) PeerReports(now time.Time) []PeerReport {
	t := p.table.Load()
	var list []PeerReport
	for _, e := range t.all {
		e.mu.Lock()
		if age := now.Sub(e.routed.peerRequestsAt); e.routed.unshared && age < maxReportAge {
			list = append(list, PeerReport{
				Endpoint: e.key, Requests: e.routed.peerRequests + int(e.inFlight), Slowness: int(e.routed.slowness.Latest * 100), AgeMs: int(age / time.Millisecond),
			})
		}
		e.routed.unshared = false
		e.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b PeerReport) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return list[:min(len(list), maxPeerReports)]
}

// RecordPeerReports records reports that another daemon got from endpoints. It ignores those that are older than this
// daemon's own, invalid ones and those of unknown endpoints.
func (p *Pool) RecordPeerReports(list []PeerReport, now time.Time) {
	t := p.table.Load()
	for _, r := range list[:min(len(list), maxPeerReports)] {
		e := t.byKey[r.Endpoint]
		if e == nil || r.AgeMs < 0 || r.AgeMs > int(maxReportAge/time.Millisecond) || r.Requests < 0 || r.Requests > maxPeerRequests || r.Slowness <= 0 {
			continue
		}
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		e.mu.Lock()
		if at.After(e.routed.peerRequestsAt) {
			e.recordRequests(r.Requests, at)
			e.routed.unshared = false
		}
		if at.After(e.routed.slownessAt) {
			e.recordSlowness(float64(r.Slowness)/100, at)
		}
		e.mu.Unlock()
	}
}
