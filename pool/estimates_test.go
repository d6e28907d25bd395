package pool

import (
	"math"
	"testing"
	"time"
)

// Guards against a daemon that got too few requests and therefore divides the endpoints differently from its peers, as
// seen at 3 requests per second and daemon, and against keeping the estimates of a daemon forever after its last
// message.
func TestDaemonsAgreeOnEstimates(t *testing.T) {
	start := time.Unix(1000, 0)
	var daemons []*estimates
	for range 40 {
		daemons = append(daemons, newEstimates())
	}
	for i := range 400 { // ten per daemon, few of them for the large model
		d, now := daemons[i%len(daemons)], start.Add(time.Duration(i)*5*time.Millisecond)
		model, ms := "small", 10.0
		if i%9 == 0 {
			model, ms = "large", 100
		}
		tokens := int64(1000 + i%7*1000)
		d.recordRequest("llm", model, i%27 == 0, i%4 == 0, ms, now)
		d.recordLatency("llm", model, tokens, time.Duration(ms/1000*float64(tokens)*float64(time.Millisecond)), now)
	}
	now := start.Add(2 * time.Second)
	for i, d := range daemons {
		for j, other := range daemons {
			if i != j {
				other.setPeer(string(rune('a'+i)), d.snapshot(now), now)
			}
		}
	}
	want, _ := daemons[0].segment("llm", "large", now)
	if want.From < 0.4 || want.From > 0.5 || want.LongWork < 0.2 || want.LongWork > 0.5 {
		t.Errorf("unexpected segment of the large model: %+v", want)
	}
	for i, d := range daemons {
		got, _ := d.segment("llm", "large", now)
		if math.Abs(got.From-want.From) > 1e-9 || math.Abs(got.LongWork-want.LongWork) > 1e-9 {
			t.Errorf("segment of daemon %d is %+v, of daemon 0 %+v", i, got, want)
		}
		if p := d.latencyModel("llm", "large"); math.Abs(p.tokenMs-0.1) > 0.01 {
			t.Errorf("daemon %d: latency model %+v, want 0.1 ms per token", i, p)
		}
	}
	if a := daemons[7].attempts("llm", now); a.Daemons != len(daemons) || math.Abs(a.Retries/a.First-1.0/3) > 0.02 {
		t.Errorf("attempts of all daemons: %+v, want %d daemons and one retry for three first attempts", a, len(daemons))
	}
	d := daemons[0]
	d.setPeer("new", nil, now.Add(peerEstimatesTTL+time.Second))
	if n := len(d.peers); n != 1 {
		t.Errorf("%d peers after the others sent nothing for more than %v, want 1", n, peerEstimatesTTL)
	}
}

// Guards against peer estimates that no requests can produce, and against more estimates or daemons than the memory
// limits allow.
func TestInvalidPeerEstimatesAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newEstimates()
	s.setPeer("a", []Estimate{{Service: "llm", Model: "m", Answers: math.NaN(), PrefillMs: 1}, {Service: "llm", Model: "n", PrefillMs: -1}, {Service: "llm", Model: "o", XX: math.Inf(1)}}, now)
	if _, mean := s.segment("llm", "m", now); mean != 0 || len(s.totals) != 0 {
		t.Errorf("invalid estimates were used: mean %g ms, %d models", mean, len(s.totals))
	}
	s.setPeer("b", make([]Estimate, maxPeerEstimates+1), now)
	for i := range 2 * maxPeers {
		s.setPeer(time.Duration(i).String(), nil, now)
	}
	if len(s.totals) != 0 || len(s.peers) > maxPeers {
		t.Errorf("%d models of %d peers exceed the limits", len(s.totals), len(s.peers))
	}
}
