package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

const (
	// maxMessageBytes bounds a decompressed message. gob itself would accept a gigabyte.
	maxMessageBytes = 16 << 20
	// largeMessageBytes is the size from which a message, or one of the values of which package gob makes it up, needs a slot while it is read.
	largeMessageBytes = 64 << 10
	// largeMessageTime limits the time from the first byte of a large value to its end, with the wait for a slot.
	largeMessageTime = 10 * time.Second
)

// errMessageTooLarge means that a peer sent more than maxMessageBytes, errMessageTooSlow that a large message took too long.
var (
	errMessageTooLarge = fmt.Errorf("peer: message of more than %d bytes", maxMessageBytes)
	errMessageTooSlow  = fmt.Errorf("peer: large message takes more than %v", largeMessageTime)
)

// messageSlots bounds the large messages that are read at the same time; its capacity is their number.
type messageSlots chan struct{}

// messageReader reads messages and bounds the size of each. It hands a value of package gob on only when it is complete, so that the memory
// for it grows with what has arrived and not with the length that the peer announces.
type messageReader struct {
	source    io.Reader
	conn      net.Conn     // below source
	slots     messageSlots // nil for no limit
	remaining int          // bytes of the current message
	value     bytes.Reader // that is being handed on, with its length
	holdsSlot bool
	exceeded  string // why the connection ends, empty unless a limit was exceeded
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	return r.value.Read(p)
}

// ReadByte implements io.ByteReader, so that package gob reads no more than it needs.
func (r *messageReader) ReadByte() (byte, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	return r.value.ReadByte()
}

// fill reads the next value if the last one was handed on.
func (r *messageReader) fill() error {
	if r.value.Len() > 0 {
		return nil
	}
	r.release()
	prefix, size, err := readLength(r.source)
	if err != nil {
		return err
	}
	if r.remaining -= len(prefix); size > uint64(max(0, r.remaining)) {
		r.exceeded = reasonMessageBytes
		return errMessageTooLarge
	}
	r.remaining -= int(size)
	if size < largeMessageBytes {
		value := append(make([]byte, 0, len(prefix)+int(size)), prefix...)
		value = value[:len(prefix)+int(size)]
		if _, err := io.ReadFull(r.source, value[len(prefix):]); err != nil {
			return notEnded(err)
		}
		r.value.Reset(value)
		return nil
	}
	return r.fillLarge(prefix, int64(size))
}

// fillLarge reads a large value once there is a slot for it.
func (r *messageReader) fillLarge(prefix []byte, size int64) error {
	end := time.Now().Add(largeMessageTime)
	if r.slots != nil {
		timer := time.NewTimer(largeMessageTime)
		defer timer.Stop()
		select {
		case r.slots <- struct{}{}:
			r.holdsSlot = true
		case <-timer.C:
			r.exceeded = reasonMessageTime
			return errMessageTooSlow
		}
	}
	if err := r.conn.SetReadDeadline(end); err != nil {
		r.release()
		return err
	}
	var value bytes.Buffer
	value.Write(prefix)
	if _, err := io.CopyN(&value, r.source, size); err != nil {
		r.release()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.exceeded = reasonMessageTime
		}
		return notEnded(err)
	}
	r.value.Reset(value.Bytes())
	return r.conn.SetReadDeadline(time.Time{})
}

// notEnded returns the error of a read within a value: the end of the connection is not the end of its messages there.
func notEnded(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// release gives up the last value, and its slot.
func (r *messageReader) release() {
	r.value.Reset(nil)
	if r.holdsSlot {
		r.holdsSlot = false
		<-r.slots
	}
}

// maxLengthBytes is the number of bytes that a length of package gob takes after the first one.
const maxLengthBytes = 8

// readLength reads the length of a value of package gob: a byte up to 127, or the negated number of the bytes that follow. It returns the bytes
// that it read.
func readLength(r io.Reader) (prefix []byte, size uint64, err error) {
	prefix = make([]byte, 1, 1+maxLengthBytes)
	if _, err := io.ReadFull(r, prefix); err != nil {
		return nil, 0, err
	}
	if prefix[0] <= 0x7f {
		return prefix, uint64(prefix[0]), nil
	}
	n := -int(int8(prefix[0]))
	if n > maxLengthBytes {
		return nil, 0, fmt.Errorf("peer: a length of %d bytes", n)
	}
	prefix = prefix[:1+n]
	if _, err := io.ReadFull(r, prefix[1:]); err != nil {
		return nil, 0, notEnded(err)
	}
	for _, b := range prefix[1:] {
		size = size<<8 | uint64(b)
	}
	return prefix, size, nil
}
