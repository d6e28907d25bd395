package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Prefix is the prefix of the keys of batches in the key-value store.
const Prefix = "bill/"

// Call is the priced record of one model call, or of one call of a plain service.
type Call struct {
	Version string `msgpack:"v" json:"version"` // model version, or name of the plain service
	Input   int64  `msgpack:"i" json:"input"`   // tokens
	Output  int64  `msgpack:"o" json:"output"`  // tokens
	Cost    int64  `msgpack:"c" json:"cost"`    // micro-units
}

// Calls is the list of the calls of one request. Its decoder bounds the length that a damaged value can state.
type Calls []Call

// Bill records the result and the calls of one request. Bills with the same ID belong to the same request; Merge
// selects the one that counts.
type Bill struct {
	ID    string `msgpack:"r" json:"id"`
	Team  string `msgpack:"t" json:"team"`
	Code  int    `msgpack:"s" json:"code"` // result code
	Calls Calls  `msgpack:"l" json:"calls"`
	// At is the time at which the answer ended, in Unix milliseconds.
	At     int64  `msgpack:"a" json:"at"`
	Daemon string `msgpack:"d" json:"daemon"`
}

// Cost returns the total cost of the calls, in micro-units.
func (b *Bill) Cost() int64 {
	var sum int64
	for _, c := range b.Calls {
		sum += c.Cost
	}
	return sum
}

// Time returns At as a time.Time.
func (b *Bill) Time() time.Time { return time.UnixMilli(b.At) }

// BatchID identifies a batch: failure domain of the daemon, incarnation, and sequence number within the incarnation. An
// incarnation is unique to one start of a daemon.
type BatchID struct {
	Domain      string
	Incarnation string
	Seq         uint64
}

// Key returns the key of the batch in the key-value store.
func (id BatchID) Key() string {
	return fmt.Sprintf("%s%s/%s/%012d", Prefix, id.Domain, id.Incarnation, id.Seq)
}

// billKey distinguishes bills with the same identity.
type billKey struct {
	id     string
	at     int64
	code   int
	daemon string
}

func (b *Bill) key() billKey { return billKey{b.ID, b.At, b.Code, b.Daemon} }

const (
	// maxBillOverhead and maxCallOverhead are upper bounds of the encoded sizes in bytes, without the contents of
	// strings: each field takes 2 bytes for its name, a string or list takes up to 5 bytes for its length, and a number
	// up to 9.
	maxBillOverhead = 64
	maxCallOverhead = 48
	// billStructBytes and callStructBytes are sizes in memory without the contents of strings. The first one includes
	// the string header for the name of the daemon that holds the copy.
	billStructBytes = 104
	callStructBytes = 40
)

// maxEncodedBytes returns an upper bound of the encoded size before compression, in bytes.
func (b *Bill) maxEncodedBytes() int { return b.size(maxBillOverhead, maxCallOverhead) }

// memoryBytes returns the approximate size in memory, in bytes.
func (b *Bill) memoryBytes() int { return b.size(billStructBytes, callStructBytes) }

func (b *Bill) size(billBytes, callBytes int) int {
	n := billBytes + len(b.ID) + len(b.Team) + len(b.Daemon) + callBytes*len(b.Calls)
	for i := range b.Calls {
		n += len(b.Calls[i].Version)
	}
	return n
}

// Merge returns one bill for each identity, sorted by identity. Among the bills of a request, a completed answer takes
// precedence over a failed one, then the earliest bill counts.
func Merge(bills []Bill) []Bill {
	byID := make(map[string]Bill, len(bills))
	for _, b := range bills {
		if other, ok := byID[b.ID]; !ok || preferred(b, other) {
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

// preferred reports whether Merge selects a over b, which has the same identity.
func preferred(a, b Bill) bool {
	if (a.Code == 0) != (b.Code == 0) {
		return a.Code == 0
	}
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Daemon, b.Daemon)) < 0
}
