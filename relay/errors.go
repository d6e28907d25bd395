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
	HeaderClaim     = "Bramley-Claim" // path of the outcome of a non-repeatable call, valid at every daemon
)

// ClaimPrefix is the path under which outcomes of non-repeatable calls are read, followed by service and key.
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

// ErrorBody returns the JSON error in the form that clients of the chat completions protocol expect.
func ErrorBody(e *result.Error) []byte {
	data, err := json.Marshal(errorBody{errorDetail{Message: e.Message(), Type: e.Code.Info().Type, Code: e.Code.String()}})
	if err != nil { // strings always encode
		return []byte(`{"error":{}}`)
	}
	return data
}

// ErrorHeader adds the headers that describe e: its code, whether the request ran and when to retry.
func ErrorHeader(h http.Header, e *result.Error) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	h.Set(HeaderRan, e.Ran.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}
