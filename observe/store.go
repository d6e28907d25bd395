package observe

import (
	"context"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// InstrumentedStore wraps a kv.Store and records the outcome and latency of each call.
type InstrumentedStore struct {
	kv.Store
	Metrics *Metrics
}

func (s InstrumentedStore) record(call string, start time.Time, err error) {
	s.Metrics.RecordStoreCall(call, time.Since(start), err)
}

// Get implements kv.Store.
func (s InstrumentedStore) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	defer func(t time.Time) { s.record("get", t, err) }(time.Now())
	return s.Store.Get(ctx, key)
}

// CAS implements kv.Store.
func (s InstrumentedStore) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (rev kv.Revision, err error) {
	defer func(t time.Time) { s.record("cas", t, err) }(time.Now())
	return s.Store.CAS(ctx, key, value, prev, lease)
}

// CASIf implements kv.ConditionalWriter. If the wrapped store does not, the condition is not checked.
func (s InstrumentedStore) CASIf(ctx context.Context, c kv.Condition, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (rev kv.Revision, err error) {
	w, ok := s.Store.(kv.ConditionalWriter)
	if !ok {
		return s.CAS(ctx, key, value, prev, lease)
	}
	defer func(t time.Time) { s.record("cas", t, err) }(time.Now())
	return w.CASIf(ctx, c, key, value, prev, lease)
}

// Delete implements kv.Store.
func (s InstrumentedStore) Delete(ctx context.Context, key string, prev kv.Revision) (err error) {
	defer func(t time.Time) { s.record("delete", t, err) }(time.Now())
	return s.Store.Delete(ctx, key, prev)
}

// List implements kv.Store.
func (s InstrumentedStore) List(ctx context.Context, r kv.Range) (out kv.Page, err error) {
	defer func(t time.Time) { s.record("list", t, err) }(time.Now())
	return s.Store.List(ctx, r)
}

// Watch implements kv.Store.
func (s InstrumentedStore) Watch(ctx context.Context, prefix string, after kv.Revision) (c kv.Changes, err error) {
	defer func(t time.Time) { s.recordWatch(ctx, t, err) }(time.Now())
	return s.Store.Watch(ctx, prefix, after)
}

// WatchFor implements kv.TimedWatcher. If the wrapped store does not, the store itself decides how long a watch waits.
func (s InstrumentedStore) WatchFor(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (c kv.Changes, err error) {
	w, ok := s.Store.(kv.TimedWatcher)
	if !ok {
		return s.Watch(ctx, prefix, after)
	}
	defer func(t time.Time) { s.recordWatch(ctx, t, err) }(time.Now())
	return w.WatchFor(ctx, prefix, after, wait)
}

// recordWatch records a watch. One that ended because its caller cancelled ctx counts as ok, since a watch without a
// change ends in this way.
func (s InstrumentedStore) recordWatch(ctx context.Context, start time.Time, err error) {
	if ctx.Err() != nil {
		err = nil
	}
	s.record("watch", start, err)
}

// Era implements kv.EraReporter. It is 0 if the wrapped store does not.
func (s InstrumentedStore) Era() uint64 {
	if r, ok := s.Store.(kv.EraReporter); ok {
		return r.Era()
	}
	return 0
}
