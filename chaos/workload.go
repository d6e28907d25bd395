package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/relay"
)

const (
	workers           = 6  // each sends one request at a time
	maxDeliveries     = 60 // of one request, before its caller gives up
	retryDelay        = 100 * time.Millisecond
	poisonPrompt      = "poison" // in prompts that crash the engine
	readsBeforeCancel = 3
)

// workload sends requests as callers behind a load balancer do: each delivery goes to a daemon that is ready, and failed
// requests are retried.
type workload struct {
	runner *runner
	record *Record
	stop   chan struct{}
	wg     sync.WaitGroup
}

// start starts the workers. They end when stop is closed or ctx is cancelled; wg waits for them.
func (w *workload) start(ctx context.Context, seed uint64) {
	for i := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		w.wg.Go(func() { w.runWorker(ctx, i, rng) })
	}
}

// runWorker sends requests one after the other and records them. The requests of KindSession use one session.
func (w *workload) runWorker(ctx context.Context, number int, rng *rand.Rand) {
	session := ""
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		req := &Request{Kind: w.chooseKind(number, n), Key: fmt.Sprintf("worker %d request %d", number, n), Session: number}
		switch req.Kind {
		case KindRelease:
			w.sendRelease(ctx, req, rng)
		case KindPoison:
			req.Key = fmt.Sprintf("%s %d %d", poisonPrompt, number, n)
			w.sendChat(ctx, req, rng, nil)
		case KindSession:
			session = w.sendChat(ctx, req, rng, map[string]string{identify.HeaderSession: session})
		default:
			w.sendChat(ctx, req, rng, nil)
		}
		w.record.add(req)
	}
}

// chooseKind returns the kind of a worker's request n. The sequence of kinds depends only on the worker's number and on whether
// the run has poison requests.
func (w *workload) chooseKind(worker, n int) Kind {
	switch {
	case worker == 0 && n == 3 && w.runner.hasPoisonRequest:
		return KindPoison
	case worker == 1:
		return KindSession
	case n%4 == 1:
		return KindRelease
	case n%7 == 5:
		return KindNonStreaming
	case n%9 == 8:
		return KindCanceled
	default:
		return KindStream
	}
}

// sendChat sends a chat request until a delivery is final or maxDeliveries is reached; a request of KindCanceled is sent once.
// It returns the session token of the answer, or that of header if there is none.
func (w *workload) sendChat(ctx context.Context, req *Request, rng *rand.Rand, header map[string]string) string {
	body := local.ChatBody("auto", req.Key, req.Kind != KindNonStreaming)
	session := header[identify.HeaderSession]
	for range maxDeliveries {
		d := w.deliverChat(ctx, req, body, header, rng, &session)
		req.Deliveries = append(req.Deliveries, d)
		if d.isFinal() || req.Kind == KindCanceled {
			break
		}
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	return session
}

// deliverChat sends a chat request once. After a complete answer, it sets session to the new session token.
func (w *workload) deliverChat(ctx context.Context, req *Request, body []byte, header map[string]string, rng *rand.Rand, session *string) Delivery {
	addr := w.runner.pickDaemon(rng)
	client := w.runner.dep.NewClient(addr, local.SampleKey)
	defer client.HTTP.CloseIdleConnections()
	if req.Kind == KindCanceled {
		return cancelStream(ctx, client, body)
	}
	a, err := client.Chat(ctx, body, header)
	d := newDelivery(addr, a, err)
	d.Version = d.headerValue(a, relay.HeaderVersion)
	if d.Complete && d.Status == http.StatusOK {
		d.BillID = local.SampleTeam + "/chat/id/" + a.Header.Get(relay.HeaderRequestID)
		*session = a.Header.Get(identify.HeaderSession)
	}
	return d
}

// statusCallerGone is the status of a request that the daemon gave up because the caller's connection was closed.
const statusCallerGone = 499

// isFinal reports whether a caller would not retry the request after this delivery.
func (d *Delivery) isFinal() bool {
	retry := d.Status >= 500 || d.Status == http.StatusTooManyRequests || d.Status == statusCallerGone
	return d.Complete && !retry
}

// headerValue returns a response header, or "" if no response was received.
func (Delivery) headerValue(a local.Answer, name string) string {
	if a.Header == nil {
		return ""
	}
	return a.Header.Get(name)
}

// newDelivery returns the delivery to the daemon at addr that ended with a and err.
func newDelivery(addr string, a local.Answer, err error) Delivery {
	d := Delivery{Daemon: addr, Status: a.Status, Text: a.Text, Complete: err == nil && a.Status != 0, Truncated: errors.Is(err, local.ErrIncomplete)}
	d.Ran, d.Code = d.headerValue(a, relay.HeaderRan), d.headerValue(a, relay.HeaderCode)
	return d
}

// cancelStream sends a streaming request, reads the first parts of the answer and closes the connection.
func cancelStream(ctx context.Context, c *local.Client, body []byte) Delivery {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, nil)
	if err != nil {
		return Delivery{Daemon: c.Addr}
	}
	defer resp.Body.Close()
	var buf [256]byte
	for range readsBeforeCancel {
		if _, err := resp.Body.Read(buf[:]); err != nil {
			break
		}
	}
	return Delivery{Daemon: c.Addr, Status: resp.StatusCode}
}

// sendRelease sends a non-repeatable call until it is answered, until the response states that its outcome is unknown, or
// until maxDeliveries is reached.
func (w *workload) sendRelease(ctx context.Context, req *Request, rng *rand.Rand) {
	for range maxDeliveries {
		addr := w.runner.pickDaemon(rng)
		client := w.runner.dep.NewClient(addr, local.SampleKey)
		a, err := client.Call(ctx, http.MethodPost, "/v1/services/"+local.SamplePlain+"/release", []byte(req.Key), map[string]string{identify.HeaderIdempotencyKey: req.Key})
		client.HTTP.CloseIdleConnections()
		d := newDelivery(addr, a, err)
		if d.Complete && d.Status == http.StatusOK {
			d.BillID = req.Key
		}
		req.Deliveries = append(req.Deliveries, d)
		done := d.Complete && (d.Status == http.StatusOK || d.Code == claimUnknown)
		if done || !sleep(ctx, retryDelay) {
			return
		}
	}
}

// Result codes for a repeated call whose first run is in progress or has an unknown outcome.
const (
	claimRunning = "303"
	claimUnknown = "304"
)

// sleep waits for d and reports whether it did so before ctx was cancelled.
func sleep(ctx context.Context, d time.Duration) bool { return pause.For(ctx, d) == nil }
