package result

import (
	"errors"
	"fmt"
	"strings"
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

// maxQuoted is the length in bytes up to which a detail quotes a text. Callers choose texts such as names of models; details are sent,
// logged and kept for operators.
const maxQuoted = 128

// Newf returns an error with a formatted detail for a request that did not run. It shortens long texts among the arguments.
func Newf(code Code, format string, args ...any) *Error {
	for i, a := range args {
		if text, ok := a.(string); ok {
			args[i] = Shorten(text)
		}
	}
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Shorten returns a text as it may be quoted in errors and log lines: its beginning and its length if it is long. The result shares no
// memory with a long text.
func Shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxQuoted], "?"), len(text))
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
