package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	eventBufferSize = 4 << 10
	// maxEventBytes is the size limit of one event, which is buffered until it is complete. It keeps hundreds of endpoints that
	// never end an event from exhausting the memory of a small host.
	maxEventBytes = 64 << 10
)

// ErrMalformedEvent is wrapped by errors about data in a stream that is not a valid event.
var ErrMalformedEvent = errors.New("relay: malformed event")

// EventReader reads server-sent events. It only returns complete events, so that a stream that breaks within an event can be
// continued by another endpoint. It must be used by one goroutine.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBufferSize)}
}

// Next returns the next event as it was sent, including the blank line that ends it, and its ID, 0 if it has none. The bytes
// are valid until the next call. Next returns io.EOF after the last event, io.ErrUnexpectedEOF if the stream ends within an
// event, and ErrMalformedEvent for an event that is too large or has an invalid ID.
func (r *EventReader) Next() (event []byte, id int64, err error) {
	r.event = r.event[:0]
	lineStart := 0 // in r.event, of the line that is being read
	for {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		switch {
		case len(r.event) > maxEventBytes:
			return nil, 0, fmt.Errorf("%w: larger than %d bytes", ErrMalformedEvent, maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line goes on
		case err == io.EOF && len(r.event) > 0:
			return nil, 0, io.ErrUnexpectedEOF
		case err != nil:
			return nil, 0, err
		}
		isBlank := len(bytes.TrimRight(r.event[lineStart:], "\r\n")) == 0
		switch {
		case isBlank && lineStart == 0: // between events
			r.event = r.event[:0]
		case isBlank:
			id, err := eventID(r.event)
			return r.event, id, err
		}
		lineStart = len(r.event)
	}
}

// HasData reports whether an event has a data field, that is, a part of the answer. Servers may send comments and events
// without data to keep a connection open.
func HasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// IsComment reports whether an event has only comments, which belong to no answer.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of an event's id field, 0 if it has none.
func eventID(event []byte) (int64, error) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("%w: id %q is not a non-negative integer", ErrMalformedEvent, bytes.TrimSpace(value))
		}
		return n, nil
	}
	return 0, nil
}
