package local

import (
	"context"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/standin"
)

// BenchmarkAddedLatency compares a streamed request through the daemon with the same request sent to the engine. Both
// use a new connection for each request, as callers of streams do.
func BenchmarkAddedLatency(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := New(nil)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	if err := Sample(ctx, d, 1, standin.EngineSpec{Slots: 64, ColdSlots: 64}); err != nil {
		b.Fatal(err)
	}
	through := sampleClient(d, 0)
	direct := NewClient(d.servers[SampleSmall+"-"+SampleDomainA].Addr, SampleKey)
	direct.HTTP.CloseIdleConnections()
	var took [2]time.Duration
	n := 0
	for b.Loop() {
		for i, c := range []*Client{direct, through} {
			model := []string{SampleSmall, "small"}[i]
			start := time.Now()
			if _, err := c.Chat(ctx, ChatBody(model, "prompt", true), map[string]string{"Connection": "close"}); err != nil {
				b.Fatal(err)
			}
			took[i] += time.Since(start)
		}
		n++
	}
	b.ReportMetric(float64(took[0].Microseconds())/float64(n), "direct-µs")
	b.ReportMetric(float64(took[1].Microseconds())/float64(n), "daemon-µs")
	b.ReportMetric(float64(took[1])/float64(took[0]), "ratio")
	if err := d.Close(ctx); err != nil {
		b.Error(err)
	}
}
