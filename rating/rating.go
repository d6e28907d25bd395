// Package rating defines the interface to the platform's answer-rating service. Ratings arrive late and for some
// requests only.
package rating

import "context"

// Rating is the score of one answer.
type Rating struct {
	RequestID string  `json:"requestId"`
	Version   string  `json:"version"`
	Kind      string  `json:"kind"`  // kind of request, for example a task label
	Score     float64 `json:"score"` // 0 to 1
}

// Page is a run of ratings. Pass Next to read the following ones.
type Page struct {
	Ratings []Rating `json:"ratings"`
	Next    uint64   `json:"next"`
}

// Source gives ratings in the order in which they arrived.
type Source interface {
	// After returns up to limit ratings that follow the cursor; cursor 0 starts at the oldest.
	After(ctx context.Context, cursor uint64, limit int) (Page, error)
}
