package httpconn

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// keepAliveMargin is subtracted from the endpoint's keep-alive time, so that no request is sent while the endpoint
// closes the connection. It covers the network delay in both directions.
const keepAliveMargin = 500 * time.Millisecond

// isIdle reports whether a connection is open and has received no bytes since its last response. It peeks at the socket
// without waiting.
func isIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // a connection in memory; its first read shows the same
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// keepAliveTimeout returns the time for which the endpoint keeps an idle connection open, less keepAliveMargin. The
// second result is false if the header states none.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return max(0, time.Duration(seconds)*time.Second-keepAliveMargin), true
	}
	return 0, false
}
