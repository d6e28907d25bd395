package local

import (
	"context"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/standin"
)

// BenchmarkAddedLatency measures a streamed request sent through a daemon against the same request sent directly to the
// engine. Both use a new connection for each request, as callers of streams do.
func BenchmarkAddedLatency(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := New(nil)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	if err := DeploySample(ctx, d, 1, standin.EngineSpec{Slots: 64, ColdSlots: 64}); err != nil {
		b.Fatal(err)
	}
	viaDaemon := sampleClient(d, 0)
	direct := NewClient(d.servers[SampleSmall+"-"+SampleDomainA].Addr, SampleKey)
	direct.HTTP.CloseIdleConnections()
	var elapsed [2]time.Duration
	n := 0
	for b.Loop() {
		for i, c := range []*Client{direct, viaDaemon} {
			model := []string{SampleSmall, "small"}[i]
			start := time.Now()
			if _, err := c.Chat(ctx, ChatBody(model, "prompt", true), map[string]string{"Connection": "close"}); err != nil {
				b.Fatal(err)
			}
			elapsed[i] += time.Since(start)
		}
		n++
	}
	b.ReportMetric(float64(elapsed[0].Microseconds())/float64(n), "direct-µs")
	b.ReportMetric(float64(elapsed[1].Microseconds())/float64(n), "daemon-µs")
	b.ReportMetric(float64(elapsed[1])/float64(elapsed[0]), "ratio")
	if err := d.Close(ctx); err != nil {
		b.Error(err)
	}
}
