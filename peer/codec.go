package peer

import (
	"bufio"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
)

// Traffic receives the size of each message between daemons. A nil Traffic is allowed.
type Traffic interface {
	// ControlBytes adds n bytes; direction is "in" or "out".
	ControlBytes(kind, direction string, n int)
	// ControlMessage counts one request of the kind.
	ControlMessage(kind, direction string)
}

const (
	directionIn  = "in"
	directionOut = "out"
)

// kindOf returns the kind of traffic of a method, for example "peer/digest".
func kindOf(serviceMethod string) string {
	return "peer/" + strings.ToLower(strings.TrimPrefix(serviceMethod, serviceName+"."))
}

// meteredConn counts the bytes of a connection until a codec assigns them to a kind of message.
type meteredConn struct {
	net.Conn
	read, written atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// compressed is the first byte of a connection whose two directions are compressed. No gob stream begins with it, so a
// server also understands a client that does not compress.
const compressed = 0

// compressors keeps compressors of closed connections; each takes about 0.8 MB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("peer: compressor: %v", err)) // the level is constant and valid
	}
	return w
}}

// codec is the gob codec of net/rpc with a count of the bytes of each message. Each direction is one compressed stream
// that is flushed after a message, so names that repeat within a connection are sent once. Written bytes are assigned
// exactly. Bytes read are assigned to the message that is complete; if the next one arrived in the same read, it counts
// with it.
type codec struct {
	conn    *meteredConn
	traffic Traffic
	in      *bufio.Reader
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer

	writing sync.Mutex
	zip     *flate.Writer // nil on a connection without compression, and after Close

	method string // of the message that is being read

	mu      sync.Mutex
	pending map[uint64]string // methods of calls without a response
}

func newCodec(conn net.Conn, traffic Traffic) *codec {
	m := &meteredConn{Conn: conn}
	return &codec{conn: m, traffic: traffic, in: bufio.NewReader(m), buf: bufio.NewWriter(m), pending: map[uint64]string{}}
}

// compress makes both directions compressed streams.
func (c *codec) compress() {
	c.zip = compressors.Get().(*flate.Writer)
	c.zip.Reset(c.buf)
	c.enc = gob.NewEncoder(c.zip)
	c.dec = gob.NewDecoder(flate.NewReader(c.in))
}

// negotiate uses the form that the client has chosen with its first byte.
func (c *codec) negotiate() error {
	first, err := c.in.Peek(1)
	if err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if first[0] == compressed {
		_, err = c.in.Discard(1)
		c.compress()
		return err
	}
	c.enc, c.dec = gob.NewEncoder(c.buf), gob.NewDecoder(c.in)
	return nil
}

func (c *codec) write(method string, header, body any) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.enc == nil {
		return net.ErrClosed
	}
	err := c.enc.Encode(header)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil && c.zip != nil {
		err = c.zip.Flush()
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if c.traffic != nil {
		c.traffic.ControlBytes(kindOf(method), directionOut, int(c.conn.written.Swap(0)))
	}
	return err
}

func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	if c.traffic != nil && c.method != "" {
		c.traffic.ControlBytes(kindOf(c.method), directionIn, int(c.conn.read.Swap(0)))
	}
	return err
}

func (c *codec) message(method, direction string) {
	if c.traffic != nil {
		c.traffic.ControlMessage(kindOf(method), direction)
	}
}

// Close closes the connection.
func (c *codec) Close() error {
	err := c.conn.Close() // ends a write that holds the lock
	c.writing.Lock()
	defer c.writing.Unlock()
	c.enc = nil
	if c.zip != nil {
		c.zip.Reset(nil)
		compressors.Put(c.zip)
		c.zip = nil
	}
	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

// newClientCodec returns the codec of a client, which compresses the connection.
func newClientCodec(conn net.Conn, traffic Traffic) clientCodec {
	c := newCodec(conn, traffic)
	_ = c.buf.WriteByte(compressed) // buffered, and sent with the first request
	c.compress()
	return clientCodec{c}
}

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.mu.Lock()
	c.pending[r.Seq] = r.ServiceMethod
	c.mu.Unlock()
	c.message(r.ServiceMethod, directionOut)
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.mu.Lock()
	c.method = c.pending[r.Seq]
	delete(c.pending, r.Seq)
	c.mu.Unlock()
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.dec == nil {
		if err := c.negotiate(); err != nil {
			return err
		}
	}
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.method = r.ServiceMethod
	c.message(r.ServiceMethod, directionIn)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. A response that can't be encoded closes the connection, since its half would
// be taken for the next response.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r.ServiceMethod, r, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}
