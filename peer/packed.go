package peer

import (
	"encoding/base32"
	"errors"
	"strings"

	"github.com/bramleytrail/bramleytrail/ledger"
)

var errPacked = errors.New("packed bills have columns of different lengths")

const (
	// tailDigits is the number of base32 digits at the end of the identity of a request without an idempotency key.
	tailDigits = 26
	tailBytes  = 17 // tailDigits at 5 bits, rounded up
	// tailPadding completes tailDigits to whole groups of base32.
	tailPadding = "AAAAAA"
)

// packedBills is a list of bills by column, so that gob writes neither field numbers nor types for a bill. What follows
// from another column is left out. Together with the compression of the connection it takes a third of the bytes of a
// list of ledger.Bill.
type packedBills struct {
	IDs     []string // without the tail, unless the bill is in Whole
	Tails   []byte   // tailBytes for each bill that is not in Whole
	Whole   []int    // rising indexes of bills whose identity has no tail of random digits
	Teams   []string // empty if the identity begins with the team
	Codes   []int
	Ats     []int64  // difference to the previous bill, in milliseconds
	Daemons []string // empty for the owner of the batch

	Calls    []int // number of calls of each bill
	Versions []string
	Inputs   []int64
	Outputs  []int64
	Costs    []int64
}

// packBills packs bills of the batches of owner.
func packBills(bills []ledger.Bill, owner string) packedBills {
	var p packedBills
	at := int64(0)
	for i, b := range bills {
		id, tail := splitTail(b.ID)
		if tail == nil {
			p.Whole = append(p.Whole, i)
		}
		p.IDs, p.Tails = append(p.IDs, id), append(p.Tails, tail...)
		p.Teams = append(p.Teams, unless(teamOf(b.ID), b.Team))
		p.Daemons = append(p.Daemons, unless(owner, b.Daemon))
		p.Codes, p.Ats = append(p.Codes, b.Code), append(p.Ats, b.At-at)
		at = b.At
		p.Calls = append(p.Calls, len(b.Calls))
		for _, c := range b.Calls {
			p.Versions, p.Inputs = append(p.Versions, c.Version), append(p.Inputs, c.Input)
			p.Outputs, p.Costs = append(p.Outputs, c.Output), append(p.Costs, c.Cost)
		}
	}
	return p
}

// unpack returns the bills. It fails if the columns don't fit together.
func (p packedBills) unpack(owner string) ([]ledger.Bill, error) {
	n, calls := len(p.IDs), 0
	for _, c := range p.Calls {
		if c < 0 || c > len(p.Versions)-calls {
			return nil, errPacked
		}
		calls += c
	}
	switch {
	case len(p.Teams) != n, len(p.Codes) != n, len(p.Ats) != n, len(p.Daemons) != n, len(p.Calls) != n,
		len(p.Versions) != calls, len(p.Inputs) != calls, len(p.Outputs) != calls, len(p.Costs) != calls:
		return nil, errPacked
	}
	var bills []ledger.Bill
	call, at, tails, whole := 0, int64(0), p.Tails, p.Whole
	for i, id := range p.IDs {
		if len(whole) > 0 && whole[0] == i {
			whole = whole[1:]
		} else {
			if len(tails) < tailBytes {
				return nil, errPacked
			}
			id += joinTail(tails[:tailBytes])
			tails = tails[tailBytes:]
		}
		at += p.Ats[i]
		b := ledger.Bill{ID: id, Team: orElse(p.Teams[i], teamOf(id)), Code: p.Codes[i], At: at, Daemon: orElse(p.Daemons[i], owner)}
		for range p.Calls[i] {
			b.Calls = append(b.Calls, ledger.Call{Version: p.Versions[call], Input: p.Inputs[call], Output: p.Outputs[call], Cost: p.Costs[call]})
			call++
		}
		bills = append(bills, b)
	}
	return bills, nil
}

// splitTail cuts the random digits off an identity. The tail is nil if there are none.
func splitTail(id string) (rest string, tail []byte) {
	cut := len(id) - tailDigits
	if cut < 0 {
		return id, nil
	}
	data, err := base32.StdEncoding.DecodeString(id[cut:] + tailPadding)
	if err != nil || joinTail(data[:tailBytes]) != id[cut:] {
		return id, nil
	}
	return id[:cut], data[:tailBytes]
}

func joinTail(tail []byte) string {
	return base32.StdEncoding.EncodeToString(tail)[:tailDigits]
}

func teamOf(id string) string {
	team, _, _ := strings.Cut(id, "/")
	return team
}

// unless returns an empty string for the value that follows from other columns.
func unless(known, value string) string {
	if value == known {
		return ""
	}
	return value
}

func orElse(value, known string) string {
	if value == "" {
		return known
	}
	return value
}
