package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// RoutedAnswer is an endpoint's answer to a routed request. The caller must close it.
type RoutedAnswer struct {
	*engine.RoutedResponse
	Endpoint string
	Release  string
	Model    string // name under which the request is counted, see pool.CountedModel

	exchange    *Exchange
	reservation pool.Reservation
	cancel      context.CancelCauseFunc
	err         error
	closed      bool
	survival    survival
}

// IsFailure reports whether the answer reports a failure of the endpoint itself.
func (a *RoutedAnswer) IsFailure() bool { return isFailure(a.Status) }

// isFailure reports whether a status is that of a failed endpoint. A refusal counts as one if the endpoint does not state that it has not run the
// request: such a statement is an error of the attempt, and no answer.
func isFailure(status int) bool { return status >= 500 || result.PromisesNotRun(status) }

// Retry closes an answer that reports a failure of the endpoint itself if another endpoint may be tried, and reports
// whether that is so. The caller then calls Exchange.Do again.
func (a *RoutedAnswer) Retry() bool {
	x := a.exchange
	if !x.in.Route.MayRepeat() || x.attempts+1 >= x.in.Route.Attempts || !x.budget.canWithdraw(x.filter.spec.Now()) {
		return false
	}
	if x.checkAdmission(true) != nil { // this answer is the final one
		return false
	}
	x.admission.decided = true
	a.CountRun()
	x.exclude = append(x.exclude, a.Endpoint)
	a.err = engine.ErrFailed
	a.Close()
	return true
}

// CountRun records that the endpoint ran the request: the answer counts as an attempt whether the caller gets it or a
// cascade drops it.
func (a *RoutedAnswer) CountRun() {
	a.exchange.attempts++
	a.exchange.ran = result.DidRun
}

// Fail closes an answer that ended early with err, and excludes its endpoint from further attempts.
func (a *RoutedAnswer) Fail(err error) {
	a.err = err
	x := a.exchange
	x.recordCrash(&a.reservation, err)
	if !slices.Contains(x.exclude, a.Endpoint) {
		x.exclude = append(x.exclude, a.Endpoint)
	}
	a.Close()
}

// Close closes the answer's body and releases the reservation. Further calls do nothing.
func (a *RoutedAnswer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	_ = a.Body.Close() // the body reports its errors when it is read
	a.cancel(nil)
	a.reservation.Release(routedOutcome(a.err, a.Status), a.exchange.filter.spec.Now())
}

// unframedBody is a body that ends with its connection. If its endpoint has crashed, the end is an error.
type unframedBody struct {
	io.ReadCloser
	isDown func() bool
	end    error // nil before the end
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end = err
	}
	if err == io.EOF && b.isDown() {
		b.end = io.ErrUnexpectedEOF
	}
	return n, b.end
}

// unreachableOutcome returns the outcome of an attempt without a connection. It distinguishes an endpoint whose host
// refuses connections from one that does not respond, whose failure domain may be unreachable.
func unreachableOutcome(err error) pool.Outcome {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return pool.ConnectTimedOut
	}
	return pool.ConnectionFailed
}

// routedOutcome returns the outcome that the pool records for a routed attempt that ended with an error or an HTTP
// status.
func routedOutcome(err error, status int) pool.Outcome {
	switch {
	case errors.Is(err, engine.ErrFailed) || err == nil && isFailure(status):
		return pool.EndpointError
	case err == nil:
		return pool.Succeeded
	case errors.Is(err, errCancelled):
		return pool.Cancelled
	case errors.Is(err, engine.ErrStalled):
		return pool.Stalled
	default:
		return pool.Incomplete
	}
}

// MarkCancelled records, before Close, that the answer is no longer needed because its caller has left or a cascade
// drops it. Its end then says nothing about the endpoint.
func (a *RoutedAnswer) MarkCancelled() { a.err = errCancelled }
