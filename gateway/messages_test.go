package gateway

import (
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	slowLink = 10_000_000 / 8 // bytes a second
	// datagramHeaders is the size in bytes of the headers of UDP and IP.
	datagramHeaders = 28
	// maxLinkDelay is the longest time for which messages may hold up other packets of a host: a fifth of the time in which a
	// connection to an endpoint or the store must be established. maxLinkShare bounds their part of the link in any second.
	maxLinkDelay, maxLinkShare = 50 * time.Millisecond, 0.5
	// lossBacklog is the backlog from which a link loses datagrams.
	lossBacklog = 500 * time.Millisecond
)

// datagramNet delivers datagrams in memory, at once, and counts how long they would take on the links of their hosts.
type datagramNet struct {
	mu    sync.Mutex
	conns map[string]*datagramConn
}

// link counts the bytes in one direction of a host's link.
type link struct {
	freeAt     time.Time // when all bytes so far are through
	maxBacklog time.Duration
	second     time.Time // start of the second that is being counted
	bytes, max int       // in the second, and the most in any
}

// add counts a datagram, and reports whether it gets through.
func (l *link) add(bytes int, now time.Time) bool {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.freeAt.Sub(now) > lossBacklog {
		return false
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / slowLink * float64(time.Second)))
	l.maxBacklog = max(l.maxBacklog, l.freeAt.Sub(now))
	if now.Sub(l.second) >= time.Second {
		l.second, l.bytes = now, 0
	}
	l.bytes += bytes
	l.max = max(l.max, l.bytes)
	return true
}

// datagramConn implements notice.PacketConn.
type datagramConn struct {
	net     *datagramNet
	addr    *net.UDPAddr
	in      chan datagram
	closed  chan struct{}
	out, to link // guarded by net.mu
}

type datagram struct {
	data []byte
	from *net.UDPAddr
}

func (n *datagramNet) listen(host int) *datagramConn {
	c := &datagramConn{net: n, addr: &net.UDPAddr{IP: net.IPv4(10, 0, byte(host>>8), byte(host)), Port: 8747}, in: make(chan datagram, 1<<14), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c.addr.String()] = c
	return c
}

func (c *datagramConn) ReadFromUDP(b []byte) (int, *net.UDPAddr, error) {
	select {
	case d := <-c.in:
		return copy(b, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *datagramConn) WriteToUDP(b []byte, addr *net.UDPAddr) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	peer := c.net.conns[addr.String()]
	now, size := time.Now(), len(b)+datagramHeaders
	if peer != nil && c.out.add(size, now) && peer.to.add(size, now) {
		select {
		case peer.in <- datagram{append([]byte(nil), b...), c.addr}:
		default:
		}
	}
	return len(b), nil
}

func (c *datagramConn) LocalAddr() net.Addr { return c.addr }

func (c *datagramConn) Close() error { close(c.closed); return nil }

// messageFleet is a set of daemons that exchange messages over links of 10 Mbit/s.
type messageFleet struct {
	daemons []*Gateway
	conns   []*datagramConn
	rand    *mathrand.Rand
}

func newMessageFleet(t *testing.T, daemons, domains int) *messageFleet {
	limit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) }) // that of one daemon is too little for all
	f := &messageFleet{rand: mathrand.New(mathrand.NewPCG(43, uint64(daemons)))}
	network := &datagramNet{conns: map[string]*datagramConn{}}
	var entries []kv.Entry
	for i := range daemons {
		g := testGateway(memkv.New())
		g.spec.Name, g.spec.Domain, g.spec.LinkBytes = fmt.Sprintf("d%03d", i), fmt.Sprintf("domain%d", i%domains), slowLink
		c := network.listen(i)
		g.spec.PeerAddr = c.addr.String()
		f.daemons, f.conns = append(f.daemons, g), append(f.conns, c)
		entries = append(entries, kv.Entry{Key: memberPrefix + g.spec.Name, Value: g.memberValue(), Revision: numbered(uint64(i + 1))})
	}
	for i, g := range f.daemons {
		g.exchange.Store(notice.New(f.conns[i], g.exchangeSpec()))
		g.view.advance(kv.Changes{Reset: true, Revision: numbered(1000), Entries: entries}, time.Now())
		go g.crashes.run()
	}
	debug.SetMemoryLimit(limit)
	return f
}

