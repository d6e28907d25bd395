package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/result"
)

// maxAnswerBytes limits the text of an answer without streaming, which is held in memory until it is complete.
const maxAnswerBytes = 1 << 20

// copyBufferSize is the size of the buffer through which the answer of a plain service is copied.
const copyBufferSize = 16 << 10

// Caller is the connection on which an answer is sent: either by Begin, Write and End, or by Reply alone. Methods return an
// error once the caller has closed the connection. A Caller is used by one goroutine.
type Caller interface {
	// Begin sends the status and header of an answer whose body follows by Write.
	Begin(status int, h http.Header) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) (int, error)
	// End completes the body.
	End() error
	// Reply sends a complete answer.
	Reply(status int, h http.Header, body []byte) error
}

// Failer is a Caller with its own format of error responses.
type Failer interface {
	// Fail sends e as a complete answer.
	Fail(e *result.Error) error
}

// Source is an answer that is being generated. Next returns io.EOF after the last event.
type Source interface {
	Next() (engine.Event, error)
}

// AnswerMeta holds the fields that are the same in all chunks of an answer, and the settings for relaying it.
type AnswerMeta struct {
	ID      string
	Model   string
	Created int64 // Unix seconds
	// PauseAfter is the time for which a write to the caller may block before the source is paused; 0 for no limit.
	PauseAfter time.Duration
}

// Pauser is a Source that can release its endpoint while the caller does not read. The following Next continues the answer.
// Pause is called from another goroutine, but not during Next.
type Pauser interface{ Pause() }

// pauseTimer pauses a source if a write to the caller blocks for too long. A nil pauseTimer does nothing.
type pauseTimer struct {
	after  time.Duration
	source Pauser
	timer  *time.Timer

	mu      sync.Mutex
	writing bool
}

// newPauseTimer returns a stopped timer, or nil if the source can't be paused or after is 0.
func newPauseTimer(src Source, after time.Duration) *pauseTimer {
	source, ok := src.(Pauser)
	if !ok || after == 0 {
		return nil
	}
	p := &pauseTimer{after: after, source: source}
	p.timer = time.AfterFunc(after, p.expire)
	p.timer.Stop()
	return p
}

// expire pauses the source unless the write has ended meanwhile.
func (p *pauseTimer) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writing {
		p.source.Pause()
	}
}

