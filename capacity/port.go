package capacity

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are allocated below the system's ephemeral port range. A connection attempt to an ephemeral port without a listener
// can be given that port as its source port and connect to itself (TCP simultaneous open). A poll for a daemon that is
// starting would then hang, and the daemon would find its port taken.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// freePorts returns n loopback addresses whose ports were free when it tried them. The first port depends on the process ID,
// so that processes that run at the same time rarely try the same ports.
func freePorts(n int) ([]string, error) {
	const stride = 97 // keeps consecutive process IDs apart
	var out []string
	for len(out) < n {
		tried := portsTried.Add(1)
		if tried > lastPort-firstPort {
			return nil, errors.New("allocate loopback ports: all ports of the range were tried")
		}
		port := firstPort + (int64(os.Getpid())*stride+tried)%(lastPort-firstPort+1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // the port is in use
		}
		out = append(out, ln.Addr().String())
		if err := ln.Close(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