// delay returns a random time below limit.
func (f *messageFleet) delay(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}

func (f *messageFleet) close() {
	for _, g := range f.daemons {
		g.cancel()
		g.exchange.Load().Close()
	}
	time.Sleep(time.Minute) // all that waits for a time ends
}

// crash records that a request with prompt parts was in flight at an endpoint that crashed, as package dispatch does.
func (g *Gateway) testCrash(fingerprint uint64, endpoint string, parts []uint64) {
	now := time.Now()
	r := poison.Record{Fingerprint: fingerprint, Crash: endpoint + "/1789000000000", Request: fingerprint, Ran: time.Second, Parts: g.poison.Parts.Suspicious(parts)}
	if g.poison.Add(r, now) {
		g.crashes.add(r)
	}
}

// testAnswer records that a request got a complete answer.
func (g *Gateway) testAnswer(fingerprint uint64, parts []uint64) {
	now := time.Now()
	records := g.poison.ClearAnswered(fingerprint, now)
	if cleared := g.poison.Parts.MarkSound(0, parts, now); len(cleared) > 0 {
		records = append(records, poison.Record{Sound: true, Parts: cleared})
	}
	g.crashes.clear(records)
}

// loseDomain makes each daemon record requests that were in flight at the endpoints of a domain, and their answers at others.
func (f *messageFleet) loseDomain(endpoints, inFlight int) {
	const distinctParts, partsEach = 2000, 3
	for _, g := range f.daemons {
		known := make([]uint64, 0, distinctParts)
		for p := range uint64(distinctParts) {
			if f.rand.Float64() < 0.5 {
				known = append(known, p+1)
			}
		}
		g.poison.Parts.MarkSound(0, known, time.Now())
	}
	for range inFlight {
		g, fingerprint := f.daemons[f.rand.IntN(len(f.daemons))], f.rand.Uint64()
		parts := make([]uint64, partsEach)
		for i := range parts {
			parts[i] = f.rand.Uint64N(distinctParts) + 1
		}
		endpoint := fmt.Sprintf("i-%010x", f.rand.IntN(endpoints))
		time.AfterFunc(f.delay(300*time.Millisecond), func() { g.testCrash(fingerprint, endpoint, parts) })
		time.AfterFunc(400*time.Millisecond+f.delay(2*time.Second), func() { g.testAnswer(fingerprint, parts) })
	}
	changes := kv.Changes{Revision: numbered(1000 + uint64(endpoints))}
	for i := range endpoints {
		changes.Entries = append(changes.Entries, kv.Entry{Key: fmt.Sprintf("endpoint-%d", i), Value: make([]byte, 200), Revision: numbered(1001 + uint64(i))})
	}
	f.daemons[0].view.notifyPeers(numbered(1000), changes, time.Now())
}

// exchangeOthers sends messages of the other kinds for a time: sessions of all requests that a release concerns, evidence, estimates
// and prompts.
func (f *messageFleet) exchangeOthers(requests float64, d time.Duration) {
	estimates := make([]pool.Estimate, 8)
	for i := range estimates {
		estimates[i] = pool.Estimate{Service: "llm"}
	}
	perDaemon := time.Duration(float64(time.Second) * float64(len(f.daemons)) / requests)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(perDaemon) {
		for i, g := range f.daemons {
			x, session := g.exchange.Load(), f.rand.Uint64()
			time.AfterFunc(f.delay(perDaemon), func() {
				g.releases.broadcast(notice.Message{Service: "llm", Order: numbered(1), Session: session, InUseFor: time.Minute})
				g.announcePrompt(pool.Reservation{ID: "i-0123456789", Domain: g.spec.Domain}, time.Second)
			})
			if f.rand.Float64() < perDaemon.Seconds()/estimateInterval(time.Hour, g.view.domainPeers()).Seconds() {
				_ = x.SendToDomain(g.spec.Domain, notice.Message{From: g.spec.Name, Estimates: estimates})
			}
			if i%2 == 0 && f.rand.Float64() < perDaemon.Seconds() {
				_ = x.SendToDomain(g.spec.Domain, notice.Message{From: g.spec.Name, Service: "llm", Order: numbered(1), Evidence: make([]byte, 2000)})
			}
		}
	}
}

