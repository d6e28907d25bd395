package pool

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
)

// recordedChoices plays requests with a fixed seed, without reported speeds, and returns the chosen endpoints, one line for
// 20 requests.
func recordedChoices(start time.Time) string {
	rng := rand.New(rand.NewPCG(7, 0))
	p := routedPool("d0", 3, 12, 20, start, func(h *hostlist.Host) {
		switch h.ID {
		case "a1", "b1":
			h.ColdUntil = start.Add(2 * time.Second)
		case "a2", "a3", "b3":
			h.Release = "v2"
		case "a4":
			h.Models = []string{"small"}
		}
	})
	type running struct {
		Reservation
		until   time.Time
		outcome Outcome
	}
	var list []running
	var out strings.Builder
	now := start
	for i := range 1200 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(8*time.Millisecond)))
		rest := list[:0]
		for _, r := range list {
			if r.until.After(now) {
				rest = append(rest, r)
				continue
			}
			if r.outcome == Succeeded || r.outcome == EndpointError {
				load := &engine.SlotLoad{Running: rng.IntN(6), Waiting: rng.IntN(2), Slots: 8}
				r.RecordRoutedHeader(now.Sub(r.reservedAt), r.outcome == Succeeded, load, 0, now)
				r.RecordStatement(rng.IntN(300) == 0, time.Duration(rng.IntN(50)/49)*200*time.Millisecond, now)
			}
			r.Release(r.outcome, now)
		}
		list = rest
		q := routedQuery([]string{"small", "large"}[rng.IntN(2)], rng.Int64N(9000))
		if group := rng.Uint64N(6); group > 0 {
			q.Routed.Parts = []engine.PromptPart{{ID: group, Tokens: q.Prompt / 2}, {ID: 100 + rng.Uint64N(20), Tokens: q.Prompt / 4}, {ID: 1000 + uint64(i), Tokens: q.Prompt / 4}}
		}
		q.Routed.Bytes = rng.IntN(9000)
		q.Suspect = rng.IntN(50) == 0
		switch rng.IntN(10) {
		case 0:
			q.Exclude = []string{"a0", "b0"}
		case 1:
			q.Routed.Release = "v2"
		case 2:
			q.Routed.NotRelease = "v2"
		}
		id := "-"
		if r, _, ok := p.Pick(q, now); ok {
			id = r.ID
			outcome := Succeeded
			if rng.IntN(25) == 0 {
				outcome = []Outcome{Busy, ConnectionFailed, Incomplete, EndpointError, Stalled, Cancelled}[rng.IntN(6)]
			}
			list = append(list, running{r, now.Add(time.Duration(20+rng.IntN(200)) * time.Millisecond), outcome})
		}
		out.WriteString(id + " \n"[(i%20)/19:][:1])
	}
	return out.String()
}

// Guards against a change of the choices for services whose endpoints report no speed.
func TestRecordedChoices(t *testing.T) {
	want, err := os.ReadFile("testdata/choices.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := recordedChoices(time.Unix(1000, 0))
	wantLines := strings.Split(string(want), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(wantLines) || line != wantLines[i] {
			t.Fatalf("line %d: endpoints %s, recorded are %s", i+1, line, wantLines[min(i, len(wantLines)-1)])
		}
	}
}

func BenchmarkRoutedChoice(b *testing.B) {
	for _, n := range []int{3, 140, 840} {
		for _, c := range []struct {
			parts    int
			slowness float64
		}{{0, 0}, {3, 0}, {0, 1}, {3, 1}} {
			b.Run(fmt.Sprintf("endpoints=%d/parts=%d/slowness=%g", n, c.parts, c.slowness), func(b *testing.B) {
				now := time.Unix(1000, 0)
				p := routedPool("d0", 10, 1, 0, now, nil)
				var list hostlist.List
				for i := range n {
					list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprint("e", i), Role: hostlist.RoleEndpoint, Domain: string(rune('a' + i%2)),
						State: hostlist.StateLive, Addr: fmt.Sprint("e:", i), Service: "llm", Release: "v1", Slots: 64})
				}
				p.SetHosts(list, now)
				q := routedQuery("small", 4000)
				for i := range c.parts {
					q.Routed.Parts = append(q.Routed.Parts, engine.PromptPart{ID: uint64(i), Tokens: 1000})
				}
				for range 2 * n {
					r, _, _ := p.Pick(q, now)
					r.RecordRoutedHeader(30*time.Millisecond, true, &engine.SlotLoad{Running: 8, Slots: 64, Slowness: c.slowness}, 0, now)
				}
				q.DryRun = true
				b.ReportAllocs()
				for b.Loop() {
					if _, _, ok := p.Pick(q, now); !ok {
						b.Fatal("no endpoint")
					}
				}
			})
		}
	}
}
