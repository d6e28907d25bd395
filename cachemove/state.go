package cachemove

import (
	"cmp"
	"slices"
	"time"
)

// State is the part of a state dump that describes the moves in flight and the measured rates.
type State struct {
	InFlight int          `json:"inFlight"`
	Versions []RatesState `json:"versions"`
}

// RatesState holds the measured rates of one version. A rate that is not known yet is 0.
type RatesState struct {
	Service        string        `json:"service"`
	Version        string        `json:"version"`
	TokenPrefill   time.Duration `json:"tokenPrefillNs"`
	TokenBytes     float64       `json:"tokenBytes"`
	LocalMoveRate  float64       `json:"localMoveBytesPerSecond"` // within a failure domain, of a cache of mean size
	RemoteMoveRate float64       `json:"remoteMoveBytesPerSecond"`
}

// State returns the state for a state dump, or nil if m is nil.
func (m *Mover) State() *State {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &State{InFlight: m.inFlight, Versions: []RatesState{}}
	for k, r := range m.rates {
		rate, _ := r.prefillRate()
		v := RatesState{Service: k.service, Version: k.version, TokenPrefill: seconds(rate)}
		v.TokenBytes = ratioOrZero(r.size.y, r.size.x)
		v.LocalMoveRate = ratioOrZero(r.paths[0].move.x, r.paths[0].move.y)
		v.RemoteMoveRate = ratioOrZero(r.paths[1].move.x, r.paths[1].move.y)
		s.Versions = append(s.Versions, v)
	}
	slices.SortFunc(s.Versions, func(a, b RatesState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return s
}

// ratioOrZero returns a/b, or 0 if b is 0.
func ratioOrZero(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
