package pool

import (
	"math"
	"testing"
	"time"
)

// Guards against a daemon that has seen few requests and therefore divides the endpoints otherwise than its neighbours, and against
// estimates of a daemon that counts for ever after its last word (nac-hulling-large: 3 requests a second for each daemon).
func TestEstimatesOfAllDaemonsAgree(t *testing.T) {
	start := time.Unix(1000, 0)
	var daemons []*estimates
	for range 40 {
		daemons = append(daemons, newEstimates())
	}
	for i := range 400 { // ten for each daemon, of which few are of the large model
		d, now := daemons[i%len(daemons)], start.Add(time.Duration(i)*5*time.Millisecond)
		model, ms := "small", 10.0
		if i%9 == 0 {
			model, ms = "large", 100
		}
		tokens := int64(1000 + i%7*1000)
		d.sent("llm", model, i%27 == 0, i%4 == 0, ms, now)
		d.observe("llm", model, tokens, time.Duration(ms/1000*float64(tokens)*float64(time.Millisecond)), now)
	}
	now := start.Add(2 * time.Second)
	for i, d := range daemons {
		for j, other := range daemons {
			if i != j {
				other.learn(string(rune('a'+i)), d.told(now), now)
			}
		}
	}
	want, _ := daemons[0].segment("llm", "large", now)
	if want.from < 0.4 || want.from > 0.5 || want.long < 0.2 || want.long > 0.5 {
		t.Errorf("segment of the large model %+v", want)
	}
	for i, d := range daemons {
		got, _ := d.segment("llm", "large", now)
		if math.Abs(got.from-want.from) > 1e-9 || math.Abs(got.long-want.long) > 1e-9 {
			t.Errorf("daemon %d has %+v, daemon 0 %+v", i, got, want)
		}
		if p := d.pace("llm", "large"); math.Abs(p.token-0.1) > 0.01 {
			t.Errorf("daemon %d: pace %+v", i, p)
		}
	}
	if a := daemons[7].attempts("llm", now); a.Daemons != len(daemons) || math.Abs(a.Repeats/a.First-1.0/3) > 0.02 {
		t.Errorf("attempts of all daemons %+v", a)
	}
	d := daemons[0]
	d.learn("new", nil, now.Add(peerForgotten+time.Second))
	if n := len(d.peers); n != 1 {
		t.Errorf("%d daemons after all others have been silent for %v", n, peerForgotten)
	}
}

// Guards against sums of another daemon that no requests can have, and against more of them than memory is meant for.
func TestEstimatesOfOthersAreChecked(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newEstimates()
	s.learn("a", []Estimate{{Service: "llm", Model: "m", Answers: math.NaN(), Work: 1}, {Service: "llm", Model: "n", Work: -1}, {Service: "llm", Model: "o", XX: math.Inf(1)}}, now)
	if _, mean := s.segment("llm", "m", now); mean != 0 || len(s.all) != 0 {
		t.Errorf("mean %g of %d models", mean, len(s.all))
	}
	s.learn("b", make([]Estimate, maxEstimates+1), now)
	for i := range 2 * maxPeers {
		s.learn(time.Duration(i).String(), nil, now)
	}
	if len(s.all) != 0 || len(s.peers) > maxPeers {
		t.Errorf("%d models of %d daemons", len(s.all), len(s.peers))
	}
}
