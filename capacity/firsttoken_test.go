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

// Half of the peak load of a daemon at the scale target. The target of 1.6 million tokens/s and 6,500 requests/s for 370
// daemons is 4,324 tokens/s and 17.6 requests/s per daemon, with 246 tokens per answer.
const (
	halfLoadStreams = 43 // at one token per 20 ms each, 2,150 tokens/s
	halfLoadTokens  = 246
	halfLoadDelay   = 20 * time.Millisecond
	firstTokenPairs = 300 // per run
	latencyTimeout  = 10 * time.Minute
)

// firstToken sends a streaming chat request on a new connection and returns the time until its first event. It reads the
// stream to its end.
func firstToken(ctx context.Context, addr, model string, tokens int) (time.Duration, error) {
	c := local.NewClient(addr, local.SampleKey)
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, model, tokens, local.MessagesJSON("prompt"))
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
		return 0, fmt.Errorf("chat request: status %d: %w", resp.StatusCode, err)
	}
	_, err = lines.WriteTo(discard{})
	return took, err
}

// discard is a writer that drops its input.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// quantile returns the q-quantile of times. It sorts times in place.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// startLoad keeps the given number of streams in flight through the daemon at addr until stop is called.
func (f *testFleet) startLoad(addr string, streams, tokens int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := firstToken(ctx, addr, "small", tokens); err != nil && ctx.Err() == nil {
					f.t.Errorf("request of the background load: %v", err)
					return
				}
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// newLatencyFleet starts a fleet with one daemon and with limits that the load does not reach. engineAddr is the address of the
// engine of the small model in the daemon's failure domain.
func newLatencyFleet(tb testing.TB, flags ...string) (f *testFleet, engineAddr string) {
	set := local.SampleSet()
	set.Services[0].Limits.Slots, set.Services[0].Limits.ColdSlots, set.Services[0].Limits.Tokens = 2000, 2000, 100_000_000
	f = newTestFleet(tb, latencyTimeout, standin.EngineSpec{Slots: 2000, ColdSlots: 2000, TokenDelay: halfLoadDelay, FirstTokenDelay: halfLoadDelay, AnswerTokens: 4000}, set)
	f.start("entry-1", local.SampleDomainA, flags...)
	for _, h := range f.Platform.Hosts.Snapshot().Hosts {
		if h.ID == local.SampleSmall+"-"+local.SampleDomainA {
			engineAddr = h.Addr
		}
	}
	return f, engineAddr
}

// BenchmarkFirstToken measures how much a daemon at half load adds to the time to the first token. It alternates requests
// through the daemon's process and requests sent directly to the engine, which takes 20 ms, so that both see the same load of
// the machine. Each iteration is a run of firstTokenPairs pairs; the metric is the median over the runs of the difference of
// the 99th percentiles. If BRAMLEY_PROFILE is set, the daemon's CPU profile is written to that file.
func BenchmarkFirstToken(b *testing.B) {
	f, engine := newLatencyFleet(b)
	daemon := f.members[0].callerAddr
	defer f.startLoad(daemon, halfLoadStreams, halfLoadTokens)()
	if path := os.Getenv("BRAMLEY_PROFILE"); path != "" {
		go func() {
			data, err := httpGet(f.ctx, "http://"+f.members[0].operatorAddr+"/debug/pprof/profile?seconds=8")
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
		direct, through := f.measureFirstTokens(engine, daemon)
		for _, q := range []float64{0.5, 0.99} {
			d, t := quantile(direct, q), quantile(through, q)
			b.Logf("quantile %.2f: %v direct, %v added, ratio %.3f", q, d.Round(time.Microsecond), (t - d).Round(time.Microsecond), float64(t)/float64(d))
		}
		added = append(added, quantile(through, 0.99)-quantile(direct, 0.99))
	}
	b.ReportMetric(float64(quantile(added, 0.5).Microseconds()), "p99-added-µs")
}

// measureFirstTokens alternates requests to the engine and through the daemon and returns their times to the first token.
func (f *testFleet) measureFirstTokens(engine, daemon string) (directTimes, daemonTimes []time.Duration) {
	for range firstTokenPairs {
		d, err := firstToken(f.ctx, engine, local.SampleSmall, 1)
		if err != nil {
			f.t.Fatal(err)
		}
		t, err := firstToken(f.ctx, daemon, "small", 1)
		if err != nil {
			f.t.Fatal(err)
		}
		directTimes, daemonTimes = append(directTimes, d), append(daemonTimes, t)
	}
	return directTimes, daemonTimes
}
