package observe

import (
	"io"
	"sync"
	"sync/atomic"
)

// logLines is the number of log lines that wait for a reader; at 1 KB each they hold 1 MB.
const logLines = 1024

// LogWriter writes log lines without ever making the caller wait: lines that find the queue full are dropped and counted.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewLogWriter returns a writer to out. Close ends it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

func (w *LogWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // nobody is left to tell of a log that can't be written
	}
}

// Close writes the lines that wait. Nothing may be written afterwards. A reader that has stopped keeps it waiting, so that
// callers bound the wait themselves.
func (w *LogWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
