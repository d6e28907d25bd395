package pipeline

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	bytesPerToken    = 4    // estimate for prompts
	defaultMaxTokens = 1024 // limit of an answer if the request states none
	maxMessages      = 4096
	maxDepth         = 64 // nested JSON values
)

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	Path   string // for plain services: path and query at the endpoint
	Header http.Header
	Body   []byte
	// Meta describes a request of a route; nil for other requests.
	Meta *Metadata

	parsed   bool // chat and parseErr are set
	chat     chat
	parseErr error
	claim    string // path under which the outcome of a claimed call can be read; empty without a claim
}

// claimed notes that the call is claimed under a service and an idempotency key.
func (r *Request) claimed(service, key string) {
	r.claim = relay.ClaimPrefix + service + "/" + url.PathEscape(key)
}

// contentHash identifies the content of the request.
func (r *Request) contentHash() uint64 { return claim.RequestHash(r.Method, r.Path, r.Body) }

// answerHeader returns the headers that every answer to the request carries.
func (r *Request) answerHeader() http.Header {
	h := http.Header{}
	h.Set(relay.HeaderRequestID, r.ID)
	if r.claim != "" {
		h.Set(relay.HeaderClaim, r.claim)
	}
	return h
}

// chat holds the fields of a chat completion request that the router reads. The others are passed on as they are.
type chat struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int64             `json:"max_tokens"`
}

// WantsStream reports whether a chat completion request asks for a streamed answer. A body that can't be parsed does
// not.
func (r *Request) WantsStream() bool {
	c, _ := r.parse() // the pipeline reports the error
	return c.Stream
}

// parse parses the body of a chat completion request once.
func (r *Request) parse() (chat, error) {
	if !r.parsed {
		r.chat, r.parseErr = parseChat(r.Body)
		r.parsed = true
	}
	return r.chat, r.parseErr
}

func parseChat(body []byte) (chat, error) {
	var c chat
	if tooDeep(body) {
		return c, result.Newf(result.BadRequest, "The body has more than %d nested values.", maxDepth)
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, result.Newf(result.BadRequest, "The body is not a JSON object of a chat completion request.")
	}
	if len(c.Messages) == 0 || len(c.Messages) > maxMessages {
		return c, result.Newf(result.BadRequest, "The field messages needs 1 to %d entries.", maxMessages)
	}
	if c.MaxTokens < 0 {
		return c, result.Newf(result.BadRequest, "The field max_tokens is negative.")
	}
	if c.Model == "" {
		c.Model = choose.AutoModel
	}
	return c, nil
}

// tooDeep reports whether JSON values are nested more than maxDepth deep. It looks at brackets outside of strings only,
// so that it costs one pass over the body.
func tooDeep(body []byte) bool {
	depth := 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			if depth++; depth > maxDepth {
				return true
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return false
}

// prefix returns the hash of the beginning of the prompt that the later turns of a conversation keep: all messages up to
// the caller's first one.
func (c *chat) prefix() uint64 {
	d := xxhash.New()
	for _, m := range c.Messages {
		_, _ = d.Write(m) // never fails
		var head struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(m, &head); err != nil || head.Role != "system" && head.Role != "developer" {
			break
		}
	}
	return d.Sum64()
}

// limitTokens returns the estimated prompt tokens and the limit of the answer, both within the team's limit.
func limitTokens(c chat, body []byte, t *object.Team) (prompt, answer int64, err error) {
	prompt = int64(len(body)) / bytesPerToken
	room := t.Limits.MaxTokens - prompt
	if room <= 0 {
		return 0, 0, result.Newf(result.BadRequest, "The prompt has about %d tokens, the team's limit is %d.", prompt, t.Limits.MaxTokens)
	}
	answer = c.MaxTokens
	if answer == 0 {
		answer = defaultMaxTokens
	}
	return prompt, min(answer, room), nil
}
