package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// PollTarget is an endpoint whose load report is to be requested.
type PollTarget struct {
	ID   string
	Addr string
}

// NextPolls returns up to n endpoints whose load reports are needed most, and marks them as polled. Endpoints whose
// reports a request needs come first, then the least recently polled ones. The time of the poll decides, not that of the
// report, because endpoints that return no report would otherwise always come first.
func (p *Pool) NextPolls(n int, now time.Time) []PollTarget {
	type pollCandidate struct {
		PollTarget
		pollWanted bool
		lastPoll   time.Time
		e          *endpoint
	}
	var list []pollCandidate
	for _, e := range p.table.Load().all {
		e.mu.Lock()
		list = append(list, pollCandidate{PollTarget{e.host.ID, e.host.Addr}, e.pollWanted, e.polledAt, e})
		e.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b pollCandidate) int {
		if a.pollWanted != b.pollWanted {
			if a.pollWanted {
				return -1
			}
			return 1
		}
		return cmp.Or(a.lastPoll.Compare(b.lastPoll), cmp.Compare(a.ID, b.ID))
	})
	out := make([]PollTarget, 0, n)
	for _, c := range list[:min(n, len(list))] {
		c.e.mu.Lock()
		c.e.pollWanted, c.e.polledAt = false, now
		c.e.mu.Unlock()
		out = append(out, c.PollTarget)
	}
	return out
}

// EndpointState describes an endpoint in a state dump.
type EndpointState struct {
	ID        string      `json:"id"`
	Addr      string      `json:"addr"`
	Domain    string      `json:"domain"`
	Service   string      `json:"service"`
	Versions  []string    `json:"versions,omitempty"`
	Rank      int         `json:"rank"`
	Members   int         `json:"members"`
	Slots     int64       `json:"slots"` // this daemon's current share
	InFlight  int64       `json:"inFlight"`
	Tokens    int64       `json:"tokens"`
	Boot      string      `json:"boot"`
	Completed int64       `json:"completed"`
	Failures  int         `json:"failures"`
	Ejected   bool        `json:"ejected"`
	Load      engine.Load `json:"load"`
	// PrefillMs is the expected prefill time of this daemon's unanswered routed requests, in milliseconds.
	PrefillMs float64 `json:"reading"`
}

// Dump returns the states of at most limit endpoints.
func (p *Pool) Dump(now time.Time, limit int) []EndpointState {
	t := p.table.Load()
	out := []EndpointState{}
	for _, e := range t.all[:min(limit, len(t.all))] {
		e.mu.Lock()
		r := t.rules[e.host.Service]
		a := e.currentAssignment(r, now)
		s := EndpointState{
			ID: e.host.ID, Addr: e.host.Addr, Domain: e.host.Domain, Service: e.host.Service, Versions: e.host.Versions,
			Rank: a.rank, Members: a.sharingDaemons(r.limits.Slots), Slots: e.slotShare(r, now), InFlight: e.inFlight, Tokens: e.tokens,
			Boot: e.boot, Completed: e.completed, Failures: e.failures, Ejected: now.Before(e.ejectedUntil), Load: e.load, PrefillMs: e.routed.prefillMs,
		}
		e.mu.Unlock()
		out = append(out, s)
	}
	return out
}
