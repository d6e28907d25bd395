package result

import (
	"errors"
	"fmt"
	"time"
)

// Ran says whether a failed request ran at an endpoint.
type Ran int

// Values of Ran. NotRun is reported only if no endpoint received the request.
const (
	NotRun Ran = iota
	RunUnknown
	DidRun
)

// String returns the value of the Bramley-Ran header.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "no"
	case DidRun:
		return "yes"
	default:
		return "unknown"
	}
}

// Error is the result of a failed request or operation.
type Error struct {
	Code       Code
	Ran        Ran
	RetryAfter time.Duration // time after which the caller may retry, 0 if a retry is not advised
	Detail     string        // sent to the caller after the text of the code; may be empty
	Err        error         // cause, not sent to the caller; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", int(e.Code), e.Code)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Message returns the text sent to the caller. It omits the cause, which may contain internal addresses.
func (e *Error) Message() string {
	if e.Detail == "" {
		return e.Code.Info().Text
	}
	return e.Code.Info().Text + " " + e.Detail
}

// Newf returns an error with a formatted detail for a request that did not run.
func Newf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a cause and without a detail.
func Wrap(code Code, ran Ran, err error) *Error {
	return &Error{Code: code, Ran: ran, Err: err}
}

// WithRetryAfter sets the time after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// From returns the *Error in the chain of err. Any other error is wrapped with the code Internal and RunUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, RunUnknown, err)
}
