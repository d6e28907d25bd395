package notice

import (
	"net"
	"time"
)

const (
	// slowestLink is the bandwidth in bytes a second of the slowest links that daemons are expected to have.
	slowestLink = 10_000_000 / 8
	// burst is the time on the full baseRate for which messages may be sent at once. Other packets of the host wait no longer than this
	// for messages.
	burst = 20 * time.Millisecond
	// headerBytes is the size of the headers of UDP and IP.
	headerBytes = 28
	// maxWaitingBytes bounds the messages of one kind that wait to be sent, without copies.
	maxWaitingBytes = 256 << 10
)

// baseRate returns the bytes a second of which the messages of a daemon may use a share. The other daemons of its failure domain may have the
// slowest links, and each of them receives one copy of what RelaysPerDomain daemons relay: a faster link may be used for as many copies
// as these can receive.
func baseRate(linkBytes int64, domainPeers int) float64 {
	if linkBytes <= 0 {
		linkBytes = slowestLink
	}
	return min(float64(linkBytes), slowestLink*max(1, float64(domainPeers)/RelaysPerDomain))
}

// outbox holds the messages that wait to be sent, and decides which copy is sent when: at most totalShare of the base rate in all and the
// share of its bound of each kind, the kinds in the order of their rank. It is not safe for concurrent use.
type outbox struct {
	total bucket
	kinds [kinds]struct {
		bucket
		queue   []*outgoing
		waiting int // bytes of the messages in queue, without copies
	}
	sent int // messages, to vary the order of their receivers
}

// outgoing is a message with the daemons to which it still has to be sent.
type outgoing struct {
	message Message
	data    []byte // encoded message
	to      []*net.UDPAddr
	at      time.Time // when it was added
	size    int       // of the message when it was added, in bytes
	begun   bool      // a copy has been sent
}

// datagram is one copy of a message.
type datagram struct {
	kind Kind
	data []byte
	to   *net.UDPAddr
}

// bucket is a token bucket whose tokens are bytes. A datagram may be sent while there are any, and may leave a debt.
type bucket struct {
	rate, size, tokens float64
	at                 time.Time
}

// setRate changes the rate and the size, which is also what a new bucket holds.
func (b *bucket) setRate(rate, size float64, now time.Time) {
	if b.at.IsZero() {
		*b = bucket{rate: rate, size: size, tokens: size, at: now}
		return
	}
	b.fill(now)
	b.rate, b.size, b.tokens = rate, size, min(b.tokens, size)
}

func (b *bucket) fill(now time.Time) {
	if now.After(b.at) {
		b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.at).Seconds())
		b.at = now
	}
}

// wait returns the time until a datagram may be sent, 0 if it may be now.
func (b *bucket) wait(now time.Time) time.Duration {
	b.fill(now)
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + 1
}

// setBase sets the rate of which the bounds are shares, see baseRate.
func (o *outbox) setBase(base float64, now time.Time) {
	size := base * burst.Seconds()
	o.total.setRate(totalShare*base, size, now)
	for k := range o.kinds {
		o.kinds[k].setRate(bounds[k].share*base, size, now)
	}
}

// add queues a message for some daemons. It returns the copies of older messages of its kind that are dropped because too many wait.
func (o *outbox) add(m Message, data []byte, to []*net.UDPAddr, now time.Time) (dropped int) {
	if len(to) == 0 {
		return 0
	}
	o.sent++
	first := o.sent % len(to)
	rotated := append(append(make([]*net.UDPAddr, 0, len(to)), to[first:]...), to[:first]...) // none is always the last one
	k := &o.kinds[m.Kind()]
	k.queue = append(k.queue, &outgoing{message: m, data: data, size: len(data), to: rotated, at: now})
	k.waiting += len(data)
	for k.waiting > maxWaitingBytes {
		dropped += o.drop(m.Kind())
	}
	return dropped
}

// drop removes the oldest message of a kind and returns the number of its copies that were not sent.
func (o *outbox) drop(kind Kind) int {
	k := &o.kinds[kind]
	m := k.queue[0]
	k.queue[0] = nil
	k.queue = k.queue[1:]
	k.waiting -= m.size
	return len(m.to)
}

// expire drops the messages of a kind that have waited for too long, and returns the number of copies.
func (o *outbox) expire(kind Kind, now time.Time) (dropped int) {
	k := &o.kinds[kind]
	for len(k.queue) > 0 && now.Sub(k.queue[0].at) > bounds[kind].wait {
		dropped += o.drop(kind)
	}
	return dropped
}

// next returns the copy to be sent now, and counts it. If there is none yet, wait is the time until one may be sent, 0 if none waits.
func (o *outbox) next(now time.Time) (d datagram, ok bool, wait time.Duration) {
	totalWait := o.total.wait(now)
	for kind := range Kind(kinds) {
		k := &o.kinds[kind]
		if len(k.queue) == 0 {
			continue
		}
		if w := max(totalWait, k.wait(now)); w > 0 {
			if wait == 0 || w < wait {
				wait = w
			}
			continue
		}
		m := k.queue[0]
		if !m.begun {
			m.begun = true
			m.encodeDelayed(now)
		}
		d = datagram{kind, m.data, m.to[0]}
		m.to = m.to[1:]
		if len(m.to) == 0 {
			o.drop(kind)
		}
		size := float64(len(d.data) + headerBytes)
		o.total.tokens -= size
		k.tokens -= size
		return d, true, 0
	}
	return datagram{}, false, wait
}

// minDelay is the time from which on a message that waited is encoded again, with later times.
const minDelay = 10 * time.Millisecond

// encodeDelayed encodes a message again that has waited, so that the times in it count until now.
func (m *outgoing) encodeDelayed(now time.Time) {
	if wait := now.Sub(m.at); wait >= minDelay {
		if data, err := encode(m.message.delayed(wait)); err == nil { // else the limit on the size is missed by a byte or two
			m.data = data
		}
	}
}
