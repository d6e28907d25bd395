package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case parts.
const (
	partsClients = 1000   // at one machine
	partsBytes   = 15_500 // of X-Prompt-Prefix; max-header-bytes is 16,384
	partsPause   = 500 * time.Millisecond
	partsTime    = 30 * time.Second
	partsEvents  = 40
	partsEvery   = 250 * time.Millisecond // time between events
)

// playParts: clients send streams of legal size whose X-Prompt-Prefix has as many parts as fit. The rule: a process stays within the memory of
// its machine. Without the disruption, the prefix has three parts, and another header makes up for the size.
func playParts(s *stage) (broken bool, err error) {
	s.publish()
	c := newCrowd()
	for i := range modelReplicas {
		r := &replica{s: s, id: fmt.Sprintf("i-llm%d", i), service: modelService, zone: zones[i%len(zones)], slots: modelSlots, events: partsEvents, interval: partsEvery, onRun: c.onRun}
		if err := r.listen(); err != nil {
			return false, err
		}
	}
	for i := range plainReplicas {
		r := &replica{s: s, id: fmt.Sprintf("i-app%d", i), service: plainService, zone: zones[i], slots: plainSlots, onRun: c.onRun}
		if err := r.listen(); err != nil {
			return false, err
		}
	}
	header := map[string]string{"X-Model": "daka510000", "X-Token-Counts": "1460,440", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}
	if s.trouble {
		header["X-Prompt-Prefix"] = strings.TrimSuffix(strings.Repeat("1:1,", partsBytes/len("1:1,")), ",")
	} else {
		header["X-Note"] = strings.Repeat("x", partsBytes)
	}
	return s.playCrowd(c, partsTime, func(ctx context.Context, m *machine) {
		var clients sync.WaitGroup
		for i := range partsClients {
			clients.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					c.sent.Add(1)
					c.answered(ask(ctx, m, &request{method: "POST", path: "/lohu930/2f", attempt: fmt.Sprintf("c-%s-%d-%d", m.name, i, n), deadline: 25 * time.Second, header: header, body: "draft"}))
					time.Sleep(partsPause)
				}
			})
		}
		clients.Wait()
	})
}
