package observe

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Kinds of control traffic whose bytes are counted per connection. Traffic between daemons is counted per message,
// under the kind "peer/" followed by the name of the method.
const (
	KindStore = "store" // key-value store
	KindHosts = "hosts" // host list
	KindLoad  = "load"  // load reports and commands of endpoints
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// ControlBytes adds n bytes of control traffic of a kind. Direction is "in" or "out" from the point of view of this
// process. The bytes are the payload of the connection, without TCP and IP headers.
func (m *Metrics) ControlBytes(kind, direction string, n int) {
	m.controlCounter(kind, direction).Add(n)
}

// ControlMessage counts one message between daemons, "in" at its receiver and "out" at its sender.
func (m *Metrics) ControlMessage(kind, direction string) {
	m.Counter(fmt.Sprintf(`bramley_control_messages_total{kind=%q,direction=%q}`, kind, direction)).Inc()
}

func (m *Metrics) controlCounter(kind, direction string) *metrics.Counter {
	return m.Counter(fmt.Sprintf(`bramley_control_bytes_total{kind=%q,direction=%q}`, kind, direction))
}

// CountingDial returns a function that opens connections with dial and counts their bytes as control traffic of the
// kind.
func (m *Metrics) CountingDial(kind string, dial DialFunc) DialFunc {
	in, out := m.controlCounter(kind, "in"), m.controlCounter(kind, "out")
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, in: in, out: out}, nil
	}
}

// countedConn is a connection that adds the bytes read and written to two counters.
type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}
