package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// Limits bound what an endpoint may send in one exchange, apart from the body of the response. If an endpoint exceeds
// one, its connection is closed and the request fails with ErrResponseTooLarge.
type Limits struct {
	// HeaderBytes and HeaderLines bound the status lines and headers of one exchange in total, including those of interim
	// responses and of responses to other requests. An endpoint may repeat what the request's header has, so the size of that comes on top:
	// otherwise a caller with a long value would make the endpoints look faulty.
	HeaderBytes, HeaderLines int
	// DiscardBytes bounds the body, with its framing, of a response to another request, which is discarded.
	DiscardBytes int64
}

// DefaultLimits are several times what common HTTP servers send. With them, an exchange uses less than 64 KiB of memory
// in addition to its request, so that hundreds of faulty endpoints do not exhaust a small host.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, HeaderLines: 256, DiscardBytes: 256 << 10}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
	}
	if l.HeaderLines <= 0 {
		l.HeaderLines = DefaultLimits.HeaderLines
	}
	if l.DiscardBytes <= 0 {
		l.DiscardBytes = DefaultLimits.DiscardBytes
	}
	return l
}

// withEcho returns the limits for the exchange of a request.
func (l Limits) withEcho(r *Request) Limits {
	l.HeaderBytes += len(r.Target)
	for name, values := range r.Header {
		for _, v := range values {
			l.HeaderBytes += len(name) + len(v) + len(": \r\n")
		}
	}
	return l
}

// ErrResponseTooLarge means that an endpoint sent more than the Limits allow.
var ErrResponseTooLarge = errors.New("response exceeds the limits")

// readMode is the part of a response that is being read, which decides the limit that applies.
type readMode int

const (
	modeBody    readMode = iota // body of the response; the caller limits it
	modeHeader                  // status line and headers of any response
	modeDiscard                 // body of a response to another request
)

// limitReader reads from a connection and enforces the limits, since net/http reads a header of any length. It returns
// headers line by line, so that bytes of the body are not counted as header bytes.
type limitReader struct {
	conn         *bufio.Reader
	mode         readMode
	headerBytes  int // remaining for all headers of the exchange
	headerLines  int
	discardBytes int64 // bytes remaining for the body of a discarded response, with its framing
}

// reset restores the full limits for a new exchange.
func (r *limitReader) reset(l Limits) {
	r.headerBytes, r.headerLines, r.discardBytes = l.HeaderBytes, l.HeaderLines, l.DiscardBytes
}

// Read implements io.Reader.
func (r *limitReader) Read(p []byte) (int, error) {
	switch r.mode {
	case modeHeader:
		return r.readHeader(p)
	case modeDiscard:
		return r.readDiscarded(p)
	default:
		return r.conn.Read(p)
	}
}

func (r *limitReader) readHeader(p []byte) (int, error) {
	if r.headerBytes <= 0 || r.headerLines <= 0 {
		return 0, fmt.Errorf("%w: status lines and headers", ErrResponseTooLarge)
	}
	if _, err := r.conn.Peek(1); err != nil {
		return 0, err
	}
	line, err := r.conn.Peek(min(len(p), r.conn.Buffered(), r.headerBytes))
	if err != nil {
		return 0, err
	}
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end+1]
		r.headerLines--
	}
	n := copy(p, line)
	r.headerBytes -= n
	_, err = r.conn.Discard(n)
	return n, err
}

func (r *limitReader) readDiscarded(p []byte) (int, error) {
	if r.discardBytes <= 0 {
		return 0, fmt.Errorf("%w: body of a response to another request", ErrResponseTooLarge)
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.discardBytes)])
	r.discardBytes -= int64(n)
	return n, err
}
