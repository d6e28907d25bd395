package release

import "time"

// maxEarlyAnswers bounds the answers that EarlyAnswers keeps. It suffices for 1,000 requests a second that count as slow after 4 s.
const maxEarlyAnswers = 4096

// EarlyAnswers holds answers of the new version that came in good time, until they would have counted as slow. Only then are
// they counted, at the same age as slow ones. Otherwise quick answers are in the majority in recent evidence, and a version that has just
// got all requests looks as fast as the one in use. It is not safe for concurrent use.
type EarlyAnswers struct{ answers []earlyAnswer }

type earlyAnswer struct {
	service, route, model, endpoint string
	sentAt                          time.Time
	above                           int64 // Timing.Above
}

// Add adds an answer that is not slow, by the time at which its request was sent. It reports false if there are maxEarlyAnswers.
func (x *EarlyAnswers) Add(service, route, model, endpoint string, sentAt time.Time, t Timing) bool {
	if len(x.answers) >= maxEarlyAnswers {
		return false
	}
	x.answers = append(x.answers, earlyAnswer{service, route, model, endpoint, sentAt, t.Above})
	return true
}

// Settle moves the answers that are old enough at a time to the evidence.
func (x *EarlyAnswers) Settle(b *Baseline, e *Evidence, now time.Time) {
	rest := x.answers[:0]
	for _, a := range x.answers {
		t := b.CompareLatency(a.service, a.route, a.model, now.Sub(a.sentAt))
		if t.Slow == 0 {
			rest = append(rest, a)
			continue
		}
		t.Slow, t.Above = 0, a.above
		e.RecordLatency(a.route, a.endpoint, t)
	}
	clear(x.answers[len(rest):])
	x.answers = rest
}
