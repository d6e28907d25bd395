package observe

import (
	"context"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Store wraps a kv.Store and counts its calls.
type Store struct {
	kv.Store
	Metrics *Metrics
}

func (s Store) observe(call string, start time.Time, err error) {
	s.Metrics.Store(call, time.Since(start), err)
}

// Get implements kv.Store.
func (s Store) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	defer func(t time.Time) { s.observe("get", t, err) }(time.Now())
	return s.Store.Get(ctx, key)
}

// GetStale implements kv.StaleReader. A store that is none reads as Get does.
func (s Store) GetStale(ctx context.Context, key string) (e kv.Entry, err error) {
	r, ok := s.Store.(kv.StaleReader)
	if !ok {
		return s.Get(ctx, key)
	}
	defer func(t time.Time) { s.observe("get_stale", t, err) }(time.Now())
	return r.GetStale(ctx, key)
}

// CAS implements kv.Store.
func (s Store) CAS(ctx context.Context, key string, value []byte, prev uint64, lease kv.LeaseID) (rev uint64, err error) {
	defer func(t time.Time) { s.observe("cas", t, err) }(time.Now())
	return s.Store.CAS(ctx, key, value, prev, lease)
}

// Delete implements kv.Store.
func (s Store) Delete(ctx context.Context, key string, prev uint64) (err error) {
	defer func(t time.Time) { s.observe("delete", t, err) }(time.Now())
	return s.Store.Delete(ctx, key, prev)
}

// List implements kv.Store.
func (s Store) List(ctx context.Context, r kv.Range) (out kv.Page, err error) {
	defer func(t time.Time) { s.observe("list", t, err) }(time.Now())
	return s.Store.List(ctx, r)
}

// Watch implements kv.Store.
func (s Store) Watch(ctx context.Context, prefix string, after uint64) (c kv.Changes, err error) {
	defer func(t time.Time) { s.watched(ctx, t, err) }(time.Now())
	return s.Store.Watch(ctx, prefix, after)
}

// WatchFor implements kv.Waiter. A store that is none decides itself how long it waits.
func (s Store) WatchFor(ctx context.Context, prefix string, after uint64, wait time.Duration) (c kv.Changes, err error) {
	w, ok := s.Store.(kv.Waiter)
	if !ok {
		return s.Watch(ctx, prefix, after)
	}
	defer func(t time.Time) { s.watched(ctx, t, err) }(time.Now())
	return w.WatchFor(ctx, prefix, after, wait)
}

// watched counts a watch. One that its watcher has ended did not fail: that is how a watch without a change ends.
func (s Store) watched(ctx context.Context, start time.Time, err error) {
	if ctx.Err() != nil {
		err = nil
	}
	s.observe("watch", start, err)
}
