package httpengine

import "github.com/bramleytrail/bramleytrail/engine"

// Names of HTTP headers in the engines' protocol.
const (
	HeaderBoot      = "Engine-Boot"
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderSession   = "X-Session-Id"
)

// Chunk is the JSON data of one server-sent event.
type Chunk struct {
	Choices []ChunkChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

// ChunkChoice is an element of Chunk.Choices. Engines send at most one.
type ChunkChoice struct {
	Delta        Delta    `json:"delta"`
	FinishReason *string  `json:"finish_reason"`
	Confidence   *float64 `json:"confidence,omitempty"`
}

// Delta is the text that a chunk adds to the answer.
type Delta struct {
	Content string `json:"content"`
}

// Continuation asks an engine to continue after text that another endpoint generated.
type Continuation struct {
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
}
