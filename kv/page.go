package kv

import (
	"context"
	"iter"
)

// Limits of one page. The largest page is a small part of what a client accepts as an answer, and takes a few
// milliseconds of a client's timeout of 2 s.
const (
	MaxPageEntries = 1000
	MaxPageBytes   = 4 * MaxValueBytes // of keys and values
)

// Range selects the entries of one List call.
type Range struct {
	Prefix string
	From   string // first key, inclusive; empty for the first one with the prefix
	Limit  int    // entries; 0, or more than MaxPageEntries, stands for MaxPageEntries
	Bytes  int    // of keys and values; 0, or more than MaxPageBytes, stands for MaxPageBytes
}

// Page is the answer to a List call. It holds at least one entry if the range has any, also if that exceeds Range.Bytes.
type Page struct {
	Entries []Entry `json:"entries"`
	Next    string  `json:"next,omitempty"` // Range.From of the next page; empty after the last one
	// Revision is the store's revision when the page was read, 0 if the store does not tell it. A watch that follows a list
	// starts at the revision of the first page.
	Revision uint64 `json:"revision,omitempty"`
}

// Bounds returns the limits in force.
func (r Range) Bounds() (entries, bytes int) {
	return bound(r.Limit, MaxPageEntries), bound(r.Bytes, MaxPageBytes)
}

func bound(n, limit int) int {
	if n <= 0 || n > limit {
		return limit
	}
	return n
}

// All yields the entries below a prefix in the order of their keys, page by page. After an error it ends.
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
