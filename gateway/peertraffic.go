package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	// trafficInterval is the time over which the messages between daemons are summed up for the log.
	trafficInterval = time.Second
	// loggedLinkShare is the fraction of the host's link above which messages are logged, in either direction. loggedBytesPerSecond
	// applies if the bandwidth is not known.
	loggedLinkShare, loggedBytesPerSecond = 0.1, 100_000
)

// peerTraffic counts the messages between daemons by kind, and logs intervals in which they use much of the link.
type peerTraffic struct {
	g        *Gateway
	out, in  map[notice.Kind]*trafficCounter
	dropped  map[notice.Kind]*metrics.Counter
	logged   uint64 // dropped messages, as of loggedAt
	loggedAt time.Time
}

// trafficCounter counts the messages of a kind in one direction: in the metrics, and since the last interval.
type trafficCounter struct {
	bytesTotal, messagesTotal *metrics.Counter
	bytes, messages           atomic.Int64
}

func newPeerTraffic(g *Gateway) *peerTraffic {
	t := &peerTraffic{g: g, out: map[notice.Kind]*trafficCounter{}, in: map[notice.Kind]*trafficCounter{}, dropped: map[notice.Kind]*metrics.Counter{}, loggedAt: time.Now()}
	for _, k := range notice.Kinds() {
		t.out[k], t.in[k] = t.counter(k, "out"), t.counter(k, "in")
		t.dropped[k] = g.spec.Metrics.Counter(fmt.Sprintf(`bramley_control_dropped_total{kind="notice/%s"}`, k))
	}
	return t
}

func (t *peerTraffic) counter(k notice.Kind, direction string) *trafficCounter {
	return &trafficCounter{
		bytesTotal:    t.g.spec.Metrics.Counter(fmt.Sprintf(`bramley_control_bytes_total{kind="notice/%s",direction=%q}`, k, direction)),
		messagesTotal: t.g.spec.Metrics.Counter(fmt.Sprintf(`bramley_control_messages_total{kind="notice/%s",direction=%q}`, k, direction)),
	}
}

// exchangeSpec returns the specification of this daemon's exchange, whose messages are counted.
func (g *Gateway) exchangeSpec() notice.Spec {
	t := g.traffic
	return notice.Spec{
		Handle: g.receive, AnswerMinimum: g.view.minimum.answer, Domain: g.spec.Domain, LinkBytes: g.spec.LinkBytes,
		OnSend: func(k notice.Kind, n int) { t.out[k].add(n) }, OnReceive: func(k notice.Kind, n int) { t.in[k].add(n) },
		OnDrop: func(k notice.Kind, copies int) { t.dropped[k].Add(copies) },
	}
}

func (c *trafficCounter) add(n int) {
	c.bytesTotal.Add(n)
	c.messagesTotal.Inc()
	c.bytes.Add(int64(n))
	c.messages.Add(1)
}

// run logs the traffic until the daemon stops.
func (t *peerTraffic) run() {
	for pause.For(t.g.ctx, trafficInterval) == nil {
		t.log(time.Now())
	}
}

// log logs the messages since the last call if they use much of the link or some were dropped.
func (t *peerTraffic) log(now time.Time) {
	seconds := now.Sub(t.loggedAt).Seconds()
	t.loggedAt = now
	f := logrus.Fields{}
	sent, received := sumTraffic(t.out, "sent", f), sumTraffic(t.in, "received", f)
	limit := loggedLinkShare * float64(t.g.spec.LinkBytes)
	if limit <= 0 {
		limit = loggedBytesPerSecond
	}
	var dropped uint64
	for _, c := range t.dropped {
		dropped += c.Get()
	}
	since := dropped - t.logged
	t.logged = dropped
	if float64(max(sent, received)) < limit*seconds && since == 0 {
		return
	}
	f["dropped"], f["sent_bytes"], f["received_bytes"], f["seconds"], f["link_bytes_per_second"] = since, sent, received, seconds, t.g.spec.LinkBytes
	t.g.log.WithFields(f).Info("messages between daemons")
}

// sumTraffic returns the sum of bytes since the last call, and adds a field with bytes and messages for each kind that had any.
func sumTraffic(counters map[notice.Kind]*trafficCounter, prefix string, f logrus.Fields) (sum int64) {
	for k, c := range counters {
		bytes, messages := c.bytes.Swap(0), c.messages.Swap(0)
		if messages > 0 {
			f[prefix+"_"+k.String()] = fmt.Sprintf("%d bytes in %d messages", bytes, messages)
		}
		sum += bytes
	}
	return sum
}
