package admit

import (
	"testing"

	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against request bodies that use more memory than the limit, against one team that uses the share of the others,
// and against bytes that are not freed when requests end.
func TestBodiesInFlightAreBounded(t *testing.T) {
	f := New(Spec{MaxInFlight: 10, MaxBytes: 100})
	charge := func(team string, bytes int64) (*Permit, error) {
		p, err := f.Do()
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Charge(team, bytes); err != nil {
			p.Release()
			return nil, err
		}
		return p, nil
	}
	var held []*Permit
	for _, c := range []struct {
		team  string
		bytes int64
		fits  bool
	}{{"a", 40, true}, {"a", 11, false}, {"a", 10, true}, {"b", 50, true}, {"c", 1, false}} {
		p, err := charge(c.team, c.bytes)
		if (err == nil) != c.fits {
			t.Fatalf("charge %+v returned %v", c, err)
		}
		if err != nil && (result.From(err).Code != result.Overloaded || result.From(err).Ran != result.NotRun || result.From(err).RetryAfter == 0) {
			t.Errorf("charge %+v returned %v; want overloaded, not run, and a time to retry after", c, err)
		}
		if p != nil {
			held = append(held, p)
		}
	}
	for _, p := range held {
		p.Release()
		p.Release()
	}
	if f.InFlight() != 0 || f.bytes != 0 || len(f.byTeam) != 0 {
		t.Errorf("%d requests, %d bytes and teams %v are left after all releases", f.InFlight(), f.bytes, f.byTeam)
	}
}
