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
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event of a stream; it is held until it is whole. With it, hundreds of endpoints that never end an
	// event do not exhaust a small host.
	maxEventBytes = 64 << 10
)

// ErrEvent says that a stream holds something that is not an event.
var ErrEvent = errors.New("relay: malformed event")

// EventReader splits a stream into whole events, so that one that ends in the middle of an event can go on elsewhere
// without a torn one.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
}

// NewEventReader returns a reader of the events of r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event as it was sent, with its blank line, and its number; 0 if it has none. The bytes are valid
// until the next call. It returns io.EOF after the last whole event, and io.ErrUnexpectedEOF if the stream ends within
// one.
func (r *EventReader) Next() (event []byte, number int64, err error) {
	r.event = r.event[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		switch {
		case len(r.event) > maxEventBytes:
			return nil, 0, fmt.Errorf("%w: more than %d bytes", ErrEvent, maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(r.event) > 0:
			return nil, 0, io.ErrUnexpectedEOF
		case err != nil:
			return nil, 0, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			if len(r.event) == len(line) { // blank lines between events
				r.event = r.event[:0]
				continue
			}
			number, err := eventNumber(r.event)
			return r.event, number, err
		}
	}
}

// Advances reports whether an event brings a part of the answer. Comments and fields without data, which a server may send to keep a
// connection open, do not.
func Advances(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// eventNumber returns the value of an event's id field.
func eventNumber(event []byte) (int64, error) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("%w: id %q", ErrEvent, bytes.TrimSpace(value))
		}
		return n, nil
	}
	return 0, nil
}
