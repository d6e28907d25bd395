package bench

import "math/rand/v2"

// The load with sessions. The prompt of each turn repeats the turns before it.
const (
	activeSessions = 120
	sessionTurns   = 6
	firstPrompt    = 300 // prompt tokens of the first turn
	turnTokens     = 300 // prompt tokens that each further turn adds
)

// requestSpec describes one request.
type requestSpec struct {
	prompt, answer int64  // tokens
	session        uint64 // 0 without a session
}

// latencyLoad generates requests. It is not safe for concurrent use.
type latencyLoad struct {
	rng         *rand.Rand
	sessions    []requestSpec // the next turn of each active session; nil for a load without sessions
	lastSession uint64        // highest session number in use
}

func newLatencyLoad(rng *rand.Rand, sessions bool) *latencyLoad {
	l := &latencyLoad{rng: rng}
	if sessions {
		for i := range activeSessions { // sessions start at different turns
			l.lastSession++
			l.sessions = append(l.sessions, requestSpec{prompt: firstPrompt + int64(i%sessionTurns)*turnTokens, session: l.lastSession})
		}
	}
	return l
}

// next returns the next request. With sessions, it is the next turn of a random one, and a new session replaces a finished one.
func (l *latencyLoad) next() requestSpec {
	answer := answerMin + l.rng.Int64N(answerMax-answerMin+1)
	if l.sessions == nil {
		return requestSpec{prompt: promptMin + l.rng.Int64N(promptMax-promptMin+1), answer: answer}
	}
	s := &l.sessions[l.rng.IntN(len(l.sessions))]
	d := *s
	d.answer = answer
	if s.prompt += turnTokens; s.prompt >= firstPrompt+sessionTurns*turnTokens {
		l.lastSession++
		*s = requestSpec{prompt: firstPrompt, session: l.lastSession}
	}
	return d
}

// meanPrompt returns the mean number of prompt tokens of a request.
func meanPrompt(sessions bool) float64 {
	if sessions {
		return firstPrompt + turnTokens*float64(sessionTurns-1)/2
	}
	return float64(promptMin+promptMax) / 2
}
