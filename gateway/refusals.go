package gateway

import (
	"fmt"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/result"
)

// refusalLines and refusalBurst bound the log lines a second about requests and connections that are refused before the pipeline has them. A
// flood of clients brings about thousands.
const refusalLines, refusalBurst = 10, 50

// refusalLog writes the first log lines about refusals of each moment, with the number of those that were left out since the last one.
type refusalLog struct {
	log     *logrus.Entry
	limiter *rate.Limiter
	left    atomic.Int64
}

func newRefusalLog(log *logrus.Entry) *refusalLog {
	return &refusalLog{log: log, limiter: rate.NewLimiter(refusalLines, refusalBurst)}
}

func (l *refusalLog) write(f logrus.Fields, message string) {
	if !l.limiter.Allow() {
		l.left.Add(1)
		return
	}
	if n := l.left.Swap(0); n > 0 {
		f["left_out"] = n
	}
	l.log.WithFields(f).Info(message)
}

// recordRefusal logs a request that was refused before the pipeline had it. It has not run.
func (g *Gateway) recordRefusal(id string, e *result.Error) {
	g.refusals.write(logrus.Fields{"request": id, "code": int(e.Code), "ran": e.Ran.String(), "error": e.Error()}, "request refused")
}

// recordConnectionEnd counts and logs a connection that a limit on callers refused or closed.
func (g *Gateway) recordConnectionEnd(r intake.Reason) {
	g.spec.Metrics.Counter(fmt.Sprintf("bramley_caller_connections_ended_total{reason=%q}", string(r))).Inc()
	if r != intake.ReasonIdleTimeout {
		g.refusals.write(logrus.Fields{"reason": string(r)}, "connection of a caller ended")
	}
}
