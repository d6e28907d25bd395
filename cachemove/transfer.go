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

// errOversized says that an export is larger than the bound.
var errOversized = errors.New("export larger than the bound")

// transfer is one move in progress.
type transfer struct {
	client engine.Client
	source string // address
	target string // address
	name   string
	bound  int64 // bytes
	now    func() time.Time

	size   int64 // stated by the source, -1 if it is not known
	boot   string
	read   atomic.Int64 // bytes
	heard  atomic.Int64 // time of the newest byte, or of the begin
	failed atomic.Pointer[error]
}

// Read passes on the source's data and counts it. The client that sends it may still read when the import has ended.
func (t *transfer) reader(body io.Reader) io.Reader {
	return readerFunc(func(p []byte) (int, error) {
		n, err := body.Read(p)
		if n > 0 {
			t.heard.Store(t.now().UnixNano())
		}
		if t.read.Add(int64(n)) > t.bound {
			err = errOversized
		}
		if err != nil && err != io.EOF {
			t.failed.Store(&err)
		}
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// run streams the cache from the source to the target.
func (t *transfer) run(ctx context.Context) (Outcome, error) {
	t.size = -1
	t.heard.Store(t.now().UnixNano())
	x, err := t.client.ExportCache(ctx, t.source, t.name)
	if err != nil {
		return t.outcome(ctx, &err, nil)
	}
	defer x.Body.Close()
	t.size = x.Size
	if x.Size > t.bound {
		return Oversized, fmt.Errorf("%w: %d bytes", errOversized, x.Size)
	}
	boot, err := t.client.ImportCache(ctx, t.target, t.name, t.reader(x.Body), x.Size)
	t.boot = boot
	return t.outcome(ctx, t.failed.Load(), err)
}

// outcome classifies the end of a move by the errors of the export and the import.
func (t *transfer) outcome(ctx context.Context, export *error, imported error) (Outcome, error) {
	switch {
	case export == nil && imported == nil:
		return Moved, nil
	case errors.Is(context.Cause(ctx), errTimeLimit):
		return TimedOut, errTimeLimit
	case ctx.Err() != nil:
		return Cancelled, ctx.Err()
	case export == nil:
		return ImportFailed, imported
	case errors.Is(*export, errOversized):
		return Oversized, *export
	case errors.Is(*export, engine.ErrUnknownStream):
		return CacheGone, *export
	default:
		return ExportFailed, *export
	}
}

var errTimeLimit = errors.New("time limit of the move passed")
