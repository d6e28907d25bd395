package local

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/bramleytrail/bramleytrail/identify"
)

// Guards against callers that are told that a call did not run because its endpoint, which ran it, said so.
func TestPlainEndpointsRefusalIsNotTrusted(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, p := range d.PlainEndpoints {
			p.FailWith(status)
		}
		header := map[string]string{identify.HeaderIdempotencyKey: strconv.Itoa(status)}
		for i, ran := range []string{"unknown", "yes"} { // the second daemon replays the recorded answer
			a, err := sampleClient(d, i).Call(ctx, http.MethodPost, "/v1/services/lots/release", nil, header)
			expectResponse(t, a, err, status, ran)
			expectClaimState(ctx, t, d, i, header[identify.HeaderIdempotencyKey], "done")
		}
		a, err := sampleClient(d, 0).Call(ctx, http.MethodGet, "/v1/services/lots/release", nil, nil)
		expectResponse(t, a, err, status, "unknown")
	}
}
