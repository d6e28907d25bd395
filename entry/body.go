package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// firstBuffer is the first size of the buffer of a body of unknown length.
	firstBuffer = 4 << 10
	// discardBuffer is the size of the pieces in which the body of a refused request is read.
	discardBuffer = 4 << 10
)

// bodyReader reads the body of a request. It asks for the memory before it reads.
type bodyReader struct {
	r     *http.Request
	conn  *gatedConn // nil if memory is not counted
	limit int64      // largest body
	// copies is the number of bodies for which memory is asked: those that are made of this one count, too. 0 stands for 1.
	copies int64
}

// grow asks for memory for a buffer, and waits for it.
func (b *bodyReader) grow(bytes int64) error {
	if b.conn == nil || bytes == 0 {
		return nil
	}
	reason := b.conn.gate.want(b.conn, func(t *intake.Table, now time.Time) (bool, []intake.Action) {
		return t.Want(b.conn.state, intake.KindBody, bytes*max(1, b.copies), now)
	})
	if reason != intake.ReasonNone {
		return refusal(reason)
	}
	if bytes > intake.SmallBytes {
		b.conn.setReadBuffer(bodyBuffer)
	}
	return nil
}

// read fills p and records progress. It returns the number of bytes and io.EOF at the end of the body.
func (b *bodyReader) read(p []byte) (int, error) {
	n, err := b.r.Body.Read(p)
	if b.conn != nil && err == nil && n > 0 {
		b.conn.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
			t.Progress(b.conn.state, n, now)
			return nil
		})
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if b.conn != nil && b.conn.ended.Load() {
		b.conn.gate.mu.Lock()
		defer b.conn.gate.mu.Unlock()
		return n, refusal(b.conn.state.Closing())
	}
	return n, result.Wrap(result.BadRequest, result.NotRun, err)
}

// all returns the whole body.
func (b *bodyReader) all() ([]byte, error) {
	if b.r.ContentLength == 0 {
		return nil, nil
	}
	if n := b.r.ContentLength; n > 0 {
		if err := b.grow(n); err != nil {
			return nil, err
		}
		return b.fill(make([]byte, 0, n))
	}
	return b.growing()
}

// fill reads a body whose length is the capacity of buf.
func (b *bodyReader) fill(buf []byte) ([]byte, error) {
	for len(buf) < cap(buf) {
		n, err := b.read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if err != nil && len(buf) < cap(buf) {
			return nil, result.Wrap(result.BadRequest, result.NotRun, io.ErrUnexpectedEOF)
		}
	}
	return buf, nil
}

// growing reads a body of unknown length.
func (b *bodyReader) growing() ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(firstBuffer, 2*int64(cap(buf))), b.limit+1)
			if int64(len(buf)) > b.limit {
				return nil, b.tooLarge()
			}
			if err := b.grow(size); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, size), buf...)
			b.shrink(size)
		}
		n, err := b.read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			if int64(len(buf)) > b.limit {
				return nil, b.tooLarge()
			}
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// shrink returns the memory of all buffers but one of this size, the last one.
func (b *bodyReader) shrink(size int64) {
	if b.conn == nil {
		return
	}
	b.conn.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
		return t.Keep(b.conn.state, intake.KindBody, size*max(1, b.copies), now)
	})
}

// discard reads the body and keeps nothing of it.
func (b *bodyReader) discard() error {
	var buf [discardBuffer]byte
	var total int64
	for {
		n, err := b.read(buf[:])
		if total += int64(n); total > b.limit {
			return b.tooLarge()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *bodyReader) tooLarge() error {
	return result.Newf(result.BodyTooLarge, "The limit is %d bytes.", b.limit)
}
