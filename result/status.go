package result

import "net/http"

// PromisesNotRun reports whether an HTTP status promises callers that their request has not run and never will, so that they may send a request
// that must not run twice again. An endpoint's answer may have such a status after it ran the request.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
