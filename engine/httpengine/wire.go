package httpengine

import "github.com/bramleytrail/bramleytrail/engine"

// Header names of the engines' protocol.
const (
	HeaderBoot      = "Engine-Boot"
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderSession   = "X-Session-Id"
)

// Chunk is the JSON of one server-sent event.
type Chunk struct {
	Choices []ChunkChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Delta        Delta    `json:"delta"`
	FinishReason *string  `json:"finish_reason"`
	Confidence   *float64 `json:"confidence,omitempty"`
}

// Delta is the text of a chunk.
type Delta struct {
	Content string `json:"content"`
}

// Continuation asks an engine to go on after text that another endpoint generated.
type Continuation struct {
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
}
