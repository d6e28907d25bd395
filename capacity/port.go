package capacity

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken from below the range from which the system numbers outgoing connections. A connection attempt to a port
// of that range that nobody listens on can get the same number as its own and connect to itself, so that a poll for a
// daemon that is starting hangs and the daemon finds its port taken.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

// portsTried is the number of ports that were tried so far.
var portsTried atomic.Int64

// freePorts returns loopback addresses that were free a moment ago. Processes begin at different ports.
func freePorts(n int) ([]string, error) {
	const stride = 97 // spreads neighbouring process numbers
	var out []string
	for len(out) < n {
		tried := portsTried.Add(1)
		if tried > lastPort-firstPort {
			return nil, errors.New("no free ports are left")
		}
		port := firstPort + (int64(os.Getpid())*stride+tried)%(lastPort-firstPort+1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // taken
		}
		out = append(out, ln.Addr().String())
		if err := ln.Close(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
