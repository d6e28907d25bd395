// Package rating defines the interface to the platform's answer-rating service. Ratings arrive late and for only some
// of the requests.
package rating

import "context"

// Rating is the score of one answer.
type Rating struct {
	RequestID string  `json:"requestId"`
	Version   string  `json:"version"` // for an answer of a cascade, the cascade's label followed by the version
	Kind      string  `json:"kind"`    // kind of request, for example a task label
	Score     float64 `json:"score"`   // 0 to 1
}

// Page is a sequence of consecutive ratings. Next is the cursor from which to read the following ones.
type Page struct {
	Ratings []Rating `json:"ratings"`
	Next    uint64   `json:"next"`
}

// Source returns ratings in the order in which they arrived.
type Source interface {
	// After returns at most limit ratings that follow the cursor. Cursor 0 starts at the oldest rating.
	After(ctx context.Context, cursor uint64, limit int) (Page, error)
}
