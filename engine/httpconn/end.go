package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxSendWait is the time for which the end of a response without a length waits for the end of writing the request. An endpoint that has
// read the whole request may close the connection before the goroutine that wrote it has run again; 1 s covers a busy host. After a reset,
// writing ends at once.
const maxSendWait = time.Second

// ErrTruncated means that a response without a length ended with its connection in a way that does not show that the response is complete:
// the request was not written in full, or the connection was reset.
var ErrTruncated = fmt.Errorf("truncated response: %w", io.ErrUnexpectedEOF)

// ErrInvalidStatus means that the status line of a response, after interim ones, has a status outside 200 to 599 or another version than
// HTTP/1.x.
var ErrInvalidStatus = errors.New("invalid status line of a response")

// IsUnframed reports whether the body of a response ends with its connection, since it has neither a length nor chunks.
func IsUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// isInterim reports whether a response precedes the final one. The router never asks for another protocol, so a 101 is invalid.
func isInterim(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols
}

// checkStatus returns ErrInvalidStatus if the status line of a final response is not valid. In a version below HTTP/1.0, net/http takes
// chunks for the body itself.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < 200 || resp.StatusCode > 599 || resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: %s, status %d", ErrInvalidStatus, resp.Proto, resp.StatusCode)
	}
	return nil
}

// checkClosed returns ErrTruncated if a connection whose peer has closed it was also reset, or if the peer has not received all bytes that
// were written to it. The kernel reports a reset that follows the close only here, because reads return io.EOF from then on. A peer that
// closes acknowledges all that it has received, so what is unacknowledged then was not read. Connections in memory are not checked.
func checkClosed(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	var socketErr, unacked int
	err = raw.Control(func(fd uintptr) {
		var optErr, queueErr error
		socketErr, optErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		unacked, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if queueErr != nil {
			unacked = 0 // not a TCP connection
		}
		if optErr != nil {
			socketErr = 0
		}
	})
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	case socketErr != 0:
		return fmt.Errorf("%w: %w", ErrTruncated, syscall.Errno(socketErr))
	case unacked > 0:
		return fmt.Errorf("%w: %d bytes of the request were not received", ErrTruncated, unacked)
	}
	return nil
}
