package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// Limits bound what an endpoint may send beside the body of an answer. An endpoint that exceeds one sends no answer: its
// connection is closed.
type Limits struct {
	// HeadBytes and HeadLines bound status lines and headers within one exchange, those of interim answers and of answers to
	// other requests included.
	HeadBytes, HeadLines int
	// ForeignBytes bounds the body of an answer to another request that is passed over, with its framing.
	ForeignBytes int64
}

// DefaultLimits are several times what common HTTP servers send. With them, an exchange holds less than 64 KiB beside its
// request, so that hundreds of broken endpoints do not exhaust a small host.
var DefaultLimits = Limits{HeadBytes: 16 << 10, HeadLines: 256, ForeignBytes: 256 << 10}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultLimits.HeadBytes
	}
	if l.HeadLines <= 0 {
		l.HeadLines = DefaultLimits.HeadLines
	}
	if l.ForeignBytes <= 0 {
		l.ForeignBytes = DefaultLimits.ForeignBytes
	}
	return l
}

// ErrTooLarge says that an endpoint sent more than the limits allow.
var ErrTooLarge = errors.New("answer exceeds the limits")

// part is what a connection brings at a time.
type part int

const (
	ownBody     part = iota // of the answer to the request; the caller's side bounds it
	head                    // of any answer
	foreignBody             // of an answer to another request
)

// guard passes on what a connection brings, within the limits. net/http reads a head to its end, however long it is; of a
// head, the guard gives single lines, so that nothing of the body is counted.
type guard struct {
	conn    *bufio.Reader
	part    part
	bytes   int // left for the heads of the exchange
	lines   int
	foreign int64 // bytes left for a body that is passed over, with its framing
}

// begin starts an exchange.
func (g *guard) begin(l Limits) {
	g.bytes, g.lines, g.foreign = l.HeadBytes, l.HeadLines, l.ForeignBytes
}

// Read implements io.Reader.
func (g *guard) Read(p []byte) (int, error) {
	switch g.part {
	case head:
		return g.readHead(p)
	case foreignBody:
		return g.readForeign(p)
	default:
		return g.conn.Read(p)
	}
}

func (g *guard) readHead(p []byte) (int, error) {
	if g.bytes <= 0 || g.lines <= 0 {
		return 0, fmt.Errorf("%w: head", ErrTooLarge)
	}
	if _, err := g.conn.Peek(1); err != nil {
		return 0, err
	}
	line, err := g.conn.Peek(min(len(p), g.conn.Buffered(), g.bytes))
	if err != nil {
		return 0, err
	}
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end+1]
		g.lines--
	}
	n := copy(p, line)
	g.bytes -= n
	_, err = g.conn.Discard(n)
	return n, err
}

func (g *guard) readForeign(p []byte) (int, error) {
	if g.foreign <= 0 {
		return 0, fmt.Errorf("%w: answer to another request", ErrTooLarge)
	}
	n, err := g.conn.Read(p[:min(int64(len(p)), g.foreign)])
	g.foreign -= int64(n)
	return n, err
}
