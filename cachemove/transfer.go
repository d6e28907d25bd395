package cachemove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// errOversized means that an export is larger than Limits.MaxBytes.
var errOversized = errors.New("exported cache exceeds the size limit")

// transfer is one move in progress.
type transfer struct {
	client    engine.Client
	source    string // address
	target    string // address
	cacheName string
	maxBytes  int64 // bytes
	now       func() time.Time

	size       int64 // stated by the source, -1 if it is not known
	boot       string
	bytesRead  atomic.Int64 // bytes
	lastByteAt atomic.Int64 // Unix time in nanoseconds of the newest byte; of the start until one arrives
	exportErr  atomic.Pointer[error]
}

// reader returns a reader of the source's data that counts it, enforces the size limit and keeps read errors. The HTTP
// client that sends the data may still read when the import has ended, so the counters are atomic.
func (t *transfer) reader(body io.Reader) io.Reader {
	return readerFunc(func(p []byte) (int, error) {
		n, err := body.Read(p)
		if n > 0 {
			t.lastByteAt.Store(t.now().UnixNano())
		}
		if t.bytesRead.Add(int64(n)) > t.maxBytes {
			err = errOversized
		}
		if err != nil && err != io.EOF {
			t.exportErr.Store(&err)
		}
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// run streams the cache from the source to the target. The error is nil if the outcome is Moved.
func (t *transfer) run(ctx context.Context) (Outcome, error) {
	t.size = -1
	t.lastByteAt.Store(t.now().UnixNano())
	x, err := t.client.ExportCache(ctx, t.source, t.cacheName)
	if err != nil {
		return t.classify(ctx, &err, nil)
	}
	defer x.Body.Close()
	t.size = x.Size
	if x.Size > t.maxBytes {
		return Oversized, fmt.Errorf("%w: %d bytes, limit %d", errOversized, x.Size, t.maxBytes)
	}
	boot, err := t.client.ImportCache(ctx, t.target, t.cacheName, t.reader(x.Body), x.Size)
	t.boot = boot
	return t.classify(ctx, t.exportErr.Load(), err)
}

// classify returns the outcome of a move that ended with the given errors of the export and the import.
func (t *transfer) classify(ctx context.Context, exportErr *error, importErr error) (Outcome, error) {
	switch {
	case exportErr == nil && importErr == nil:
		return Moved, nil
	case errors.Is(context.Cause(ctx), errTimeLimit):
		return TimedOut, errTimeLimit
	case ctx.Err() != nil:
		return Cancelled, ctx.Err()
	case exportErr == nil:
		return ImportFailed, importErr
	case errors.Is(*exportErr, errOversized):
		return Oversized, *exportErr
	case errors.Is(*exportErr, engine.ErrUnknownStream):
		return CacheGone, *exportErr
	default:
		return ExportFailed, *exportErr
	}
}

// errTimeLimit is the cause with which the context of a move ends at its time limit.
var errTimeLimit = errors.New("cache move exceeded its time limit")
