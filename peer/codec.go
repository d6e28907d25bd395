package peer

import (
	"bufio"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
)

// Traffic receives the size and number of the messages between daemons. Its methods must be safe for concurrent use.
// kind is for example "peer/digest", and direction is "in" or "out".
type Traffic interface {
	// ControlBytes adds n bytes of requests or responses of the kind.
	ControlBytes(kind, direction string, n int)
	// ControlMessage adds one request of the kind.
	ControlMessage(kind, direction string)
}

const (
	directionIn  = "in"
	directionOut = "out"
)

// trafficKind returns the kind under which Traffic counts the messages of an RPC method, for example "peer/digest".
func trafficKind(serviceMethod string) string {
	return "peer/" + strings.ToLower(strings.TrimPrefix(serviceMethod, serviceName+"."))
}

// meteredConn counts the bytes of a connection. A codec attributes them to messages and resets the counts.
type meteredConn struct {
	net.Conn
	read, written atomic.Int64 // bytes that have not been attributed yet
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

// compressedMarker is the first byte that a client sends on a connection that is compressed in both directions. No gob
// stream begins with it, so a server recognizes clients that do not compress.
const compressedMarker = 0

// compressorPool reuses the compressors of closed connections, as each takes about 0.8 MB.
var compressorPool = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("peer: compressor: %v", err)) // unreachable: the level is valid
	}
	return w
}}

// codec is a gob codec for net/rpc that counts the bytes of each message. Each direction is one compressed stream,
// which is flushed after every message, so a name that repeats within a connection is sent in full only once. Written
// bytes are attributed exactly. Read bytes are attributed to the message that was decoded last, including those of the
// next message if it arrived in the same read.
type codec struct {
	conn    *meteredConn
	traffic Traffic
	reader  *bufio.Reader
	message *messageReader // from which dec reads
	dec     *gob.Decoder
	enc     *gob.Encoder
	writer  *bufio.Writer

	writeMu    sync.Mutex
	compressed bool
	closed     bool
	compressor *flate.Writer // nil before the first message of a compressed connection, and after Close

	slots messageSlots // for large messages; nil for no limit

	readMethod string // method of the message that is being read

	mu      sync.Mutex
	pending map[uint64]string // methods of the calls that wait for a response, by sequence number
}

func newCodec(conn net.Conn, traffic Traffic) *codec {
	m := &meteredConn{Conn: conn}
	return &codec{conn: m, traffic: traffic, reader: bufio.NewReader(m), writer: bufio.NewWriter(m), pending: map[uint64]string{}}
}

// compress starts compressed streams in both directions. The compressor, which takes much memory, is made for the first message.
func (c *codec) compress() {
	c.compressed = true
	c.decodeFrom(flate.NewReader(c.reader))
}

// encoder returns the encoder of messages. The caller holds writeMu.
func (c *codec) encoder() *gob.Encoder {
	if c.enc == nil && c.compressed {
		c.compressor = compressorPool.Get().(*flate.Writer)
		c.compressor.Reset(c.writer)
		c.enc = gob.NewEncoder(c.compressor)
	} else if c.enc == nil {
		c.enc = gob.NewEncoder(c.writer)
	}
	return c.enc
}

// decodeFrom makes the codec read its messages from a connection.
func (c *codec) decodeFrom(r io.Reader) {
	c.message = &messageReader{source: r, slots: c.slots, conn: c.conn}
	c.dec = gob.NewDecoder(c.message)
}

// readHeader decodes the header of the next message.
func (c *codec) readHeader(header any) error {
	c.message.remaining = maxMessageBytes
	return c.dec.Decode(header)
}

// negotiate waits for the first byte of the client and enables compression if it is compressedMarker.
func (c *codec) negotiate() error {
	first, err := c.reader.Peek(1)
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if first[0] == compressedMarker {
		_, err = c.reader.Discard(1)
		c.compress()
		return err
	}
	c.decodeFrom(c.reader)
	return nil
}

// write sends the header and body of a message. It returns net.ErrClosed after Close.
func (c *codec) write(method string, header, body any) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	enc := c.encoder()
	err := enc.Encode(header)
	if err == nil {
		err = enc.Encode(body)
	}
	if err == nil && c.compressor != nil {
		err = c.compressor.Flush()
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if c.traffic != nil {
		c.traffic.ControlBytes(trafficKind(method), directionOut, int(c.conn.written.Swap(0)))
	}
	return err
}

// readBody decodes the body of the message whose header was read last. A nil body discards it.
func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	if c.traffic != nil && c.readMethod != "" {
		c.traffic.ControlBytes(trafficKind(c.readMethod), directionIn, int(c.conn.read.Swap(0)))
	}
	return err
}

// countMessage counts one request of a method.
func (c *codec) countMessage(method, direction string) {
	if c.traffic != nil {
		c.traffic.ControlMessage(trafficKind(method), direction)
	}
}

// Close closes the connection and returns the compressor to the pool.
func (c *codec) Close() error {
	err := c.conn.Close() // unblocks a write that holds writeMu
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.closed, c.enc = true, nil
	if c.compressor != nil {
		c.compressor.Reset(nil)
		compressorPool.Put(c.compressor)
		c.compressor = nil
	}
	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

// newClientCodec returns a codec for a client. Its connection is always compressed.
func newClientCodec(conn net.Conn, traffic Traffic) clientCodec {
	c := newCodec(conn, traffic)
	_ = c.writer.WriteByte(compressedMarker) // only buffered here; sent with the first request
	c.compress()
	return clientCodec{c}
}

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.mu.Lock()
	c.pending[r.Seq] = r.ServiceMethod
	c.mu.Unlock()
	c.countMessage(r.ServiceMethod, directionOut)
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readHeader(r); err != nil {
		return err
	}
	c.mu.Lock()
	c.readMethod = c.pending[r.Seq]
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
	if err := c.readHeader(r); err != nil {
		return err
	}
	c.readMethod = r.ServiceMethod
	c.countMessage(r.ServiceMethod, directionIn)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. It closes the connection if the response can't be encoded or written
// completely, since the client would read the rest of the stream as the next response.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r.ServiceMethod, r, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}
