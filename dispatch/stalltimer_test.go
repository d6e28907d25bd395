package dispatch

import (
	"runtime"
	"testing"
	"time"
	"weak"
)

// Guards against a stopped timer that holds a request's body until the time at which it would have fired.
func TestStoppedTimerReleasesRequest(t *testing.T) {
	x := &Exchange{}
	x.in.Request.Body = make([]byte, 1<<20)
	body := weak.Make(&x.in.Request.Body[0])
	timer := &StallTimer{exchange: x, hasAlternative: func() bool { return len(x.in.Request.Body) > 0 }, cancel: func(error) { x.attempts++ }}
	timer.timer = time.AfterFunc(time.Hour, timer.check)
	x = nil
	timer.Stop()
	runtime.GC()
	if body.Value() != nil {
		t.Error("the body is still referenced")
	}
	timer.Progress() // after the end of the attempt
	timer.check()
	runtime.KeepAlive(timer)
}
