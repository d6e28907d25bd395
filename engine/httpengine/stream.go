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

// streamBufSize is the size in bytes of a stream's read buffer; an event has about 200 bytes.
const streamBufSize = 1 << 10

// maxLineBytes limits one line of an event stream.
const maxLineBytes = 64 << 10

var doneMarker = []byte("[DONE]")

// stream implements engine.Stream by parsing server-sent events.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	boot   string
	done   bool
	// onError is called when reading the body fails.
	onError func()
}

// NewStream returns a stream that parses the server-sent events in the body of a response. Closing the stream closes
// the body. onError is called when reading the body fails.
func NewStream(resp *http.Response, onError func()) engine.Stream {
	return &stream{onError: onError, body: resp.Body, reader: bufio.NewReaderSize(resp.Body, streamBufSize), boot: resp.Header.Get(HeaderBoot)}
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

// readEvent returns the id and data of the next event that has data. A body that ends without the [DONE] marker is a
// broken stream, even if its HTTP framing is complete.
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
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			s.onError()
			return nil, fmt.Errorf("%w: %w", engine.ErrBroken, err)
		case len(line) > maxLineBytes:
			return nil, fmt.Errorf("%w: line of the event stream exceeds %d bytes", engine.ErrBroken, maxLineBytes)
		}
	}
}

func parseEvent(id, data []byte) (engine.Event, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return engine.Event{}, fmt.Errorf("%w: parse event data: %w", engine.ErrBroken, err)
	}
	seq, err := strconv.ParseInt(string(id), 10, 64)
	if err != nil {
		return engine.Event{}, fmt.Errorf("%w: event id %q is not a number", engine.ErrBroken, id)
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