// setWriting starts the timer before a write, and stops it after the write. It waits until a call of Pause that has begun
// returns.
func (p *pauseTimer) setWriting(writing bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.writing = writing
	p.mu.Unlock()
	if writing {
		p.timer.Reset(p.after)
	} else {
		p.timer.Stop()
	}
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	engine.Usage
	TotalTokens int64 `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// SetStreamHeaders sets the content headers of a streamed answer in h, and returns h.
func SetStreamHeaders(h http.Header) http.Header {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	return h
}

// Stream relays the events of an answer as server-sent events with JSON chunks. The caller's header must have been sent. Stream
// does not send the final marker, which the caller must not see before the request is billed; FinishStream does.
func Stream(src Source, c Caller, m AnswerMeta) error {
	first := true
	w := newEventWriter(c)
	p := newPauseTimer(src, m.PauseAfter)
	d := &delta{}
	out := &completion{ID: m.ID, Object: "chat.completion.chunk", Created: m.Created, Model: m.Model, Choices: []choice{{Delta: d}}}
	for {
		ev, err := src.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		d.Role, d.Content = "", ev.Text
		if first {
			d.Role = "assistant"
			first = false
		}
		out.Choices[0].FinishReason, out.Usage = finishReason(&ev), newUsage(ev.Usage)
		p.setWriting(true)
		err = w.send(out)
		p.setWriting(false)
		if err != nil {
			return err
		}
	}
}

// eventWriter sends server-sent events with JSON data. It reuses one buffer for all events.
type eventWriter struct {
	c   Caller
	buf bytes.Buffer
	enc *json.Encoder
}

func newEventWriter(c Caller) *eventWriter {
	w := &eventWriter{c: c}
	w.enc = json.NewEncoder(&w.buf)
	return w
}

func (w *eventWriter) send(v any) error {
	w.buf.Reset()
	w.buf.WriteString("data: ")
	if err := w.enc.Encode(v); err != nil { // Encode adds the first of the two line breaks that end an event
		return fmt.Errorf("encode event: %w", err)
	}
	w.buf.WriteByte('\n')
	if _, err := w.c.Write(w.buf.Bytes()); err != nil {
		return callerGone(err)
	}
	return nil
}

// callerGone returns the error of a failed write to the caller.
func callerGone(err error) error {
	return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
}

// FinishStream sends the final marker of a streamed answer and ends the body. Errors of ending the body are ignored: a caller
// may close its connection as soon as it has the marker, and has the complete answer then.
func FinishStream(c Caller) error {
	if _, err := c.Write([]byte("data: [DONE]\n\n")); err != nil {
		return callerGone(err)
	}
	_ = c.End() // the connection is closed in any case
	return nil
}

// FailStream sends e as an event of a streamed answer and ends the body.
func FailStream(c Caller, e *result.Error) error {
	if err := newEventWriter(c).send(json.RawMessage(ErrorBody(e))); err != nil {
		return err
	}
	return c.End()
}

// collectCopies is the memory for each byte of a text that is collected: its buffer has up to twice its size. escapeCopies is that for each
// byte of its JSON form, of which a buffer is made first.
const collectCopies, escapeCopies = 2, 2

// Collect reads an answer to its end and returns it as a JSON completion. It fails with result.EndpointFailed if the text
// exceeds maxAnswerBytes, and with result.AnswerNotHeld if the allowance does not suffice.
func Collect(src Source, m AnswerMeta, a *intake.Allowance) ([]byte, error) {
	var text strings.Builder
	var last engine.Event
	for {
		ev, err := src.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if text.Len()+len(ev.Text) > maxAnswerBytes {
			return nil, &result.Error{Code: result.EndpointFailed, Ran: result.DidRun, Detail: fmt.Sprintf("The answer exceeds %d bytes.", maxAnswerBytes)}
		}
		if !a.Use(collectCopies * int64(len(ev.Text))) {
			return nil, notHeld()
		}
		text.WriteString(ev.Text)
		last = ev
	}
	if !a.Use(escapeCopies * escapedSize(text.String())) {
		return nil, notHeld()
	}
	out := completion{ID: m.ID, Object: "chat.completion", Created: m.Created, Model: m.Model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text.String()}, FinishReason: finishReason(&last)}}, Usage: newUsage(last.Usage)}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return data, nil
}

// notHeld returns the error of an answer for which there is no memory.
func notHeld() error { return &result.Error{Code: result.AnswerNotHeld, Ran: result.DidRun} }

// escapedSize returns the size of a text in JSON at most: package encoding/json writes six bytes for some characters.
func escapedSize(text string) (size int64) {
	for i := range len(text) {
		if b := text[i]; b < ' ' || b == '"' || b == '\\' || b == '<' || b == '>' || b == '&' || b >= 0x80 {
			size += 6
		} else {
			size++
		}
	}
	return size
}

// finishReason returns the finish reason of an event, nil if it has none.
func finishReason(ev *engine.Event) *string {
	if ev.FinishReason == "" {
		return nil
	}
	reason := ev.FinishReason // a pointer to the field would move each event to the heap
	return &reason
}

// newUsage adds the total to the token counts of the engine; nil without counts.
func newUsage(u *engine.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{Usage: *u, TotalTokens: u.InputTokens + u.OutputTokens}
}

// Copy relays the body of a plain service's answer until io.EOF, and returns its start. kept reports whether start holds
// everything that was read, which is so unless that exceeds maxKept bytes or the allowance. An error has the code result.CallerGone if the
// caller left, and result.StreamBroken if the body could not be read to its end.
func Copy(body io.Reader, c Caller, maxKept int, a *intake.Allowance) (start []byte, kept bool, err error) {
	buf := make([]byte, copyBufferSize)
	kept = true
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if kept = kept && len(start)+n <= maxKept && a.Use(collectCopies*int64(n)); kept {
				start = append(start, buf[:n]...)
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return start, kept, callerGone(err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return start, kept, nil
		}
		if readErr != nil {
			return start, kept, &result.Error{Code: result.StreamBroken, Ran: result.DidRun, Err: readErr}
		}
	}
}
