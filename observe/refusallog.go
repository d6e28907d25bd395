package observe

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/result"
)

// refusalLines and refusalBurst bound the log lines a second about requests and connections that are refused before the pipeline has them. A
// flood of clients brings about thousands.
const refusalLines, refusalBurst = 10, 50

// RefusalLog writes the first log lines about refusals of each moment, with the number of those that were left out since the last one. It is
// safe for concurrent use.
type RefusalLog struct {
	log     *logrus.Entry
	limiter *rate.Limiter
	left    atomic.Int64
}

// NewRefusalLog returns a log that writes to another one.
func NewRefusalLog(log *logrus.Entry) *RefusalLog {
	return &RefusalLog{log: log, limiter: rate.NewLimiter(refusalLines, refusalBurst)}
}

func (l *RefusalLog) write(f logrus.Fields, message string) {
	if !l.limiter.Allow() {
		l.left.Add(1)
		return
	}
	if n := l.left.Swap(0); n > 0 {
		f["left_out"] = n
	}
	l.log.WithFields(f).Info(message)
}

// Request logs a request that was refused before the pipeline had it. It has not run. id is empty if it has none yet.
func (l *RefusalLog) Request(id string, e *result.Error) {
	l.write(logrus.Fields{"request": id, "code": int(e.Code), "ran": e.Ran.String(), "error": e.Error()}, "request refused")
}

// Connection logs a connection that a limit refused or closed; of says whose it was.
func (l *RefusalLog) Connection(of, reason string) {
	l.write(logrus.Fields{"reason": reason}, "connection of a "+of+" ended")
}
