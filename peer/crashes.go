package peer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/poison"
)

const (
	// crashRecordsPerSecond and crashRecordBurst bound the crash records that a daemon sends to all its peers together. With 150 bytes a
	// record, they take a fifth of a link of 10 Mbit/s.
	crashRecordsPerSecond, crashRecordBurst = 1800, 600
	// maxRecordsPerCall bounds the crash records of one message.
	maxRecordsPerCall = 32
	// maxWaitingRecords bounds the crash records that wait to be sent to one peer. The oldest are dropped.
	maxWaitingRecords = 4096
)

// crashReportTimeout limits how long ReportCrash waits for the peers to confirm a crash record.
const crashReportTimeout = 200 * time.Millisecond

// ReportCrash records a crash and broadcasts the record. It returns when the peers have confirmed the record, or after
// crashReportTimeout, so that a client that retries its request through another host reaches a daemon that knows of the
// crash.
func (n *Node) ReportCrash(r poison.Record) {
	n.spec.Poison.Add(r, n.spec.Now())
	delivered := n.broadcastCrashes([]poison.Record{r})
	select {
	case <-delivered:
	case <-time.After(crashReportTimeout):
	case <-n.ctx.Done():
	}
}

// ReportCleared broadcasts the records of crashes that turned out not to be caused by their request. It doesn't wait
// for the peers.
func (n *Node) ReportCleared(records []poison.Record) {
	if len(records) > 0 {
		n.broadcastCrashes(records)
	}
}

// maxCrashAttempts is the number of attempts to send a crash record to one peer. The first one may use an established
// connection that no longer delivers anything.
const maxCrashAttempts = 2

// sendCrashes sends crash records to a peer, with up to maxCrashAttempts attempts.
func (n *Node) sendCrashes(addr string, records []poison.Record) {
	for range maxCrashAttempts {
		err := n.link(addr).call(n.ctx, callTimeout, "Crash", CrashArgs{records}, &Empty{})
		if err == nil || n.ctx.Err() != nil {
			return
		}
		n.spec.Log.WithError(err).Debug("crash records not delivered to peer")
	}
}

func newCrashLimiter() *rate.Limiter { return rate.NewLimiter(crashRecordsPerSecond, crashRecordBurst) }

// crashQueue holds the crash records that wait to be sent to one peer. One call at a time carries them, the newest first. It is guarded by
// Node.mu.
type crashQueue struct {
	waiting []queuedCrash
	sending bool
}

// queuedCrash is a record, and a function that is called when the peer has it or all attempts to send it have failed.
type queuedCrash struct {
	record poison.Record
	done   func()
}

// take removes and returns the newest records, as many as a message may have.
func (q *crashQueue) take() []queuedCrash {
	n := min(len(q.waiting), maxRecordsPerCall)
	batch := append([]queuedCrash(nil), q.waiting[len(q.waiting)-n:]...)
	q.waiting = q.waiting[:len(q.waiting)-n]
	return batch
}

// add appends records and returns those that are dropped because too many wait.
func (q *crashQueue) add(records []poison.Record, done func()) (dropped []queuedCrash) {
	for _, r := range records {
		q.waiting = append(q.waiting, queuedCrash{r, done})
	}
	if n := len(q.waiting) - maxWaitingRecords; n > 0 {
		dropped = append(dropped, q.waiting[:n]...)
		q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	}
	return dropped
}

// queueCrashes sends records to a peer as the bounds allow. It calls done for each when it is finished with it.
func (n *Node) queueCrashes(addr string, records []poison.Record, done func()) {
	n.mu.Lock()
	q := n.crashQueues[addr]
	if q == nil {
		q = &crashQueue{}
		n.crashQueues[addr] = q
	}
	dropped := q.add(records, done)
	if !q.sending && !n.closed {
		q.sending = true
		n.wg.Go(func() { n.sendQueued(addr, q) })
	}
	if n.closed {
		dropped = append(dropped, q.waiting...)
		q.waiting = nil
	}
	n.mu.Unlock()
	for _, d := range dropped {
		d.done()
	}
}

// sendQueued sends the records that wait for a peer until there are no more.
func (n *Node) sendQueued(addr string, q *crashQueue) {
	for {
		n.mu.Lock()
		batch := q.take()
		if len(batch) == 0 {
			q.sending = false
			delete(n.crashQueues, addr)
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		records := make([]poison.Record, len(batch))
		for i, b := range batch {
			records[i] = b.record
		}
		if n.crashLimiter.WaitN(n.ctx, len(records)) == nil {
			n.sendCrashes(addr, records)
		}
		for _, b := range batch {
			b.done()
		}
	}
}

// broadcastCrashes sends crash records to all peers in the background. The returned channel is closed when each peer
// has confirmed them, all attempts to reach it have failed, or too many newer ones wait.
func (n *Node) broadcastCrashes(records []poison.Record) <-chan struct{} {
	var wg sync.WaitGroup
	for _, addr := range n.Peers() {
		wg.Add(len(records))
		n.queueCrashes(addr, records, wg.Done)
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	return done
}
