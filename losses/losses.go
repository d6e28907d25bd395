// Package losses explains from a daemon's log lines why requests of routes were answered late or not at all, and what the
// use of models and of prompt caches was.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Messages of the log lines that are evaluated.
const (
	msgAttempt  = "attempt"
	msgAnswered = "request answered"
	msgFailed   = "request failed"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Cause says why an answer was late. The first one that applies is given.
type Cause string

// Causes of late answers.
const (
	CausePause      Cause = "pause in the stream"
	CauseRetry      Cause = "an attempt failed first"
	CauseQueue      Cause = "waited for capacity"
	CauseEscalation Cause = "a smaller model was asked first"
	CauseSlow       Cause = "the endpoint was slower than expected"
	CauseExpected   Cause = "no endpoint was expected to be in time"
)

// line is a log line of a daemon. Fields that a line does not have are zero.
type line struct {
	Msg        string   `json:"msg"`
	Request    string   `json:"request"`
	Route      string   `json:"route"`
	Model      string   `json:"model"`
	Code       int      `json:"code"`
	Error      string   `json:"error"`
	Status     int      `json:"status"`
	Ms         float64  `json:"ms"`
	FirstMs    float64  `json:"first_ms"`
	GapMs      float64  `json:"gap_ms"`
	TargetMs   float64  `json:"target_ms"`
	MaxGapMs   float64  `json:"max_gap_ms"`
	WaitMs     float64  `json:"wait_ms"`
	ExpectedMs float64  `json:"expected_ms"`
	Prompt     int64    `json:"prompt"`
	Uncached   int64    `json:"uncached"`
	Confidence *float64 `json:"confidence"`
}

// RouteLosses counts the requests of a route.
type RouteLosses struct {
	Requests  int            `json:"requests"`
	Late      map[Cause]int  `json:"late,omitempty"`
	Failed    map[string]int `json:"failed,omitempty"` // by result code
	Escalated int            `json:"escalated"`        // requests that more than one model answered
}

// ModelUse counts the attempts at a model that were answered.
type ModelUse struct {
	Answers  int   `json:"answers"`
	Prompt   int64 `json:"prompt"`   // tokens
	Uncached int64 `json:"uncached"` // tokens that the endpoints were expected to process
	// Confidences counts the answers by confidence, in tenths of the scale.
	Confidences [11]int `json:"confidences"`
}

// Report sums up log lines. It is not safe for concurrent use.
type Report struct {
	Routes map[string]*RouteLosses `json:"routes"`
	Models map[string]*ModelUse    `json:"models"`
	// FailedAttempts counts attempts without an answer, by error.
	FailedAttempts map[string]int `json:"failedAttempts"`
	// Skipped counts lines that are not log lines of a daemon.
	Skipped int `json:"skipped"`

	attempts map[string][]line // of requests that have not ended, by request
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{Routes: map[string]*RouteLosses{}, Models: map[string]*ModelUse{}, FailedAttempts: map[string]int{}, attempts: map[string][]line{}}
}

// Read adds the log lines of one or more daemons, in the order of their times. Text before the first brace of a line is
// ignored.
func (r *Report) Read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		var l line
		if start < 0 || json.Unmarshal(lines.Bytes()[start:], &l) != nil || l.Msg == "" {
			r.Skipped++
			continue
		}
		r.add(l)
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("a log line is longer than %d bytes: %w", maxLineBytes, err)
	} else if err != nil {
		return fmt.Errorf("read log lines: %w", err)
	}
	return nil
}

func (r *Report) add(l line) {
	switch l.Msg {
	case msgAttempt:
		r.attempts[l.Request] = append(r.attempts[l.Request], l)
		r.addAttempt(l)
	case msgAnswered, msgFailed:
		r.addRequest(l, r.attempts[l.Request])
		delete(r.attempts, l.Request)
	}
}

func (r *Report) addAttempt(l line) {
	if l.Error != "" {
		r.FailedAttempts[l.Error]++
		return
	}
	if l.Model == "" {
		return
	}
	m := r.Models[l.Model]
	if m == nil {
		m = &ModelUse{}
		r.Models[l.Model] = m
	}
	m.Answers++
	m.Prompt += l.Prompt
	m.Uncached += l.Uncached
	if l.Confidence != nil {
		m.Confidences[int(min(max(*l.Confidence, 0), 1)*10)]++
	}
}

func (r *Report) addRequest(l line, attempts []line) {
	route := r.Routes[l.Route]
	if route == nil {
		route = &RouteLosses{Late: map[Cause]int{}, Failed: map[string]int{}}
		r.Routes[l.Route] = route
	}
	route.Requests++
	if escalated(attempts) {
		route.Escalated++
	}
	if l.Msg == msgFailed {
		route.Failed[fmt.Sprint(l.Code)]++
	} else if cause, late := lateCause(l, attempts); late {
		route.Late[cause]++
	}
}

// escalated reports whether more than one model answered.
func escalated(attempts []line) bool {
	return len(attempts) > 1 && slices.ContainsFunc(attempts, func(a line) bool { return a.Error == "" && a.Model != attempts[len(attempts)-1].Model })
}

// lateCause reports whether an answer was late, and why.
func lateCause(l line, attempts []line) (Cause, bool) {
	began := l.FirstMs
	if began == 0 { // not a stream
		began = l.Ms
	}
	if l.TargetMs <= 0 || began <= l.TargetMs {
		return CausePause, l.MaxGapMs > 0 && l.GapMs > l.MaxGapMs
	}
	wait := 0.0
	for _, a := range attempts {
		wait += a.WaitMs
	}
	failed := func(a line) bool { return a.Error != "" || a.Status >= 500 }
	switch last := len(attempts) - 1; {
	case last >= 0 && slices.ContainsFunc(attempts[:last], failed):
		return CauseRetry, true
	case wait > l.TargetMs/2:
		return CauseQueue, true
	case last > 0 && attempts[last].Ms <= l.TargetMs:
		return CauseEscalation, true
	case last >= 0 && attempts[last].ExpectedMs <= l.TargetMs:
		return CauseSlow, true
	}
	return CauseExpected, true
}
