package pipeline

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	bytesPerToken    = 4    // to estimate the tokens of a prompt from the size of the body
	defaultMaxTokens = 1024 // limit of an answer if the request states none
	maxMessages      = 4096
	maxFields        = 1024 // of the body's object; the protocol has some forty
	maxJSONDepth     = 64   // nested JSON values
)

// ChatCopies is the number of bodies that a chat completion request uses while it is served: the caller's, its messages twice while they are
// decoded, the fields of the object, and the body for an endpoint with the router's fields.
const ChatCopies = 5

// Request is a caller's request. It must be passed to the pipeline only once, and is not safe for concurrent use.
type Request struct {
	ID     string // random and unique; for requests of routes, the ID that the caller gave
	Method string
	Path   string // path and query; those at the endpoint for plain services
	Header http.Header
	Body   []byte
	// Answer counts what is held of the answer; nil if memory is not counted.
	Answer *intake.Allowance
	// Meta describes a request of a route; nil for other requests.
	Meta *Metadata
	// Denied says that Denies returned true, and that Body was not kept.
	Denied bool

	parsed    bool // chat and parseErr are set
	chat      chat
	parseErr  error
	claimPath string // path at which callers can read the outcome of the claimed call; empty without a claim
}

// setClaim records that the call is claimed for a service under the caller's idempotency key.
func (r *Request) setClaim(service, key string) {
	r.claimPath = relay.ClaimPrefix + service + "/" + url.PathEscape(key)
}

// contentHash returns a hash of the method, path and body. Deliveries of the same request have the same hash.
func (r *Request) contentHash() uint64 { return claim.RequestHash(r.Method, r.Path, r.Body) }

// answerHeader returns the headers of the router that every answer to the request carries. The caller owns the result.
func (r *Request) answerHeader() http.Header {
	h := http.Header{}
	h.Set(relay.HeaderRequestID, r.ID)
	if r.claimPath != "" {
		h.Set(relay.HeaderClaim, r.claimPath)
	}
	return h
}

// chat holds the fields of a chat completion request that the router reads. Other fields are forwarded unchanged.
type chat struct {
	Model     string
	Messages  []json.RawMessage
	Stream    bool
	MaxTokens int64
}

// WantsStream reports whether a chat completion request asks for a streamed answer. It is false for a body that can't be
// parsed.
func (r *Request) WantsStream() bool {
	c, _ := r.parse() // Pipeline.Chat reports the error
	return c.Stream
}

// parse parses and checks the body of a chat completion request, and caches the result.
func (r *Request) parse() (chat, error) {
	if !r.parsed {
		r.chat, r.parseErr = parseChat(r.Body)
		r.parsed = true
	}
	return r.chat, r.parseErr
}

// parseChat parses and checks the body of a chat completion request. Errors have the code result.BadRequest.
func parseChat(body []byte) (chat, error) {
	var c chat
	switch depth, fields := measureJSON(body); {
	case depth > maxJSONDepth:
		return c, result.Newf(result.BadRequest, "The body has more than %d nested values.", maxJSONDepth)
	case fields > maxFields:
		return c, result.Newf(result.BadRequest, "The body has more than %d fields.", maxFields)
	}
	var fields struct {
		Model     string          `json:"model"`
		Messages  json.RawMessage `json:"messages"`
		Stream    bool            `json:"stream"`
		MaxTokens int64           `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, result.Newf(result.BadRequest, notChatDetail)
	}
	c = chat{Model: fields.Model, Stream: fields.Stream, MaxTokens: fields.MaxTokens}
	if _, count := measureJSON(fields.Messages); len(fields.Messages) > 0 && count <= maxMessages {
		if err := json.Unmarshal(fields.Messages, &c.Messages); err != nil {
			return c, result.Newf(result.BadRequest, notChatDetail)
		}
	}
	if len(c.Messages) == 0 {
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

// notChatDetail tells a caller that its body can't be decoded.
const notChatDetail = "The body is not a JSON object of a chat completion request."

// measureJSON returns how deep the values of an object or array are nested, and the number of its fields or elements; 1 for an empty one. It
// counts brackets and commas outside of strings, in one pass without decoding, which would take many times the size of very many small
// values. It stops beyond maxJSONDepth.
func measureJSON(body []byte) (deepest, elements int) {
	depth := 0
	elements = 1
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
			depth++
			if deepest = max(deepest, depth); depth > maxJSONDepth {
				return deepest, elements
			}
		case b == '}' || b == ']':
			depth--
		case b == ',' && depth == 1:
			elements++
		}
	}
	return deepest, elements
}

// prefixHash returns a hash of the beginning of the prompt, which stays the same for all turns of a conversation: the
// messages up to and including the first one whose role is not system or developer.
func (c *chat) prefixHash() uint64 {
	d := xxhash.New()
	for _, m := range c.Messages {
		_, _ = d.Write(m) // a hash never returns an error
		var head struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(m, &head); err != nil || head.Role != "system" && head.Role != "developer" {
			break
		}
	}
	return d.Sum64()
}

// sharedParts returns hashes of the messages that other requests may share: all but the last one.
func (c *chat) sharedParts() []uint64 {
	parts := make([]uint64, 0, len(c.Messages))
	for _, m := range c.Messages[:max(0, len(c.Messages)-1)] {
		parts = append(parts, xxhash.Sum64(m))
	}
	return parts
}

// limitTokens returns the estimated tokens of the prompt and the limit for those of the answer. Their sum is at most the
// limit of the team. A prompt that leaves no tokens for an answer is refused with result.BadRequest.
func limitTokens(c chat, body []byte, t *object.Team) (prompt, answer int64, err error) {
	prompt = int64(len(body)) / bytesPerToken
	headroom := t.Limits.MaxTokens - prompt
	if headroom <= 0 {
		return 0, 0, result.Newf(result.BadRequest, "The prompt has about %d tokens, the team's limit is %d.", prompt, t.Limits.MaxTokens)
	}
	answer = c.MaxTokens
	if answer == 0 {
		answer = defaultMaxTokens
	}
	return prompt, min(answer, headroom), nil
}
