package pool

import (
	"testing"
	"time"
)

// pickAndRelease picks an endpoint, ends the request with an outcome, and returns the endpoint's ID.
func pickAndRelease(t *testing.T, p *Pool, now time.Time, o Outcome, exclude ...string) string {
	t.Helper()
	q := routedQuery("m", 10)
	q.Exclude = exclude
	r, short, ok := p.Pick(q, now)
	if !ok {
		t.Fatalf("no endpoint: %+v", short)
	}
	if o == Succeeded {
		r.RecordRoutedHeader(time.Millisecond, true, nil, 0, now)
	}
	r.Release(o, now)
	return r.ID
}

// Guards against timeouts at each endpoint of an unreachable failure domain in turn although endpoints elsewhere
// answer, and against a domain that gets no requests after it is reachable again.
func TestCutOffDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 3, 8, 0, now, nil) // endpoints a0 to a7 and b0 to b7; the daemon is in domain a
	local := []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7"}
	for range unreachableThreshold {
		if id := pickAndRelease(t, p, now, ConnectTimedOut, local...); id[0] != 'b' {
			t.Fatalf("%s was chosen although domain a is excluded", id)
		}
	}
	full := map[string]bool{}
	for i := range 8 * 8 { // the local endpoints fill up before one in b is tried
		q := routedQuery("m", 10)
		r, _, ok := p.Pick(q, now.Add(time.Duration(i)*time.Millisecond))
		if !ok {
			t.Fatal("no endpoint")
		}
		full[r.ID] = true
		if r.ID[0] == 'b' {
			t.Fatalf("request %d went to %s, whose domain is unreachable", i, r.ID)
		}
	}
	if id := pickAndRelease(t, p, now.Add(100*time.Millisecond), Stalled); id[0] != 'b' {
		t.Errorf("%s was chosen while the local endpoints are full: a request must be tried in a domain that only seems unreachable", id)
	}
	if p.reachability.unreachable("b", now.Add(100*time.Millisecond+unreachableProbeInterval)) {
		t.Error("no probe is due after the interval, so the domain would stay unreachable")
	}
	pickAndRelease(t, p, now.Add(200*time.Millisecond), Succeeded)
	if p.reachability.unreachable("b", now.Add(201*time.Millisecond)) {
		t.Error("the domain counts as unreachable after one of its endpoints answered")
	}
}

// Guards against treating a whole domain as unreachable because of one stalled endpoint.
func TestOneStalledEndpointLeavesDomainReachable(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 3, 1, 0, now, nil)
	for range 5 {
		p.reachability.recordTimeout("b", "b0", now)
	}
	if p.reachability.unreachable("b", now) {
		t.Error("the domain counts as unreachable because of a single endpoint")
	}
}
