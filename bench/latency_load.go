package bench

import "math/rand/v2"

// The load of sessions. Each turn repeats the turns before it.
const (
	activeSessions = 120
	sessionTurns   = 6
	firstPrompt    = 300 // tokens of the first turn
	turnTokens     = 300 // tokens that each turn adds
)

// demand is what one request asks for.
type demand struct {
	prompt, answer int64  // tokens
	session        uint64 // 0 if it belongs to none
}

// latencyLoad makes requests.
type latencyLoad struct {
	rnd      *rand.Rand
	sessions []demand // of the last turns; nil for a load without sessions
	last     uint64   // number of the newest session
}

func newLatencyLoad(rnd *rand.Rand, sessions bool) *latencyLoad {
	l := &latencyLoad{rnd: rnd}
	if sessions {
		for i := range activeSessions { // in the middle of their turns
			l.last++
			l.sessions = append(l.sessions, demand{prompt: firstPrompt + int64(i%sessionTurns)*turnTokens, session: l.last})
		}
	}
	return l
}

// next returns the next request. With sessions, it is the next turn of a random one; a finished one is replaced.
func (l *latencyLoad) next() demand {
	answer := answerMin + l.rnd.Int64N(answerMax-answerMin+1)
	if l.sessions == nil {
		return demand{prompt: promptMin + l.rnd.Int64N(promptMax-promptMin+1), answer: answer}
	}
	s := &l.sessions[l.rnd.IntN(len(l.sessions))]
	d := *s
	d.answer = answer
	if s.prompt += turnTokens; s.prompt >= firstPrompt+sessionTurns*turnTokens {
		l.last++
		*s = demand{prompt: firstPrompt, session: l.last}
	}
	return d
}

// meanPrompt returns the mean number of prompt tokens.
func meanPrompt(sessions bool) float64 {
	if sessions {
		return firstPrompt + turnTokens*float64(sessionTurns-1)/2
	}
	return float64(promptMin+promptMax) / 2
}
