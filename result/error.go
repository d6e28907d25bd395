package result

import (
	"errors"
	"fmt"
	"time"
)

// Ran says whether a failed request ran at an endpoint.
type Ran int

// Values of Ran. NotRun is reported only when no endpoint received the request.
const (
	NotRun Ran = iota
	RunUnknown
	RunDone
)

// String returns the value of the Bramley-Ran header.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "no"
	case RunDone:
		return "yes"
	default:
		return "unknown"
	}
}

// Error is a failed request or operation.
type Error struct {
	Code       Code
	Ran        Ran
	RetryAfter time.Duration // 0 if a retry is not advised
	Detail     string
	Err        error // cause, or nil
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

// Message is the text sent to the caller. It leaves out the cause, which may name internal addresses.
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

// Wrap returns an error with a cause.
func Wrap(code Code, ran Ran, err error) *Error {
	return &Error{Code: code, Ran: ran, Err: err}
}

// WithRetry returns e with the time after which the caller may retry.
func (e *Error) WithRetry(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// From returns err as *Error. Errors of other types become Internal with an unknown run state.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, RunUnknown, err)
}
