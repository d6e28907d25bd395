package observe

import (
	"strings"
	"sync"
	"testing"
)

// blockedWriter accepts no line until unblock is closed, like a pipe whose reader has stopped.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	lines   int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines += strings.Count(string(p), "\n")
	return len(p), nil
}

// Guards against a process that blocks when the reader of its log stops, and against a log queue that grows without
// bound meanwhile.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewLogWriter(out)
	const written = 5 * maxQueuedLines
	for range written {
		if _, err := w.Write([]byte("line\n")); err != nil { // the test hangs if this waits
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped < written-maxQueuedLines-1 {
		t.Errorf("%d of %d lines dropped; want all but the %d queued and one being written", dropped, written, maxQueuedLines)
	}
	close(out.unblock)
	w.Close()
	if int64(out.lines) != written-dropped {
		t.Errorf("%d lines written, want the %d that were not dropped", out.lines, written-dropped)
	}
}
