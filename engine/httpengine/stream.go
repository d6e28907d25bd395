package httpengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/bramleytrail/bramleytrail/engine"
)

// lineBufSize is the read buffer of a stream; an event has about 200 bytes.
const lineBufSize = 1 << 10

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 64 << 10

var doneMarker = []byte("[DONE]")

// stream reads server-sent events.
type stream struct {
	body  io.ReadCloser
	lines *bufio.Reader
	boot  string
	done  bool
	// failed is called when the stream can't be read.
	failed func()
}

// NewStream reads the event stream of a response. Failed is called when it can't be read.
func NewStream(resp *http.Response, failed func()) engine.Stream {
	return &stream{failed: failed, body: resp.Body, lines: bufio.NewReaderSize(resp.Body, lineBufSize), boot: resp.Header.Get(HeaderBoot)}
}

// Boot implements engine.Stream.
func (s *stream) Boot() string { return s.boot }

// Close implements engine.Stream.
func (s *stream) Close() error { return s.body.Close() }

// Next implements engine.Stream.
func (s *stream) Next() (engine.Event, error) {
	if s.done {
		return engine.Event{}, io.EOF
	}
	id, data, err := s.readEvent()
	if err != nil {
		return engine.Event{}, err
	}
	if bytes.Equal(data, doneMarker) {
		s.done = true
		return engine.Event{}, io.EOF
	}
	return parseEvent(id, data)
}

// readEvent returns the id and data of the next event that has data. A body that ends without the done marker is a
// broken stream, also when HTTP framing calls it complete.
func (s *stream) readEvent() (id, data []byte, err error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, nil, err
		}
		switch {
		case len(line) == 0:
			if data != nil {
				return id, data, nil
			}
		case bytes.HasPrefix(line, []byte("id:")):
			id = append([]byte(nil), bytes.TrimSpace(line[3:])...)
		case bytes.HasPrefix(line, []byte("data:")):
			data = append(data, bytes.TrimSpace(line[5:])...)
		}
	}
}

func (s *stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.lines.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			s.failed()
			return nil, fmt.Errorf("%w: %w", engine.ErrBroken, err)
		case len(line) > maxLineBytes:
			return nil, fmt.Errorf("%w: line exceeds %d bytes", engine.ErrBroken, maxLineBytes)
		}
	}
}

func parseEvent(id, data []byte) (engine.Event, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return engine.Event{}, fmt.Errorf("%w: %w", engine.ErrBroken, err)
	}
	seq, err := strconv.ParseInt(string(id), 10, 64)
	if err != nil {
		return engine.Event{}, fmt.Errorf("%w: event id %q", engine.ErrBroken, id)
	}
	ev := engine.Event{Seq: seq, Usage: chunk.Usage}
	if len(chunk.Choices) > 0 {
		c := chunk.Choices[0]
		ev.Text = c.Delta.Content
		if c.FinishReason != nil {
			ev.FinishReason = *c.FinishReason
		}
		if c.Confidence != nil {
			ev.Confidence = *c.Confidence
		}
	}
	return ev, nil
}
