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

// Calls are the calls of one request.
type Calls []Call

// Bill is the entry of one request. Requests with equal identities are one request.
type Bill struct {
	ID    string `msgpack:"r" json:"id"`
	Team  string `msgpack:"t" json:"team"`
	Code  int    `msgpack:"s" json:"code"` // result code
	Calls Calls  `msgpack:"l" json:"calls"`
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

// billKey tells the bills of one identity apart.
type billKey struct {
	id     string
	at     int64
	code   int
	daemon string
}

func (b *Bill) key() billKey { return billKey{b.ID, b.At, b.Code, b.Daemon} }

const (
	// boundOfBill and boundOfCall are upper bounds of the encoded size without the strings: each field takes 2 bytes for
	// its name, a string or list takes up to 5 bytes for its length, and a number up to 9.
	boundOfBill = 64
	boundOfCall = 48
	// structOfBill and structOfCall are sizes in memory without the strings, with the name of the copy's holder.
	structOfBill = 104
	structOfCall = 40
)

// encodedBound returns an upper bound of the encoded size before compression, in bytes.
func (b *Bill) encodedBound() int { return b.size(boundOfBill, boundOfCall) }

// memory returns the size in memory, in bytes.
func (b *Bill) memory() int { return b.size(structOfBill, structOfCall) }

func (b *Bill) size(fixed, call int) int {
	n := fixed + len(b.ID) + len(b.Team) + len(b.Daemon) + call*len(b.Calls)
	for i := range b.Calls {
		n += len(b.Calls[i].Version)
	}
	return n
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
