package duty

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var testLimits = Limits{Lease: 3 * time.Second, Slack: 300 * time.Millisecond, Call: 900 * time.Millisecond}

// modelStore holds the lease and the record of the duty. Restores take back everything but the era.
type modelStore struct {
	era, revision uint64
	leaseOf       uint64 // token
	leaseEnd      time.Time
	fence         uint64
	holder        string
	holderEra     uint64
}

type modelHolder struct {
	name  string
	term  Term
	start time.Time // of the renewal or acquisition under way
	era   uint64    // seen
	do    func(now time.Time)
	at    time.Time
	busy  time.Time // end of the last call
}

type modelCall struct {
	at     time.Time
	holder string
	token  uint64
}

// schedule is one seeded run of three holders. A holder may freeze or be killed between any two of its steps.
type schedule struct {
	r       *rand.Rand
	calm    int // one disturbance of each kind in this number of steps
	store   modelStore
	backups []modelStore
	calls   []modelCall
}

func (s *schedule) upTo(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) }

func (s *schedule) then(h *modelHolder, now time.Time, do func(time.Time)) {
	h.at, h.do = now.Add(time.Millisecond+s.upTo(200*time.Millisecond)), do
	if s.r.IntN(20) == 0 { // slow store
		h.at = h.at.Add(s.upTo(2 * time.Second))
	}
}

func (s *schedule) idle(h *modelHolder) func(time.Time) {
	return func(now time.Time) {
		h.start = now
		switch held := h.term.Token != 0 && now.Before(h.term.Expires) && Era(h.term.Token) == h.era; {
		case !held:
			h.term = Term{}
			s.then(h, now, s.acquire(h))
		case !h.term.Recorded && s.r.IntN(2) == 0:
			s.then(h, now, s.record(h))
		case s.r.IntN(3) == 0:
			s.then(h, now, s.renew(h))
		default:
			s.send(h, now)
		}
	}
}

func (s *schedule) acquire(h *modelHolder) func(time.Time) {
	return func(now time.Time) {
		era, tok := s.store.era, uint64(0)
		if !now.Before(s.store.leaseEnd) {
			s.store.revision++
			tok = era<<eraShift | s.store.revision
			s.store.leaseOf, s.store.leaseEnd = tok, now.Add(testLimits.Lease)
		}
		s.then(h, now, func(now time.Time) {
			if h.era = max(h.era, era); tok != 0 && era == h.era {
				h.term = Term{Token: tok, Acquired: now, Expires: h.start.Add(testLimits.Lease)}
			}
			s.then(h, now, s.idle(h))
		})
	}
}

func (s *schedule) renew(h *modelHolder) func(time.Time) {
	return func(now time.Time) {
		era, ok := s.store.era, s.store.leaseOf == h.term.Token && now.Before(s.store.leaseEnd)
		if ok {
			s.store.leaseEnd = now.Add(testLimits.Lease)
		}
		s.then(h, now, func(now time.Time) {
			if h.era = max(h.era, era); ok {
				h.term.Expires = h.start.Add(testLimits.Lease)
			} else {
				h.term = Term{}
			}
			s.then(h, now, s.idle(h))
		})
	}
}

func (s *schedule) record(h *modelHolder) func(time.Time) {
	return func(now time.Time) {
		if h.era = max(h.era, s.store.era); s.store.fence > h.term.Token || h.era != Era(h.term.Token) {
			h.term = Term{}
			s.then(h, now, s.idle(h))
			return
		}
		s.store.revision++
		s.store.fence = h.term.Token
		h.term.Continues = s.store.holder == h.name && s.store.holderEra == Era(h.term.Token)
		s.then(h, now, func(now time.Time) {
			if s.store.fence == h.term.Token {
				s.store.revision++
				s.store.holder, s.store.holderEra, h.term.Recorded = h.name, Era(h.term.Token), true
			}
			s.then(h, now, s.idle(h))
		})
	}
}

// send makes a call that arrives within its time limit. One that is sent directly after a thaw is not judged.
func (s *schedule) send(h *modelHolder, now time.Time) {
	if h.term.Check(now, h.era, testLimits) == "" {
		h.busy = now.Add(s.upTo(testLimits.Call))
		s.calls = append(s.calls, modelCall{h.busy, h.name, h.term.Token})
	}
	s.then(h, now, s.idle(h))
}

