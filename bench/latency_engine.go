package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// The model of continuous batching. Each step gives one token to every request that has its first one, and processes up
// to chunkTokens tokens of the prompts that wait, in order of arrival. docs/benchmarks-latency.md describes it.
const (
	stepBase       = 20 * time.Millisecond
	stepPerRequest = 800 * time.Microsecond
	stepPerToken   = 60 * time.Microsecond // of a prompt
	chunkTokens    = 256
	// coldFactor is the ratio of a cold engine's step to that of a warm one.
	coldFactor = 2
	// reportDelay keeps the time-outs of load reports, and what is timed from them, apart from the ticks of the polls.
	reportDelay = 7777 * time.Nanosecond
)

// fleet is an engine.Client of engines in this process. Calls that package dispatch does not use panic.
type fleet struct {
	engine.Client
	engines map[string]*batchEngine
}

// batchEngine is one engine. Its steps are timers, so that it is idle without requests.
type batchEngine struct {
	mu        sync.Mutex
	id        string
	boots     int
	completed int64
	running   []*batchStream
	stepping  bool
	silent    bool
	lastSent  time.Time
	overloads int   // crashes of a cold engine by more requests than it bears
	served    int   // first tokens
	prefilled int64 // prompt tokens processed
	hits      int64 // prompt tokens found in the cache
	cache     prefixCache
}

// batchStream is one request at an engine.
type batchStream struct {
	e       *batchEngine
	ctx     context.Context
	id      string
	boot    string
	prefill int64 // prompt tokens that are left
	seq     int64
	last    int64
	events  chan engine.Event
	broken  chan struct{}
	stop    func() bool
	// order delays the end of a stream by a time of its own, so that streams which end together are handled in the same
	// order in each run.
	order time.Duration
}

func (e *batchEngine) boot() string { return fmt.Sprintf("%s/%d", e.id, e.boots) }

func (e *batchEngine) cold() bool { return e.completed < warmAfter }

// Stream implements engine.Client. The body of a request holds the number of its prompt tokens and of its answer's, and
// its session, or 0.
func (f *fleet) Stream(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	e := f.engines[addr]
	var prompt, answer int64
	var session uint64
	if _, err := fmt.Sscan(string(r.Body), &prompt, &answer, &session); err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	number, _, _ := strings.Cut(r.ID, "-") // of the request; the rest counts its calls
	order, err := strconv.Atoi(number)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	if e.isSilent() {
		<-ctx.Done()
		time.Sleep(time.Duration(order))
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(order)) // requests that got room at the same time
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastSent = time.Now()
	cached := min(e.cache.use(session, prompt), prompt-1)
	e.hits += cached
	s := &batchStream{e: e, ctx: ctx, id: r.ID, boot: e.boot(), prefill: prompt + r.PriorTokens - cached, seq: r.PriorTokens, last: answer,
		events: make(chan engine.Event, answer+1), broken: make(chan struct{}), order: time.Duration(order)}
	e.running = append(e.running, s)
	s.stop = context.AfterFunc(ctx, func() { e.remove(s.id) })
	if e.cold() && len(e.running) > coldSlots {
		e.overloads++
		e.restart()
		return nil, engine.ErrBroken
	}
	e.schedule()
	return s, nil
}

// Resume implements engine.Client. The engines keep no streams.
func (f *fleet) Resume(context.Context, string, string, int64) (engine.Stream, error) {
	return nil, engine.ErrUnknownStream
}

// Cancel implements engine.Client.
func (f *fleet) Cancel(ctx context.Context, addr, id string) error {
	e := f.engines[addr]
	if e.isSilent() {
		<-ctx.Done()
		return ctx.Err()
	}
	e.remove(id)
	return nil
}

// Load implements engine.Client.
func (f *fleet) Load(ctx context.Context, addr string) (engine.Load, error) {
	e := f.engines[addr]
	if e.isSilent() {
		<-ctx.Done()
		time.Sleep(reportDelay)
		return engine.Load{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{Boot: e.boot(), Running: len(e.running), Completed: e.completed}, nil
}

func (e *batchEngine) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

// setSilent makes the engine answer nothing, neither on established connections nor on new ones.
func (e *batchEngine) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
	e.schedule()
}

// becomeCold starts the engine anew without notice.
func (e *batchEngine) becomeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *batchEngine) restart() {
	for _, s := range e.running {
		s.stop()
		close(s.broken)
	}
	e.running, e.completed, e.cache = nil, 0, prefixCache{}
	e.boots++
}

func (e *batchEngine) remove(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(s *batchStream) bool { return s.id == id })
}

// schedule starts the next step if there is work.
func (e *batchEngine) schedule() {
	if e.stepping || e.silent || len(e.running) == 0 {
		return
	}
	e.stepping = true
	work := stepBase
	room := int64(chunkTokens)
	var batch []*batchStream
	for _, s := range e.running {
		switch {
		case s.prefill == 0:
			work += stepPerRequest
			batch = append(batch, s)
		case room > 0:
			n := min(room, s.prefill)
			room -= n
			s.prefill -= n
			e.prefilled += n
			work += time.Duration(n) * stepPerToken
			if s.prefill == 0 {
				batch = append(batch, s)
			}
		}
	}
	if e.cold() {
		work *= coldFactor
	}
	time.AfterFunc(work, func() { e.finish(batch) })
}

// finish ends a step: each request of the batch gets one token.
func (e *batchEngine) finish(batch []*batchStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepping = false
	for _, s := range batch {
		if !slices.Contains(e.running, s) {
			continue
		}
		s.seq++
		ev := engine.Event{Seq: s.seq}
		if s.seq == 1 {
			e.served++
		}
		if s.seq >= s.last {
			ev.FinishReason = "stop"
			s.stop()
			e.completed++
			e.running = slices.DeleteFunc(e.running, func(o *batchStream) bool { return o == s })
		}
		s.events <- ev
		if ev.FinishReason != "" {
			close(s.events)
		}
	}
	e.schedule()
}

// Next implements engine.Stream.
func (s *batchStream) Next() (engine.Event, error) {
	select {
	case ev, ok := <-s.events:
		if !ok {
			return engine.Event{}, io.EOF
		}
		if ev.Seq == 1 || ev.FinishReason != "" {
			time.Sleep(s.order)
		}
		return ev, nil
	case <-s.broken:
		time.Sleep(s.order)
		return engine.Event{}, engine.ErrBroken
	case <-s.ctx.Done():
		time.Sleep(s.order)
		return engine.Event{}, s.ctx.Err()
	}
}

// Boot implements engine.Stream.
func (s *batchStream) Boot() string { return s.boot }

// Close implements engine.Stream.
func (s *batchStream) Close() error {
	s.stop()
	s.e.remove(s.id)
	return nil
}
