package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimitMB is the memory of a machine.
	memoryLimitMB = 134
	// ordinaryDeadline is the deadline of ordinary requests, of which a client sends one each ordinaryPause on a kept connection.
	ordinaryDeadline, ordinaryPause = 3 * time.Second, 25 * time.Millisecond
	sampleInterval                  = 50 * time.Millisecond  // between two looks at the memory
	noteInterval                    = 2 * time.Second        // between two lines of the record
	restartDelay                    = 300 * time.Millisecond // from the end of a process until the platform starts it again
	dialRetry                       = 100 * time.Millisecond
	// ordinaryAttempt is the beginning of the ids of ordinary requests.
	ordinaryAttempt = "ordinary-"
	// The rule Fault: a tenth of the machines in use, two at least, on which processes end by themselves so many times.
	faultMachines, faultEnds = 2, 3
)

// crowd counts what the clients of a case sent and were answered, and what replicas ran.
type crowd struct {
	sent, ran atomic.Int64

	mu       sync.Mutex
	statuses map[int]int
	ordinary map[string]bool // ids of ordinary requests that a replica ran
}

func newCrowd() *crowd { return &crowd{statuses: map[int]int{}, ordinary: map[string]bool{}} }

// onRun counts a request that a replica runs.
func (c *crowd) onRun(x run) {
	c.ran.Add(1)
	if len(x.attempt) >= len(ordinaryAttempt) && x.attempt[:len(ordinaryAttempt)] == ordinaryAttempt {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ordinary[x.attempt] = true
	}
}

// answered counts an answer.
func (c *crowd) answered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[a.status]++
}

// String returns the counts as a line of the record has them.
func (c *crowd) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d requests sent, %d runs, answers by status %v", c.sent.Load(), c.ran.Load(), c.statuses)
}

// platform plays the platform's part for a machine until ctx ends: it kills a process that exceeds memory-mb, and starts a process that has
// ended again. It returns the number of ends.
func (s *stage) platform(ctx context.Context, m *machine, c *crowd) (ends int) {
	limit, peak := int64(memoryLimitMB)<<20, int64(0)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	noted := time.Now()
	for ends < faultEnds {
		select {
		case <-tick.C:
		case <-ctx.Done():
			s.note("%s: peak of the resident memory %d MB of %d", m.name, peak>>20, memoryLimitMB)
			return ends
		}
		now := m.residentBytes()
		peak = max(peak, now)
		if time.Since(noted) > noteInterval {
			noted = time.Now()
			s.note("%s: resident memory %d MB of %d; %v", m.name, now>>20, memoryLimitMB, c)
		}
		if now <= limit && m.runs() {
			continue
		}
		ends++
		s.note("%s: resident memory %d MB of %d: the platform kills the process, the %d. end; %v", m.name, now>>20, memoryLimitMB, ends, c)
		m.kill()
		time.Sleep(restartDelay)
		if err := s.startProcess(m); err != nil {
			s.note("%s does not start again: %v", m.name, err)
			return ends
		}
	}
	return ends
}

// playCrowd starts the machines and an ordinary client at each, has a crowd send to each machine with send, and judges the rule Fault. send
// returns when ctx ends or the crowd has sent all it has.
func (s *stage) playCrowd(c *crowd, duration time.Duration, send func(ctx context.Context, m *machine)) (broken bool, err error) {
	if err := s.addMachines(faultMachines); err != nil {
		return false, err
	}
	for i, m := range s.machines {
		if a := ask(context.Background(), m, ordinaryRequest(m, -1-i)); a.status != 200 || !a.complete {
			return false, fmt.Errorf("an ordinary request was not answered: %v", a)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var crowds, platforms, ordinary sync.WaitGroup
	ends := make([]int, len(s.machines))
	lost := make([]int, len(s.machines))
	for i, m := range s.machines {
		crowds.Go(func() { send(ctx, m) })
		platforms.Go(func() { ends[i] = s.platform(ctx, m, c) })
		ordinary.Go(func() { lost[i] = s.askOrdinary(ctx, m, c) })
	}
	go func() { crowds.Wait(); cancel() }()
	platforms.Wait()
	cancel()
	crowds.Wait()
	ordinary.Wait()
	s.note("%v", c)
	for i, m := range s.machines {
		s.note("%s: the process ended by itself %d times, %d times make a fault; %d ordinary requests on a kept connection ran at a replica and got no answer", m.name, ends[i], faultEnds, lost[i])
		if ends[i] < faultEnds {
			return false, nil
		}
	}
	return true, nil
}

// ordinaryRequest is a safe request of a usual client.
func ordinaryRequest(m *machine, n int) *request {
	return &request{method: "GET", path: "/cufi504/a", attempt: fmt.Sprintf("%s%s-%d", ordinaryAttempt, m.name, n), deadline: ordinaryDeadline}
}

// askOrdinary sends ordinary requests on kept connections until ctx ends. It returns how many of those that were not the first on their
// connection ran at a replica while the connection ended without an answer.
func (s *stage) askOrdinary(ctx context.Context, m *machine, c *crowd) (lost int) {
	for n := 0; ctx.Err() == nil; {
		conn, err := m.dial(ctx)
		if err != nil {
			time.Sleep(dialRetry)
			continue
		}
		in := bufio.NewReader(conn)
		for kept := false; ctx.Err() == nil; kept = true {
			n++
			r := ordinaryRequest(m, n)
			a := exchange(conn, in, r)
			var timeout net.Error
			if a.status == 0 && kept && !(errors.As(a.err, &timeout) && timeout.Timeout()) {
				c.mu.Lock()
				passedOn := c.ordinary[r.attempt]
				c.mu.Unlock()
				s.note("%s: no answer (%v); a replica ran it: %t", r.attempt, a.err, passedOn)
				if passedOn {
					lost++
				}
			}
			if !a.complete || a.close {
				break
			}
			time.Sleep(ordinaryPause)
		}
		_ = conn.Close()
	}
	return lost
}
