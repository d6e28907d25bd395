package duty

import "errors"

// Errors of calls of the platform. After ErrSlow and ErrRefused the platform may have accepted the call; after the others it has not.
var (
	ErrThrottled   = errors.New("duty: platform refuses the rate of calls")
	ErrSlow        = errors.New("duty: no response of the platform within the time limit")
	ErrUnreachable = errors.New("duty: platform can't be reached")
	ErrRefused     = errors.New("duty: unexpected response of the platform")
	// ErrNotAllowed wraps the reason of Call.Check.
	ErrNotAllowed = errors.New("duty: holder may not call")
)

// Call identifies the holder that makes a call of the platform.
type Call struct {
	Holder string
	Token  uint64
	// Check is called directly before the call is written. The call is not made unless it returns an empty reason.
	Check func() Reason
}
