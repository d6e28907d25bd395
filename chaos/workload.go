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
	workers         = 6
	maxDeliveries   = 60
	deliveryPause   = 100 * time.Millisecond
	poisonPrompt    = "poison"
	leaveAfterParts = 3
)

// workload sends requests as callers behind a balancer do: each delivery goes to a daemon that is ready, and a request
// that failed is sent again as its caller would.
type workload struct {
	run    *run
	record *Record
	stop   chan struct{}
	wg     sync.WaitGroup
}

func (w *workload) start(ctx context.Context, seed uint64) {
	for i := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		w.wg.Go(func() { w.worker(ctx, i, rng) })
	}
}

func (w *workload) worker(ctx context.Context, number int, rng *rand.Rand) {
	session := ""
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		req := &Request{Kind: w.kind(number, n), Key: fmt.Sprintf("worker %d request %d", number, n), Session: number}
		switch req.Kind {
		case KindRelease:
			w.release(ctx, req, rng)
		case KindPoison:
			req.Key = fmt.Sprintf("%s %d %d", poisonPrompt, number, n)
			w.chat(ctx, req, rng, nil)
		case KindSession:
			session = w.chat(ctx, req, rng, map[string]string{identify.HeaderSession: session})
		default:
			w.chat(ctx, req, rng, nil)
		}
		w.record.add(req)
	}
}

// kind mixes the kinds of requests; the sequence depends only on the worker's number.
func (w *workload) kind(worker, n int) Kind {
	switch {
	case worker == 0 && n == 3 && w.run.poison:
		return KindPoison
	case worker == 1:
		return KindSession
	case n%4 == 1:
		return KindRelease
	case n%7 == 5:
		return KindWhole
	case n%9 == 8:
		return KindLeave
	default:
		return KindStream
	}
}

// chat sends a chat request until it is answered, refused for good or given up. It returns the session token.
func (w *workload) chat(ctx context.Context, req *Request, rng *rand.Rand, header map[string]string) string {
	body := local.ChatBody("auto", req.Key, req.Kind != KindWhole)
	session := header[identify.HeaderSession]
	for range maxDeliveries {
		d := w.deliverChat(ctx, req, body, header, rng, &session)
		req.Deliveries = append(req.Deliveries, d)
		if d.final() || req.Kind == KindLeave {
			break
		}
		if !sleep(ctx, deliveryPause) {
			break
		}
	}
	return session
}

func (w *workload) deliverChat(ctx context.Context, req *Request, body []byte, header map[string]string, rng *rand.Rand, session *string) Delivery {
	addr := w.run.daemon(rng)
	client := w.run.dep.NewClient(addr, local.SampleKey)
	defer client.HTTP.CloseIdleConnections()
	if req.Kind == KindLeave {
		return leave(ctx, client, body)
	}
	a, err := client.Chat(ctx, body, header)
	d := delivery(addr, a, err)
	d.Version = d.header(a, relay.HeaderVersion)
	if d.Complete && d.Status == http.StatusOK {
		d.Billing = local.SampleTeam + "/chat/id/" + a.Header.Get(relay.HeaderRequestID)
		*session = a.Header.Get(identify.HeaderSession)
	}
	return d
}

// statusCallerGone is the status of a request that was given up because its connection closed.
const statusCallerGone = 499

// final reports whether a caller would not send the request again.
func (d *Delivery) final() bool {
	retry := d.Status >= 500 || d.Status == http.StatusTooManyRequests || d.Status == statusCallerGone
	return d.Complete && !retry
}

func (Delivery) header(a local.Answer, name string) string {
	if a.Header == nil {
		return ""
	}
	return a.Header.Get(name)
}

func delivery(addr string, a local.Answer, err error) Delivery {
	d := Delivery{Daemon: addr, Status: a.Status, Text: a.Text, Complete: err == nil && a.Status != 0, Cut: errors.Is(err, local.ErrIncomplete)}
	d.Ran, d.Code = d.header(a, relay.HeaderRan), d.header(a, relay.HeaderCode)
	return d
}

// leave reads the start of a stream and closes the connection.
func leave(ctx context.Context, c *local.Client, body []byte) Delivery {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, nil)
	if err != nil {
		return Delivery{Daemon: c.Addr}
	}
	defer resp.Body.Close()
	var buf [256]byte
	for range leaveAfterParts {
		if _, err := resp.Body.Read(buf[:]); err != nil {
			break
		}
	}
	return Delivery{Daemon: c.Addr, Status: resp.StatusCode}
}

// release sends a call that may not be repeated until it is answered, or until its outcome is known to be unknown.
func (w *workload) release(ctx context.Context, req *Request, rng *rand.Rand) {
	for range maxDeliveries {
		addr := w.run.daemon(rng)
		client := w.run.dep.NewClient(addr, local.SampleKey)
		a, err := client.Call(ctx, http.MethodPost, "/v1/services/"+local.SamplePlain+"/release", []byte(req.Key), map[string]string{identify.HeaderIdempotencyKey: req.Key})
		client.HTTP.CloseIdleConnections()
		d := delivery(addr, a, err)
		if d.Complete && d.Status == http.StatusOK {
			d.Billing = req.Key
		}
		req.Deliveries = append(req.Deliveries, d)
		done := d.Complete && (d.Status == http.StatusOK || d.Code == claimUnknown)
		if done || !sleep(ctx, deliveryPause) {
			return
		}
	}
}

// Result codes of calls that ran, or may have run, before.
const (
	claimRunning = "303"
	claimUnknown = "304"
)

func sleep(ctx context.Context, d time.Duration) bool { return pause.For(ctx, d) == nil }
