package observe

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines and maxQueuedBytes bound the log lines that wait to be written. Most lines have less than 1 KB.
const maxQueuedLines, maxQueuedBytes = 1024, 1 << 20

// LogWriter writes log lines in the background, so that callers never wait for the reader of the log. Lines that arrive
// while the queue is full are dropped and counted. It is safe for concurrent use.
type LogWriter struct {
	out       io.Writer
	lines     chan []byte
	queued    atomic.Int64 // bytes of the lines that wait
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewLogWriter returns a writer to out and starts its goroutine, which Close ends.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.writeQueued()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	if size := int64(len(line)); w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-int64(len(line)))
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// writeQueued writes lines until Close closes the queue.
func (w *LogWriter) writeQueued() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // a failure to write the log can't be reported anywhere
		w.queued.Add(-int64(len(line)))
	}
}

// Close writes the queued lines and stops the writer. Write must not be called afterwards. Close blocks as long as the
// output does, so callers limit the wait themselves.
func (w *LogWriter) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}
