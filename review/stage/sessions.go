package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case sessions.
const (
	sessionClients  = 40
	sessionPause    = 400 * time.Millisecond // between two turns; session-s is 5 s
	maxTurns        = 12                     // of a session, whose client then begins another one
	rolloutDuration = 24 * time.Second
	sessionTime     = 18 * time.Second // from the order, which is longer than the first half of the rollout
	beforeOrder     = 3 * time.Second
	maxSessionMoves = 3
	sessionEvents   = 3
	sessionInterval = 20 * time.Millisecond
	oldVersion      = "v1"
	newVersion      = "v2"
)

// turn is a request of a session, as its replica saw it.
type turn struct {
	session, attempt, version string
	sent, ended               time.Time
}

// playSessions: clients hold conversations. Each turn carries the header Session, and its prompt has all turns before as parts. A good new
// version is brought in. The rule PINNED: three requests at most run on another version than the one before in their session.
func playSessions(s *stage) (broken bool, err error) {
	s.publish()
	var mu sync.Mutex
	versions := map[string]string{} // by attempt
	start := func(version string) error {
		for i := range modelReplicas {
			r := &replica{s: s, id: fmt.Sprintf("i-%s-%d", version, i), service: modelService, zone: zones[i%len(zones)], version: version, slots: modelSlots, events: sessionEvents, interval: sessionInterval}
			r.onRun = func(x run) {
				mu.Lock()
				defer mu.Unlock()
				versions[x.attempt] = version
			}
			if err := r.listen(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := start(oldVersion); err != nil {
		return false, err
	}
	if err := s.addMachines(3); err != nil {
		return false, err
	}
	var turns []turn
	record := func(t turn) {
		mu.Lock()
		defer mu.Unlock()
		t.version = versions[t.attempt]
		turns = append(turns, t)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range sessionClients {
		clients.Go(func() { converse(s.machines[i%len(s.machines)], i, stop, record) })
	}
	time.Sleep(beforeOrder)
	ordered := time.Now()
	if s.trouble {
		if err := start(newVersion); err != nil {
			return false, err
		}
		s.store.Put("op/rollout/"+modelService, fmt.Appendf(nil, `{"service":%q,"target":%q,"duration-s":%g}`, modelService, newVersion, rolloutDuration.Seconds()))
		s.note("the operator orders %s %s within %v", modelService, newVersion, rolloutDuration)
	}
	time.Sleep(sessionTime)
	close(stop)
	clients.Wait()
	status, _ := s.store.Get("status/rollout/" + modelService)
	s.note("status of the rollout: %s", status)
	return judgeSessions(s, turns, ordered), nil
}

// converse holds conversations on one connection until stop is closed.
func converse(m *machine, client int, stop chan struct{}, record func(turn)) {
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	time.Sleep(time.Duration(client) * sessionPause / sessionClients)
	for n := 0; ; n++ {
		session := fmt.Sprintf("s-%d-%d", client, n/maxTurns)
		parts := []string{"5c1e07a2:800"} // of all conversations
		for k := range n%maxTurns + 1 {
			parts = append(parts, fmt.Sprintf("%x:60", 0x10000000+client*0x10000+(n/maxTurns)*0x100+k))
		}
		r := &request{method: "POST", path: "/lohu930/2f", attempt: fmt.Sprintf("%s-%d", session, n%maxTurns), deadline: 15 * time.Second, body: "turn",
			header: map[string]string{"Session": session, "X-Model": "daka510000", "X-Token-Counts": fmt.Sprintf("%d,33", 800+60*(n%maxTurns+1)), "X-Prompt-Prefix": strings.Join(parts, ",")}}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", m.addr(frontPort)); err != nil {
				return
			}
			in = bufio.NewReader(c)
		}
		t := turn{session: session, attempt: r.attempt, sent: time.Now()}
		a := exchange(c, in, r)
		t.ended = time.Now()
		if a.status == 200 && a.complete {
			record(t)
		}
		if !a.complete || a.close {
			_ = c.Close()
			c = nil
		}
		select {
		case <-stop:
			return
		case <-time.After(sessionPause):
		}
	}
}

// judgeSessions applies the rule in the first half of the rollout. Each turn has ended less than session-s before the next one.
func judgeSessions(s *stage, turns []turn, ordered time.Time) bool {
	slices.SortStableFunc(turns, func(a, b turn) int { return a.sent.Compare(b.sent) })
	last := map[string]turn{}
	ran := map[string]int{}
	toNew, toOld := 0, 0
	for _, t := range turns {
		before, known := last[t.session]
		last[t.session] = t
		ran[t.version]++
		if !known || before.version == t.version || t.sent.Sub(ordered) > rolloutDuration/2 {
			continue
		}
		if t.version == newVersion {
			toNew++
		} else {
			toOld++
		}
		s.note("%.3f s after the order, %s ran on %s; %s before, %.3f s earlier, on %s", t.sent.Sub(ordered).Seconds(), t.attempt, t.version, before.attempt, t.sent.Sub(before.ended).Seconds(), before.version)
	}
	s.note("%d turns, by version %v; in the first half of the rollout %d turns ran on the new version after one on the old, %d the other way; %d are allowed", len(turns), ran, toNew, toOld, maxSessionMoves)
	return toNew+toOld > maxSessionMoves
}
