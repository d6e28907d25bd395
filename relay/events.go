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
	// maxEventBytes is the size up to which an event is buffered until it is complete. It keeps hundreds of endpoints that never end an
	// event from exhausting the memory of a small host.
	maxEventBytes = 64 << 10
)

// ErrMalformedEvent is wrapped by errors about data in a stream that is not a valid event.
var ErrMalformedEvent = errors.New("relay: malformed event")

// EventReader reads server-sent events. It only returns complete events, so that a stream that breaks within an event can be
// continued by another endpoint; an event larger than its buffer comes in parts. It must be used by one goroutine.
type EventReader struct {
	reader    *bufio.Reader
	event     []byte
	continues bool
	inLine    bool // the line that continues in the next part has content
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBufferSize)}
}

// Continues reports whether the last call of Next returned a part of an event whose rest follows.
func (r *EventReader) Continues() bool { return r.continues }

// Next returns the next event as it was sent, including the blank line that ends it, and its ID, 0 if it has none. The bytes
// are valid until the next call. An event of more than maxEventBytes is returned in parts, of which the first one comes with the ID.
// Next returns io.EOF after the last event, io.ErrUnexpectedEOF if the stream ends within an event, and ErrMalformedEvent for an event with
// an invalid ID, or without one in its first maxEventBytes.
func (r *EventReader) Next() (event []byte, id int64, err error) {
	r.event = r.event[:0]
	isFirst := !r.continues
	lineStart := 0 // in r.event, of the line that is being read
	for {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		isLong := len(r.event) > maxEventBytes
		switch {
		case err == nil, errors.Is(err, bufio.ErrBufferFull), err == io.EOF && isLong:
		case err == io.EOF && (len(r.event) > 0 || !isFirst):
			return nil, 0, io.ErrUnexpectedEOF
		default:
			return nil, 0, err
		}
		hasContent := r.inLine || len(bytes.TrimRight(r.event[lineStart:], "\r\n")) > 0
		if err == nil { // the line is complete
			if !hasContent && (lineStart > 0 || !isFirst) {
				return r.complete(isFirst)
			}
			if !hasContent { // a blank line between events
				r.event = r.event[:0]
			}
			lineStart, r.inLine, hasContent = len(r.event), false, false
		}
		if isLong {
			r.inLine = hasContent
			return r.split(isFirst, lineStart)
		}
	}
}

// complete returns the end of an event.
func (r *EventReader) complete(isFirst bool) (event []byte, id int64, err error) {
	r.continues, r.inLine = false, false
	if isFirst {
		id, err = eventID(r.event)
	}
	return r.event, id, err
}

// split returns a part of an event that continues. The part has whole lines up to lineEnd.
func (r *EventReader) split(isFirst bool, lineEnd int) (event []byte, id int64, err error) {
	r.continues = true
	if !isFirst {
		return r.event, 0, nil
	}
	id, err = eventID(r.event[:lineEnd])
	if err == nil && id == 0 {
		err = fmt.Errorf("%w: no ID in the first %d bytes", ErrMalformedEvent, maxEventBytes)
	}
	return r.event, id, err
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