// report logs and checks how the messages used the links.
func (f *messageFleet) report(t *testing.T) {
	var backlog, arriving time.Duration
	var out, in int
	network := f.conns[0].net
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, c := range f.conns {
		backlog, arriving = max(backlog, c.out.maxBacklog), max(arriving, c.to.maxBacklog)
		out, in = max(out, c.out.max), max(in, c.to.max)
	}
	t.Logf("busiest link: %v of messages waiting to be sent, %v to arrive; %d bytes sent and %d received in a second, of %d", backlog, arriving, out, in, slowLink)
	if backlog > maxLinkDelay {
		t.Errorf("messages hold up other packets of a host for %v, the limit is %v", backlog, maxLinkDelay)
	}
	if limit := int(maxLinkShare * slowLink); out > limit || in > limit {
		t.Errorf("messages take %d bytes a second out and %d in, the limit is %d", out, in, limit)
	}
}

// fleetSizes are the largest deployment that is played whole and the target, with the requests that are in flight at the endpoints of
// one failure domain and the requests a second that a release concerns.
var fleetSizes = []struct {
	daemons, domains, endpoints, inFlight int
	requests                              float64
	span                                  time.Duration // that is played
}{{58, 4, 30, 600, 60, 8 * time.Second}, {370, 5, 168, 19_520, 650, 1500 * time.Millisecond}}

// Guards against messages between daemons that keep a host from callers, endpoints or the store when a failure domain is lost.
func TestMessagesLeaveLinkToRequests(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			if raceEnabled && size.daemons > 100 {
				t.Skip("runs without the race detector") // in a later step of .ci/test
			}
			synctest.Test(t, func(t *testing.T) {
				f := newMessageFleet(t, size.daemons, size.domains)
				defer f.close()
				f.loseDomain(size.endpoints, size.inFlight)
				f.exchangeOthers(size.requests, size.span)
				f.report(t)
			})
		})
	}
}

// Guards against a request, or a prompt part, that goes on crashing endpoints because the records of its crashes are lost among those of
// a failure domain.
func TestCrashLimitsHoldWhileDomainIsLost(t *testing.T) {
	const settle = 3 * time.Second // within which the other daemons must know
	const request, part = 7777, 99_999
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			if raceEnabled && size.daemons > 100 {
				t.Skip("runs without the race detector") // in a later step of .ci/test
			}
			synctest.Test(t, func(t *testing.T) {
				f := newMessageFleet(t, size.daemons, size.domains)
				defer f.close()
				f.loseDomain(size.endpoints, size.inFlight)
				var lastCrash time.Duration
				for i := range poison.MaxCrashes { // at daemons of different domains
					at := time.Duration(800+200*i) * time.Millisecond
					lastCrash = max(lastCrash, at)
					time.AfterFunc(at, func() { f.daemons[7*i].testCrash(request, fmt.Sprintf("i-content-%d", i), nil) })
				}
				for i := range 5 {
					at := time.Duration(300+400*i) * time.Millisecond
					lastCrash = max(lastCrash, at)
					time.AfterFunc(at, func() {
						g, now := f.daemons[9*i+1], time.Now()
						r := poison.Record{Fingerprint: uint64(1000 + i), Crash: fmt.Sprintf("i-part-%d/1", i), Request: uint64(1000 + i), Ran: 300 * time.Millisecond, Parts: []uint64{part}}
						if g.poison.Add(r, now) {
							g.crashes.add(r)
						}
					})
				}
				f.exchangeOthers(size.requests, lastCrash+settle)
				missed, partMissed := 0, 0
				for _, g := range f.daemons {
					if !g.poison.Refused(request, time.Now()) {
						missed++
					}
					if v, _, _ := g.poison.Parts.Admit([]uint64{part}, time.Now()); v == poison.PartsAllowed {
						partMissed++
					}
				}
				if missed > 0 || partMissed > 0 {
					t.Errorf("%d of %d daemons let a request run that crashed %d endpoints, %d a part that crashed 5", missed, size.daemons, poison.MaxCrashes, partMissed)
				}
			})
		})
	}
}
