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
	"github.com/bramleytrail/bramleytrail/result"
)

// maxAnswerBytes bounds an answer that is sent in one piece. It is collected before it is sent.
const maxAnswerBytes = 1 << 20

// plainBuffer is the size of the copy buffer for a plain service's answer.
const plainBuffer = 16 << 10

// Caller receives an answer. Each method returns an error once the caller has left.
type Caller interface {
	// Begin sends the status and header of an answer of unknown length.
	Begin(status int, h http.Header) error
	// Write sends a part of the body at once.
	Write(p []byte) (int, error)
	// End completes the body.
	End() error
	// Reply sends a whole answer.
	Reply(status int, h http.Header, body []byte) error
}

// Failer is a caller that gives errors a form of its own.
type Failer interface {
	Fail(e *result.Error) error
}

// Source is an answer being generated. Next returns io.EOF after the last event.
type Source interface {
	Next() (engine.Event, error)
}

// Meta is the fixed content of each chunk of an answer.
type Meta struct {
	ID      string
	Model   string
	Created int64 // Unix seconds
	// PauseAfter is the time after which a write that the caller doesn't read pauses the source; 0 for never.
	PauseAfter time.Duration
}

// Pauser is a Source that can give up its endpoint. Next continues the answer later. Pause is not called during Next.
type Pauser interface{ Pause() }

// pauser pauses a source during a long write.
type pauser struct {
	after  time.Duration
	source Pauser
	timer  *time.Timer

	mu      sync.Mutex
	writing bool
}

func newPauser(src Source, after time.Duration) *pauser {
	source, ok := src.(Pauser)
	if !ok || after == 0 {
		return nil
	}
	p := &pauser{after: after, source: source}
	p.timer = time.AfterFunc(after, p.expire)
	p.timer.Stop()
	return p
}

func (p *pauser) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writing {
		p.source.Pause()
	}
}

// set says whether a write is in progress. It waits for a pause that has begun.
func (p *pauser) set(writing bool) {
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

// StreamHeader is the header of a streamed answer.
func StreamHeader(h http.Header) http.Header {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	return h
}

// Stream relays a streamed answer up to and including its last event, but without the final marker: the caller must
// see the end of the answer only after the request is billed. See Finish.
func Stream(src Source, c Caller, m Meta) error {
	first := true
	w := newEventWriter(c)
	p := newPauser(src, m.PauseAfter)
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
		out.Choices[0].FinishReason, out.Usage = finish(&ev), usageOf(ev.Usage)
		p.set(true)
		err = w.send(out)
		p.set(false)
		if err != nil {
			return err
		}
	}
}

// eventWriter encodes server-sent events in one buffer, which is used again for the next event.
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
	if err := w.enc.Encode(v); err != nil { // ends with a line break
		return fmt.Errorf("encode event: %w", err)
	}
	w.buf.WriteByte('\n')
	if _, err := w.c.Write(w.buf.Bytes()); err != nil {
		return gone(err)
	}
	return nil
}

func gone(err error) error {
	return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
}

// Finish sends the final marker of a streamed answer. A caller may close its connection once it has the marker, before the
// end of the body is written: it has the whole answer, so that an error of the end is none of the request.
func Finish(c Caller) error {
	if _, err := c.Write([]byte("data: [DONE]\n\n")); err != nil {
		return gone(err)
	}
	_ = c.End() // the connection ends either way
	return nil
}

// Fail ends a streamed answer with an error event.
func Fail(c Caller, e *result.Error) error {
	if err := newEventWriter(c).send(json.RawMessage(ErrorBody(e))); err != nil {
		return err
	}
	return c.End()
}

// Collect reads a whole answer and returns its JSON.
func Collect(src Source, m Meta) ([]byte, error) {
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
			return nil, &result.Error{Code: result.EndpointFailed, Ran: result.RunDone, Detail: fmt.Sprintf("The answer exceeds %d bytes.", maxAnswerBytes)}
		}
		text.WriteString(ev.Text)
		last = ev
	}
	out := completion{ID: m.ID, Object: "chat.completion", Created: m.Created, Model: m.Model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text.String()}, FinishReason: finish(&last)}}, Usage: usageOf(last.Usage)}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return data, nil
}

func finish(ev *engine.Event) *string {
	if ev.FinishReason == "" {
		return nil
	}
	reason := ev.FinishReason // a pointer into ev would put each event on the heap
	return &reason
}

func usageOf(u *engine.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{Usage: *u, TotalTokens: u.InputTokens + u.OutputTokens}
}

// Copy relays the body of a plain service's answer, and returns up to keep bytes of it. Kept is false if the body is
// longer.
func Copy(body io.Reader, c Caller, keep int) (start []byte, kept bool, err error) {
	buf := make([]byte, plainBuffer)
	kept = true
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if kept = kept && len(start)+n <= keep; kept {
				start = append(start, buf[:n]...)
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return start, kept, gone(err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return start, kept, nil
		}
		if readErr != nil {
			return start, kept, &result.Error{Code: result.StreamBroken, Ran: result.RunDone, Err: readErr}
		}
	}
}
