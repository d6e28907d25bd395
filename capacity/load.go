package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	concurrentCallers = 8   // callers that send the chat requests of a measurement
	requestsPerPoint  = 400 // in one measured point
	warmUpRequests    = 100 // before the first measured point
)

// sendChats sends n streaming chat requests to m from concurrent callers and reads the answers. It returns the first error
// of each caller, joined.
func sendChats(ctx context.Context, m *member, n, concurrent int) error {
	work := make(chan int)
	errs := make([]error, concurrent)
	var wg sync.WaitGroup
	for c := range concurrent {
		wg.Go(func() {
			client := local.NewClient(m.callerAddr, callerKey)
			defer client.HTTP.CloseIdleConnections()
			for i := range work {
				a, err := client.Chat(ctx, local.ChatBody("auto", fmt.Sprintf("prompt %d", i), true), nil)
				if err == nil && a.Status != http.StatusOK {
					err = fmt.Errorf("chat request: status %d: %s", a.Status, a.Text)
				}
				if err != nil && errs[c] == nil {
					errs[c] = err
				}
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	wg.Wait()
	return errors.Join(errs...)
}

// settledFleet starts a fleet and waits for settleTime.
func (r *runner) settledFleet(ctx context.Context, spec fleetSpec) (*fleet, error) {
	f, err := startFleet(ctx, r.binaries, spec)
	if err != nil {
		return nil, err
	}
	if err := pause.For(ctx, settleTime); err != nil {
		f.abort()
		return nil, err
	}
	return f, nil
}

// measureData measures the processor time of a request as a function of the number of tokens in its answer.
func (r *runner) measureData(ctx context.Context) error {
	f, err := r.settledFleet(ctx, fleetSpec{Daemons: 5, Endpoints: 30, Versions: 2, Teams: 1})
	if err != nil {
		return err
	}
	defer f.abort()
	m := f.members[0]
	if err := sendChats(ctx, m, warmUpRequests, concurrentCallers); err != nil {
		return err
	}
	for _, tokens := range []int64{1, 64, 128, 256} {
		if err := f.setTiming(ctx, tokens, 0); err != nil {
			return err
		}
		before, err := m.processorTime()
		if err != nil {
			return err
		}
		if err := sendChats(ctx, m, requestsPerPoint, concurrentCallers); err != nil {
			return err
		}
		after, err := m.processorTime()
		if err != nil {
			return err
		}
		perRequest := (after - before).Seconds() * 1e6 / requestsPerPoint
		r.addPoint("data path, processor time of a request", "tokens of its answer", "µs", float64(tokens), perRequest)
	}
	return f.stop()
}

// measureStreams measures memory as a function of the number of streams in flight.
func (r *runner) measureStreams(ctx context.Context) error {
	f, err := r.settledFleet(ctx, fleetSpec{Daemons: 1, Endpoints: 40, Versions: 2, Teams: 1})
	if err != nil {
		return err
	}
	defer f.abort()
	m := f.members[0]
	if err := sendChats(ctx, m, warmUpRequests, concurrentCallers); err != nil {
		return err
	}
	const delay = 500 * time.Millisecond
	if err := f.setTiming(ctx, 10_000, delay); err != nil {
		return err
	}
	streams, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	running := 0
	for _, n := range []int{50, 100, 200, 400} {
		for ; running < n; running++ {
			wg.Go(func() { _ = sendChats(streams, m, 1, 1) }) // returns an error when streams is cancelled
		}
		wait, stop := context.WithTimeout(ctx, readyTimeout)
		err := local.Wait(wait, func() bool {
			values, err := readMetrics(ctx, m.operatorAddr)
			return err == nil && values["bramley_requests_in_flight"] == float64(n)
		})
		stop()
		if err != nil {
			return err
		}
		if err := pause.For(ctx, 2*delay); err != nil { // until each stream has sent a token
			return err
		}
		if err := r.addMemoryPoints(ctx, f, f.members, "streams,", "streams in flight", float64(n)); err != nil {
			return err
		}
	}
	cancel()
	wg.Wait()
	return f.stop()
}