func (s *schedule) disturb(h *modelHolder, now time.Time) {
	switch s.r.IntN(s.calm) {
	case 0: // frozen
		h.at = now.Add(s.upTo(10 * time.Second))
	case 1: // killed
		h.term, h.do, h.at = Term{}, s.idle(h), now.Add(s.upTo(2*time.Second))
	case 2: // learns of a restore from another daemon
		h.era = s.store.era
	case 3: // releases the duty
		if now.After(h.busy) && h.term.Token != 0 && s.store.leaseOf == h.term.Token {
			s.store.leaseEnd = now
			h.term, h.do, h.at = Term{}, s.idle(h), now.Add(s.upTo(2*time.Second))
		}
	}
	if s.r.IntN(400) == 0 {
		era := s.store.era + 1
		s.store = s.backups[s.r.IntN(len(s.backups))]
		s.store.era = era
	}
}

func (s *schedule) run(length time.Duration) {
	start := time.Unix(1000, 0)
	var holders []*modelHolder
	for _, name := range []string{"a", "b", "c"} {
		h := &modelHolder{name: name}
		s.then(h, start, s.idle(h))
		holders = append(holders, h)
	}
	for now := start; now.Before(start.Add(length)); {
		h := slices.MinFunc(holders, func(a, b *modelHolder) int { return a.at.Compare(b.at) })
		for now = h.at; len(s.backups) < int(now.Sub(start)/time.Second)+1; {
			s.backups = append(s.backups, s.store)
		}
		s.backups = s.backups[max(0, len(s.backups)-10):]
		if s.disturb(h, now); h.at.Equal(now) {
			h.do(now)
		}
	}
	slices.SortFunc(s.calls, func(a, b modelCall) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.token, b.token)) })
}

// Guards against two holders at once, a lower token after a higher one, and a holder that acts again too soon after another one.
func TestCallsOfTwoHoldersOverlap(t *testing.T) {
	total, changes := 0, 0
	for seed := range uint64(100) {
		s := &schedule{r: rand.New(rand.NewPCG(seed, 1)), calm: 6 + 4*int(seed%10)}
		s.run(3 * time.Minute)
		total += len(s.calls)
		last := map[string]time.Time{}
		for i, c := range s.calls {
			if i == 0 {
				last[c.holder] = c.at
				continue
			}
			before := s.calls[i-1]
			if c.token < before.token || c.token == before.token && c.holder != before.holder {
				t.Fatalf("seed %d: call of %s with token %x %v after that of %s with %x", seed, c.holder, c.token, c.at.Sub(before.at), before.holder, before.token)
			}
			if c.holder != before.holder {
				changes++
				if at, ok := last[c.holder]; ok && c.at.Sub(at) < testLimits.Lease {
					t.Fatalf("seed %d: %s acts %v after its last call, %s in between", seed, c.holder, c.at.Sub(at), before.holder)
				}
			}
			last[c.holder] = c.at
		}
	}
	if total < 2000 || changes < 200 {
		t.Errorf("%d calls with %d changes of the holder: the schedules show too little", total, changes)
	}
}

// Guards against a call in a state that forbids it, at the edges of each limit.
func TestCallWithoutRight(t *testing.T) {
	now := time.Unix(1000, 0)
	good := Term{Token: 2<<eraShift | 7, Acquired: now.Add(-3 * time.Second), Expires: now.Add(1201 * time.Millisecond), Recorded: true}
	for want, change := range map[Reason]func(*Term){
		"": func(*Term) {}, NotHeld: func(t *Term) { t.Token = 0 }, OtherEra: func(t *Term) { t.Token = 1<<eraShift | 9 },
		NotRecorded: func(t *Term) { t.Recorded = false }, Waiting: func(t *Term) { t.Acquired = t.Acquired.Add(1) },
		Expiring: func(t *Term) { t.Expires = now.Add(1200 * time.Millisecond) },
	} {
		term := good
		if change(&term); term.Check(now, 2, testLimits) != want {
			t.Errorf("%+v: %q, want %q", term, term.Check(now, 2, testLimits), want)
		}
	}
}
