package main

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case models.
const (
	modelBytes    = 14_000 // of a value of X-Model; max-header-bytes is 16,384
	modelClients  = 8
	modelRequests = 20_000 // at one machine
	modelTime     = 90 * time.Second
)

// playModels: clients send safe requests of legal size, one after the other on kept connections, each with another value of X-Model. The
// rule: a process stays within the memory of its machine. Without the disruption, all values are the same.
func playModels(s *stage) (broken bool, err error) {
	s.publish()
	c := newCrowd()
	for i := range plainReplicas {
		r := &replica{s: s, id: fmt.Sprintf("i-app%d", i), service: plainService, zone: zones[i], slots: plainSlots, onRun: c.onRun}
		if err := r.listen(); err != nil {
			return false, err
		}
	}
	return s.playCrowd(c, modelTime, func(ctx context.Context, m *machine) {
		var sent atomic.Int64
		var clients sync.WaitGroup
		for i := range modelClients {
			clients.Go(func() { nameModels(ctx, m, i, s.trouble, c, &sent) })
		}
		clients.Wait()
	})
}

// nameModels sends the requests of one client, each after the answer to the one before. sent counts those of all clients at the machine.
func nameModels(ctx context.Context, m *machine, client int, distinct bool, c *crowd, sent *atomic.Int64) {
	for n := 0; ctx.Err() == nil && sent.Load() < modelRequests; {
		conn, err := m.dial(ctx)
		if err != nil {
			time.Sleep(dialRetry)
			continue
		}
		in := bufio.NewReader(conn)
		for ctx.Err() == nil && sent.Add(1) <= modelRequests {
			c.sent.Add(1)
			n++
			name := "m"
			if distinct {
				name = fmt.Sprintf("m-%d-%d-", client, n)
			}
			a := exchange(conn, in, &request{
				method: "GET", path: "/cufi504/a", attempt: fmt.Sprintf("c-%s-%d-%d", m.name, client, n), deadline: ordinaryDeadline,
				header: map[string]string{"X-Model": name + strings.Repeat("x", modelBytes-len(name))},
			})
			c.answered(a)
			if !a.complete || a.close {
				break
			}
		}
		_ = conn.Close()
	}
}
