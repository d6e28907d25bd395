package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Half of the peak load of a daemon at the scale target: 1.6 million tokens a second and 6,500 requests a second by 370
// daemons are 4,324 tokens and 17.6 requests a second each, with 246 tokens an answer.
const (
	halfLoadStreams = 43 // with a token each 20 ms, 2,150 tokens a second
	halfLoadTokens  = 246
	halfLoadDelay   = 20 * time.Millisecond
	firstTokenPairs = 300 // of one run
	latencyTimeout  = 10 * time.Minute
)

// firstToken returns the time from the start of a request on a new connection to its first event.
func firstToken(ctx context.Context, addr, model string, tokens int) (time.Duration, error) {
	c := local.NewClient(addr, local.SampleKey)
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, model, tokens, local.Messages("prompt"))
	start := time.Now()
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, map[string]string{"Connection": "close"})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	_, err = lines.ReadString('\n')
	took := time.Since(start)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	_, err = lines.WriteTo(discard{})
	return took, err
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// quantile returns the q-quantile of times, which it sorts.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// underLoad keeps streams in progress through a daemon until the returned function is called.
func (f *testFleet) underLoad(addr string, streams, tokens int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := firstToken(ctx, addr, "small", tokens); err != nil && ctx.Err() == nil {
					f.t.Errorf("load: %v", err)
					return
				}
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

func latencyFleet(tb testing.TB, flags ...string) (f *testFleet, engine string) {
	set := local.SampleSet()
	set.Services[0].Limits.Slots, set.Services[0].Limits.ColdSlots, set.Services[0].Limits.Tokens = 2000, 2000, 100_000_000
	f = newTestFleet(tb, latencyTimeout, standin.EngineSpec{Slots: 2000, ColdSlots: 2000, TokenDelay: halfLoadDelay, FirstTokenDelay: halfLoadDelay, AnswerTokens: 4000}, set)
	f.start("entry-1", local.SampleDomainA, flags...)
	for _, h := range f.Platform.Hosts.Snapshot().Hosts {
		if h.ID == local.SampleSmall+"-"+local.SampleDomainA {
			engine = h.Addr
		}
	}
	return f, engine
}

// BenchmarkFirstToken compares the first token of requests through a daemon's process at half load with that of requests
// sent to the engine, in turn, so that both meet the same load of the machine. The engine takes 20 ms for it. Each
// iteration is a run; the metric is the median of the runs. With
// BRAMLEY_PROFILE set, the daemon's processor profile is written to that file.
func BenchmarkFirstToken(b *testing.B) {
	f, engine := latencyFleet(b)
	daemon := f.members[0].caller
	defer f.underLoad(daemon, halfLoadStreams, halfLoadTokens)()
	if path := os.Getenv("BRAMLEY_PROFILE"); path != "" {
		go func() {
			data, err := get(f.ctx, "http://"+f.members[0].operator+"/debug/pprof/profile?seconds=8")
			if err == nil {
				err = os.WriteFile(path, data, 0o600)
			}
			if err != nil {
				b.Error(err)
			}
		}()
	}
	var added []time.Duration
	for b.Loop() {
		direct, through := f.compareFirstTokens(engine, daemon)
		for _, q := range []float64{0.5, 0.99} {
			d, t := quantile(direct, q), quantile(through, q)
			b.Logf("quantile %.2f: %v direct, %v added, ratio %.3f", q, d.Round(time.Microsecond), (t - d).Round(time.Microsecond), float64(t)/float64(d))
		}
		added = append(added, quantile(through, 0.99)-quantile(direct, 0.99))
	}
	b.ReportMetric(float64(quantile(added, 0.5).Microseconds()), "p99-added-µs")
}

// compareFirstTokens sends requests to the engine and through the daemon in turn.
func (f *testFleet) compareFirstTokens(engine, daemon string) (direct, through []time.Duration) {
	for range firstTokenPairs {
		d, err := firstToken(f.ctx, engine, local.SampleSmall, 1)
		if err != nil {
			f.t.Fatal(err)
		}
		t, err := firstToken(f.ctx, daemon, "small", 1)
		if err != nil {
			f.t.Fatal(err)
		}
		direct, through = append(direct, d), append(through, t)
	}
	return direct, through
}
