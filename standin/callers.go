package standin

import (
	"net/http"
	"strings"
	"sync"
)

// Calls counts calls by caller and by kind. The caller is the User-Agent header, the kind is the method and the first
// parts of the path, for example "GET /v1/watch".
type Calls struct {
	mu sync.Mutex
	by map[string]map[string]int
}

// NewCalls returns an empty count.
func NewCalls() *Calls { return &Calls{by: map[string]map[string]int{}} }

// Count counts the calls of a handler when they arrive.
func (c *Calls) Count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(r.UserAgent(), callKind(r))
		h.ServeHTTP(w, r)
	})
}

func (c *Calls) add(caller, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by[caller] == nil {
		c.by[caller] = map[string]int{}
	}
	c.by[caller][kind]++
}

// ByCaller returns a copy of the counts.
func (c *Calls) ByCaller() map[string]map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]map[string]int, len(c.by))
	for caller, kinds := range c.by {
		copied := make(map[string]int, len(kinds))
		for kind, n := range kinds {
			copied[kind] = n
		}
		out[caller] = copied
	}
	return out
}

// callKind leaves keys and lease numbers out of the kind, so that the number of kinds is bounded.
func callKind(r *http.Request) string {
	const parts = 3 // the empty one before the first slash, the protocol's version and the resource
	path := strings.SplitN(r.URL.Path, "/", parts+1)
	return r.Method + " " + strings.Join(path[:min(parts, len(path))], "/")
}
