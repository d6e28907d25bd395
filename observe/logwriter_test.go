package observe

import (
	"strings"
	"sync"
	"testing"
)

// stoppedReader takes no line until it is released.
type stoppedReader struct {
	release chan struct{}
	mu      sync.Mutex
	lines   int
}

func (r *stoppedReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines += strings.Count(string(p), "\n")
	return len(p), nil
}

// Guards against a process that waits for the reader of its log, and a log that grows without bound meanwhile.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &stoppedReader{release: make(chan struct{})}
	w := NewLogWriter(out)
	const written = 5 * logLines
	for range written {
		if _, err := w.Write([]byte("line\n")); err != nil { // the test hangs if this waits
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped < written-logLines-1 {
		t.Errorf("%d of %d lines dropped, %d are kept", dropped, written, logLines)
	}
	close(out.release)
	w.Close()
	if int64(out.lines) != written-dropped {
		t.Errorf("%d lines written, %d were kept", out.lines, written-dropped)
	}
}
