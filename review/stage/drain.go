package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Figures of the case drain.
const (
	uploads        = 6
	uploadBytes    = 30_000 // of a body; max-body-bytes is 4,194,304
	uploadPiece    = 1_000
	uploadPause    = 100 * time.Millisecond  // between two pieces, so that an upload takes 3 s
	uploadAfter    = 1500 * time.Millisecond // from SIGTERM until the connections are opened
	drainEvents    = 40
	drainInterval  = 250 * time.Millisecond // a stream takes 10 s, within its route's timeout of 25 s
	gracePeriod    = 8 * time.Second
	lateFrom       = 3 * time.Second // after SIGTERM; what is cut of requests sent earlier is excused
	uploadDeadline = 25 * time.Second
)

// upload is a request whose body is sent slowly.
type upload struct {
	attempt    string
	sent, end  time.Time // of its last byte, of the connection
	answer     answer
	runStarted time.Time // zero if no replica ran it
}

// playDrain: a machine gets SIGTERM, and while it still accepts connections clients begin to send streams whose bodies take 3 s. The rule LOST: a
// request that the process has read whole and passed on to a replica gets a complete answer.
func playDrain(s *stage) (broken bool, err error) {
	s.publish()
	var mu sync.Mutex
	runs := map[string]time.Time{}
	for i := range modelReplicas {
		r := &replica{s: s, id: fmt.Sprintf("i-llm%d", i), service: modelService, zone: zones[i%len(zones)], slots: modelSlots, events: drainEvents, interval: drainInterval}
		r.onRun = func(x run) {
			s.note("replica %s runs %s", x.replica, x.attempt)
			mu.Lock()
			defer mu.Unlock()
			if _, again := runs[x.attempt]; !again {
				runs[x.attempt] = x.at
			}
		}
		if err := r.listen(); err != nil {
			return false, err
		}
	}
	if err := s.addMachines(2); err != nil {
		return false, err
	}
	m := s.machines[0]
	term := time.Now()
	if s.trouble {
		s.note("SIGTERM to %s", m.name)
		if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	time.Sleep(uploadAfter)
	list := make([]upload, uploads)
	var clients sync.WaitGroup
	for i := range list {
		u := &list[i]
		u.attempt = fmt.Sprintf("u-%d", i)
		conn, err := m.dial(context.Background())
		if err != nil {
			return false, err
		}
		clients.Go(func() {
			defer conn.Close()
			u.send(conn)
			s.note("client of %s: last byte %.3f s after SIGTERM; %v, %.3f s after SIGTERM", u.attempt, u.sent.Sub(term).Seconds(), u.answer, u.end.Sub(term).Seconds())
		})
	}
	clients.Wait()
	for i := range list {
		mu.Lock()
		list[i].runStarted = runs[list[i].attempt]
		mu.Unlock()
	}
	select {
	case <-m.done:
	case <-time.After(2 * time.Second):
	}
	s.note("%s has ended: %t", m.name, !m.runs())
	return judgeDrain(s, list, term), nil
}

// send sends the request piece by piece and reads the answer.
func (u *upload) send(conn net.Conn) {
	body := make([]byte, uploadBytes)
	for i := range body {
		body[i] = 'b'
	}
	r := &request{method: "POST", path: "/lohu930/2f", attempt: u.attempt, deadline: uploadDeadline, body: string(body),
		header: map[string]string{"X-Model": "daka510000", "X-Token-Counts": "1460,240", "X-Prompt-Prefix": "e4402b7d:250"}}
	text := r.text()
	for len(text) > 0 {
		n := min(uploadPiece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			break // the answer tells why
		}
		u.sent = time.Now()
		text = text[n:]
		if len(text) > 0 {
			time.Sleep(uploadPause)
		}
	}
	u.answer = readAnswer(conn, bufio.NewReader(conn), r)
	u.end = time.Now()
}

// judgeDrain applies the rule. The replicas don't break off, and the deadline and the route's timeout are later than the end of the rule's time.
func judgeDrain(s *stage, list []upload, term time.Time) bool {
	lost := 0
	for _, u := range list {
		if !u.runStarted.IsZero() && !u.answer.complete && u.sent.Sub(term) > lateFrom && u.end.Sub(term) < gracePeriod+time.Second {
			lost++
		}
	}
	s.note("%d of %d requests, sent later than %v after SIGTERM, were passed on to a replica and ended without a complete answer", lost, len(list), lateFrom)
	return lost > 0
}
