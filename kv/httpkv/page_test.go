package httpkv

import (
	"context"
	"fmt"
	"testing"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// Guards against a prefix that can't be read because its entries exceed the largest response, and against pages that
// omit or repeat an entry.
func TestListLargerThanOneResponse(t *testing.T) {
	eachStore(t, func(t *testing.T, ctx context.Context, s kv.Store, fake *memkv.Store) {
		const values = maxResponseBytes/kv.MaxValueBytes + 2
		value := make([]byte, kv.MaxValueBytes)
		for i := range values {
			if _, err := fake.CAS(ctx, fmt.Sprintf("p/%04d", i), value, kv.Revision{}, 0); err != nil {
				t.Fatal(err)
			}
		}
		mustCAS(t, ctx, fake, "q", "not in the prefix", kv.Revision{}, 0)
		n := 0
		for e, err := range kv.All(ctx, s, "p/") {
			if want := fmt.Sprintf("p/%04d", n); err != nil || e.Key != want || len(e.Value) != len(value) {
				t.Fatalf("%s with %d bytes, %v; want %s", e.Key, len(e.Value), err, want)
			}
			n++
		}
		if n != values {
			t.Errorf("%d entries, want %d", n, values)
		}
	})
}

// Guards against a page that exceeds its limits, against an empty page, after which the reader would stop or loop, and
// against a server that accepts a limit above the maximum.
func TestPageLimits(t *testing.T) {
	eachStore(t, func(t *testing.T, ctx context.Context, s kv.Store, fake *memkv.Store) {
		for i := range kv.MaxPageEntries + 1 {
			mustCAS(t, ctx, fake, fmt.Sprintf("p/%04d", i), "0123", kv.Revision{}, 0)
		}
		for name, c := range map[string]struct {
			r    kv.Range
			want int
			next string
		}{
			"count":           {kv.Range{Prefix: "p/", MaxEntries: 3}, 3, "p/0003"},
			"from":            {kv.Range{Prefix: "p/", From: "p/0003", MaxEntries: 3}, 3, "p/0006"},
			"bytes":           {kv.Range{Prefix: "p/", MaxBytes: 25}, 2, "p/0002"},
			"less than one":   {kv.Range{Prefix: "p/", MaxBytes: 1}, 1, "p/0001"},
			"last":            {kv.Range{Prefix: "p/", From: "p/0999", MaxEntries: 2}, 2, ""},
			"above the limit": {kv.Range{Prefix: "p/", MaxEntries: kv.MaxPageEntries + 1}, kv.MaxPageEntries, "p/1000"},
			"none":            {kv.Range{Prefix: "x/"}, 0, ""},
		} {
			if page, err := s.List(ctx, c.r); err != nil || len(page.Entries) != c.want || page.Next != c.next {
				t.Errorf("%s: %d entries, next %q, %v; want %d and %q", name, len(page.Entries), page.Next, err, c.want, c.next)
			}
		}
	})
}
