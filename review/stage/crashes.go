package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case crashes.
const (
	crashMachines   = 8
	crashPause      = 20 * time.Millisecond // between two attempts of a client that retries at once
	crashDown       = 3 * time.Second       // until a replica is back
	crowdAfter      = 8 * time.Second       // from the first attempt until the request comes at the other machines
	crashTime       = 30 * time.Second      // for which it comes
	stabilityWindow = 3 * time.Second
	maxCrashRetries = 3
)

// poisonBody is the body of the request that crashes replicas, and poisonAttempt the beginning of the ids of its attempts.
const poisonBody, poisonAttempt = "poison", "p-"

// playCrashes: a request crashes each replica that begins to run it, first at one machine, and comes again with the same path, caller and body
// at the others. The rule BUDGET: it reaches replicas in three retries at most, sent later than stability-window-ms after it has crashed the
// third. Without the disruption, no replica crashes.
func playCrashes(s *stage) (broken bool, err error) {
	s.publish()
	var mu sync.Mutex
	var runs []run
	for i := range modelReplicas {
		r := &replica{s: s, id: fmt.Sprintf("i-llm%d", i), service: modelService, zone: zones[i%len(zones)], slots: modelSlots, events: 3, interval: 20 * time.Millisecond, downFor: crashDown}
		if s.trouble {
			r.crashOn = poisonBody
		}
		r.onRun = func(x run) {
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(x.attempt, poisonAttempt) {
				return
			}
			runs = append(runs, x)
			if s.trouble {
				s.note("replica %s runs %s", x.replica, x.attempt)
			}
		}
		if err := r.listen(); err != nil {
			return false, err
		}
	}
	if err := s.addMachines(crashMachines); err != nil {
		return false, err
	}
	begin := time.Now()
	first := poisonRequest("first", 0)
	s.note("the request comes at %s for the first time: %v", s.machines[0].name, ask(context.Background(), s.machines[0], first))
	time.Sleep(time.Until(begin.Add(crowdAfter)))
	c := newCrowd()
	ctx, cancel := context.WithTimeout(context.Background(), crashTime)
	defer cancel()
	var clients sync.WaitGroup
	for _, m := range s.machines[1:] {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.sent.Add(1)
				c.answered(ask(ctx, m, poisonRequest(m.name, n)))
				time.Sleep(crashPause)
			}
		})
	}
	clients.Wait()
	s.note("at the other machines: %v", c)
	if !s.trouble {
		s.note("the request ran %d times and crashed no replica", len(runs))
		return false, nil
	}
	return judgeCrashes(s, runs), nil
}

// poisonRequest returns an attempt at the request.
func poisonRequest(from string, n int) *request {
	return &request{method: "POST", path: "/lohu930/2f", attempt: fmt.Sprintf("%s%s-%d", poisonAttempt, from, n), deadline: 4 * time.Second, body: poisonBody,
		header: map[string]string{"X-Model": "daka510000", "X-Token-Counts": "250,33", "X-Prompt-Prefix": "e4402b7d:250"}}
}

// judgeCrashes applies the rule. All runs crash their replica.
func judgeCrashes(s *stage, runs []run) bool {
	if len(runs) < 3 {
		s.note("%d crashes", len(runs))
		return false
	}
	from := runs[2].at.Add(stabilityWindow)
	late := 0
	for _, r := range runs {
		if r.at.After(from) {
			late++
		}
	}
	s.note("%d crashes in all; %d retries reached replicas later than %v after the third crash, %d are allowed", len(runs), late, stabilityWindow, maxCrashRetries)
	return late > maxCrashRetries
}
