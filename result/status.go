package result

import "net/http"

// PromisesNotRun reports whether an HTTP status promises callers that their request has not run and never will, so that they may repeat even one that
// must run at most once. An endpoint's answer may have such a status although it ran the request.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
