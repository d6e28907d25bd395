package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Target is an endpoint whose load report is due.
type Target struct {
	ID   string
	Addr string
}

// Due returns up to n endpoints whose reports are most needed: first those that a request wanted, then those that were
// asked the longest time ago. It goes by the time of asking, since endpoints that give no report would otherwise take
// every turn.
func (p *Pool) Due(n int, now time.Time) []Target {
	type candidate struct {
		Target
		wanted bool
		at     time.Time
		e      *endpoint
	}
	var list []candidate
	for _, e := range p.table.Load().all {
		e.mu.Lock()
		list = append(list, candidate{Target{e.host.ID, e.host.Addr}, e.wanted, e.askedAt, e})
		e.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.wanted != b.wanted {
			if a.wanted {
				return -1
			}
			return 1
		}
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ID, b.ID))
	})
	out := make([]Target, 0, n)
	for _, c := range list[:min(n, len(list))] {
		c.e.mu.Lock()
		c.e.wanted, c.e.askedAt = false, now
		c.e.mu.Unlock()
		out = append(out, c.Target)
	}
	return out
}

// State describes one endpoint in a state dump.
type State struct {
	ID        string      `json:"id"`
	Addr      string      `json:"addr"`
	Domain    string      `json:"domain"`
	Service   string      `json:"service"`
	Versions  []string    `json:"versions,omitempty"`
	Rank      int         `json:"rank"`
	Members   int         `json:"members"`
	Slots     int64       `json:"slots"` // this daemon's share now
	InFlight  int64       `json:"inFlight"`
	Tokens    int64       `json:"tokens"`
	Boot      string      `json:"boot"`
	Completed int64       `json:"completed"`
	Failures  int         `json:"failures"`
	Ejected   bool        `json:"ejected"`
	Load      engine.Load `json:"load"`
	// Reading is the time for the prompts of this daemon's routed requests that have no answer yet, in milliseconds.
	Reading float64 `json:"reading"`
}

// Dump returns the state of up to limit endpoints.
func (p *Pool) Dump(now time.Time, limit int) []State {
	t := p.table.Load()
	out := []State{}
	for _, e := range t.all[:min(limit, len(t.all))] {
		e.mu.Lock()
		r := t.rules[e.host.Service]
		place := e.place(r, now)
		s := State{
			ID: e.host.ID, Addr: e.host.Addr, Domain: e.host.Domain, Service: e.host.Service, Versions: e.host.Versions,
			Rank: place.rank, Members: place.members(r.limits.Slots), Slots: e.slotShare(r, now), InFlight: e.inFlight, Tokens: e.tokens,
			Boot: e.boot, Completed: e.completed, Failures: e.failures, Ejected: now.Before(e.ejected), Load: e.load, Reading: e.routed.work,
		}
		e.mu.Unlock()
		out = append(out, s)
	}
	return out
}
