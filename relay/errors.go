package relay

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/bramleytrail/bramleytrail/result"
)

// Response headers.
const (
	HeaderRequestID = "Bramley-Request-Id"
	HeaderVersion   = "Bramley-Version"
	HeaderCode      = "Bramley-Code"
	HeaderRan       = "Bramley-Ran"
	HeaderClaim     = "Bramley-Claim" // path at which any daemon returns the outcome of a non-repeatable call
)

// ClaimPrefix is the path under which callers read the outcomes of non-repeatable calls. Service and key follow.
const ClaimPrefix = "/v1/claims/"

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// ErrorBody returns e as JSON in the format of the chat completions protocol.
func ErrorBody(e *result.Error) []byte {
	data, err := json.Marshal(errorBody{errorDetail{Message: e.Message(), Type: e.Code.Info().Type, Code: e.Code.String()}})
	if err != nil { // can't happen: strings can always be encoded
		return []byte(`{"error":{}}`)
	}
	return data
}

// SetErrorHeaders sets the headers that describe e: its code, whether the request ran, and after how many seconds the caller
// may retry.
func SetErrorHeaders(h http.Header, e *result.Error) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	h.Set(HeaderRan, e.Ran.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}
