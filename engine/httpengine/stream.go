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

// maxEventBytes limits the lines of one event of a stream in total. An engine that never ends an event must not fill the daemon's memory.
const maxEventBytes = 64 << 10

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
	remaining := maxEventBytes
	for {
		line, read, err := s.readLine(remaining)
		if err != nil {
			return nil, nil, err
		}
		remaining -= read
		switch {
		case len(line) == 0:
			if data != nil {
				return id, data, nil
			}
			remaining = maxEventBytes
		case bytes.HasPrefix(line, []byte("id:")):
			id = append([]byte(nil), bytes.TrimSpace(line[3:])...)
		case bytes.HasPrefix(line, []byte("data:")):
			data = append(data, bytes.TrimSpace(line[5:])...)
		}
	}
}

// readLine returns the next line without its line break, and the number of bytes read. It fails if these are more than limit.
func (s *stream) readLine(limit int) (line []byte, read int, err error) {
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return nil, 0, fmt.Errorf("%w: event of the stream exceeds %d bytes", engine.ErrBroken, maxEventBytes)
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), len(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			s.onError()
			return nil, 0, fmt.Errorf("%w: %w", engine.ErrBroken, err)
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
