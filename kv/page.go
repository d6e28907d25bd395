package kv

import (
	"context"
	"iter"
)

// Limits of one page. The largest page stays well below the largest response that a client accepts, and takes a few
// milliseconds of a client's timeout of 2 s.
const (
	MaxPageEntries = 1000
	MaxPageBytes   = 4 * MaxValueBytes // keys and values together
)

// Range selects the entries of one List call.
type Range struct {
	Prefix     string
	From       string // first key, inclusive; empty to start at the first key with the prefix
	MaxEntries int    // 0, or more than MaxPageEntries, means MaxPageEntries
	MaxBytes   int    // keys and values together; 0, or more than MaxPageBytes, means MaxPageBytes
}

// Page is the result of a List call. It holds at least one entry if the range has any, even if that entry alone exceeds
// Range.MaxBytes.
type Page struct {
	Entries []Entry `json:"entries"`
	Next    string  `json:"next,omitempty"` // Range.From of the next page; empty after the last one
	// Revision is the store's revision when the page was read, zero if the store does not report it. A watch that follows a
	// list starts at the revision of the first page.
	Revision Revision `json:"revision,omitzero"`
}

// Bounds returns the limits to apply to one page, with defaults and maximums resolved.
func (r Range) Bounds() (entries, bytes int) {
	return clampLimit(r.MaxEntries, MaxPageEntries), clampLimit(r.MaxBytes, MaxPageBytes)
}

func clampLimit(n, limit int) int {
	if n <= 0 || n > limit {
		return limit
	}
	return n
}

// All iterates over the entries below a prefix in the order of their keys and reads them page by page. After the first
// error, which it yields with a zero Entry, it ends.
func All(ctx context.Context, store Store, prefix string) iter.Seq2[Entry, error] {
	return func(yield func(Entry, error) bool) {
		r := Range{Prefix: prefix}
		for {
			page, err := store.List(ctx, r)
			if err != nil {
				yield(Entry{}, err)
				return
			}
			for _, e := range page.Entries {
				if !yield(e, nil) {
					return
				}
			}
			if page.Next == "" {
				return
			}
			r.From = page.Next
		}
	}
}
