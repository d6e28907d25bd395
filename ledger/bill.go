package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Prefix of batch keys in the key-value service.
const Prefix = "bill/"

// Call is one model call, or one call of a plain service.
type Call struct {
	Version string `msgpack:"v" json:"version"` // version, or service name
	Input   int64  `msgpack:"i" json:"input"`   // tokens
	Output  int64  `msgpack:"o" json:"output"`  // tokens
	Cost    int64  `msgpack:"c" json:"cost"`    // micro-units
}

// Bill is the entry of one request. Requests with equal identities are one request.
type Bill struct {
	ID    string `msgpack:"r" json:"id"`
	Team  string `msgpack:"t" json:"team"`
	Code  int    `msgpack:"s" json:"code"` // result code
	Calls []Call `msgpack:"l" json:"calls"`
	// At is the time of the end of the answer, in Unix milliseconds.
	At     int64  `msgpack:"a" json:"at"`
	Daemon string `msgpack:"d" json:"daemon"`
}

// Cost returns the sum over the calls, in micro-units.
func (b *Bill) Cost() int64 {
	var sum int64
	for _, c := range b.Calls {
		sum += c.Cost
	}
	return sum
}

// Time returns At as a time.
func (b *Bill) Time() time.Time { return time.UnixMilli(b.At) }

// BatchID names a batch. Incarnation is unique to one start of a daemon.
type BatchID struct {
	Domain      string
	Incarnation string
	Seq         uint64
}

// Key returns the batch's key in the key-value service.
func (id BatchID) Key() string {
	return fmt.Sprintf("%s%s/%s/%012d", Prefix, id.Domain, id.Incarnation, id.Seq)
}

// Merge returns one bill for each identity, ordered by identity. Among bills of the same request, a completed answer
// goes before a failed one, then the earliest counts.
func Merge(bills []Bill) []Bill {
	byID := make(map[string]Bill, len(bills))
	for _, b := range bills {
		if other, ok := byID[b.ID]; !ok || before(b, other) {
			byID[b.ID] = b
		}
	}
	out := make([]Bill, 0, len(byID))
	for _, b := range byID {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b Bill) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func before(a, b Bill) bool {
	if (a.Code == 0) != (b.Code == 0) {
		return a.Code == 0
	}
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Daemon, b.Daemon)) < 0
}

// missing returns the bills of want whose identity is not in have.
func missing(want, have []Bill) []Bill {
	ids := make(map[string]bool, len(have))
	for _, b := range have {
		ids[b.ID] = true
	}
	var out []Bill
	for _, b := range want {
		if !ids[b.ID] {
			out = append(out, b)
		}
	}
	return out
}
