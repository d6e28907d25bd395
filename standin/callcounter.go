package standin

import (
	"net/http"
	"strings"
	"sync"
)

// CallCounter counts HTTP requests by caller and by kind. The caller is the User-Agent header; the kind is the method and the
// first two segments of the path, for example "GET /v1/watch". It is safe for concurrent use.
type CallCounter struct {
	mu     sync.Mutex
	counts map[string]map[string]int
}

// NewCallCounter returns a counter that starts at zero.
func NewCallCounter() *CallCounter { return &CallCounter{counts: map[string]map[string]int{}} }

// Wrap returns a handler that counts each request on arrival and passes it on to h.
func (c *CallCounter) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(r.UserAgent(), callKind(r))
		h.ServeHTTP(w, r)
	})
}

func (c *CallCounter) add(caller, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[caller] == nil {
		c.counts[caller] = map[string]int{}
	}
	c.counts[caller][kind]++
}

// ByCaller returns a copy of the counts by caller, then by kind.
func (c *CallCounter) ByCaller() map[string]map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]map[string]int, len(c.counts))
	for caller, kinds := range c.counts {
		copied := make(map[string]int, len(kinds))
		for kind, n := range kinds {
			copied[kind] = n
		}
		out[caller] = copied
	}
	return out
}

// callKind returns the kind of a request. It omits keys and lease IDs, so that the number of kinds is bounded.
func callKind(r *http.Request) string {
	const parts = 3 // the empty one before the first slash, the API version and the resource
	path := strings.SplitN(r.URL.Path, "/", parts+1)
	return r.Method + " " + strings.Join(path[:min(parts, len(path))], "/")
}
