package httpconn

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// keepAliveMargin is subtracted from the endpoint's keep-alive time, so that a request does not cross its close. It covers
// the path in both directions.
const keepAliveMargin = 500 * time.Millisecond

// quiet reports whether a kept connection is open and holds no bytes that nobody asked for.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // a connection in memory; its first read shows what a socket would show here
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

// keepAlive returns the time for which the endpoint keeps an idle connection, less a margin.
func keepAlive(h http.Header) (time.Duration, bool) {
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
