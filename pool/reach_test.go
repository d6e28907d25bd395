package pool

import (
	"testing"
	"time"
)

// pickFor returns the endpoint chosen for a request, and ends it with an outcome.
func pickFor(t *testing.T, p *Pool, now time.Time, o Outcome, exclude ...string) string {
	t.Helper()
	q := routedQuery("m", 10)
	q.Exclude = exclude
	r, short, ok := p.Pick(q, now)
	if !ok {
		t.Fatalf("no endpoint: %+v", short)
	}
	if o == Succeeded {
		r.Answered(time.Millisecond, true, nil, 0, now)
	}
	r.Release(o, now)
	return r.ID
}

// Guards against a failure domain that is cut off and costs a time limit at each of its endpoints, one after the other,
// although endpoints elsewhere answer; and against one that gets nothing again after its return.
func TestCutOffDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 3, 8, 0, now, nil) // endpoints a0 to a7 and b0 to b7; the daemon is in domain a
	local := []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7"}
	for range unreachedEndpoints {
		if id := pickFor(t, p, now, Unreached, local...); id[0] != 'b' {
			t.Fatalf("%s chosen among the endpoints of b", id)
		}
	}
	full := map[string]bool{}
	for i := range 8 * 8 { // the local endpoints fill up before one of b is tried
		q := routedQuery("m", 10)
		r, _, ok := p.Pick(q, now.Add(time.Duration(i)*time.Millisecond))
		if !ok {
			t.Fatal("no endpoint")
		}
		full[r.ID] = true
		if r.ID[0] == 'b' {
			t.Fatalf("request %d went to %s, whose domain is cut off", i, r.ID)
		}
	}
	if id := pickFor(t, p, now.Add(100*time.Millisecond), Silent); id[0] != 'b' {
		t.Errorf("%s chosen while the local endpoints are full: requests must not be refused for a guess", id)
	}
	if p.reach.cutOff("b", now.Add(100*time.Millisecond+unreachedProbe)) {
		t.Error("nothing would find out that the domain is back")
	}
	pickFor(t, p, now.Add(200*time.Millisecond), Succeeded)
	if p.reach.cutOff("b", now.Add(201*time.Millisecond)) {
		t.Error("the domain counts as cut off after an answer from there")
	}
}

// Guards against one silent endpoint that is taken for the end of its whole domain.
func TestOneSilentEndpointIsNoCut(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 3, 1, 0, now, nil)
	for range 5 {
		p.reach.lost("b", "b0", now)
	}
	if p.reach.cutOff("b", now) {
		t.Error("one endpoint counts for its domain")
	}
}
