package peer

import (
	"encoding/base32"
	"errors"
	"strings"

	"github.com/bramleytrail/bramleytrail/ledger"
)

var errColumnLengths = errors.New("packed bills have columns of different lengths")

const (
	// tailDigits is the number of random base32 digits at the end of the ID of a request without an idempotency key.
	tailDigits = 26
	tailBytes  = 17 // tailDigits of 5 bits each, rounded up
	// tailPadding extends tailDigits to whole groups of 8 base32 digits.
	tailPadding = "AAAAAA"
)

// packedBills is the column-oriented form of a list of bills, for which gob writes neither field numbers nor types for
// each bill. Values that can be derived from another column are left empty. Together with the compression of the
// connection it takes a third of the bytes of a list of ledger.Bill.
type packedBills struct {
	IDs     []string // without the tail of random digits, unless the bill is in Whole
	Tails   []byte   // decoded tails, tailBytes for each bill that is not in Whole
	Whole   []int    // indexes, in ascending order, of the bills whose ID has no tail of random digits
	Teams   []string // empty if the ID begins with the team
	Codes   []int
	Ats     []int64  // time since the previous bill in milliseconds; since the Unix epoch for the first
	Daemons []string // empty if it is the owner of the batch

	Calls    []int // number of calls of each bill
	Versions []string
	Inputs   []int64
	Outputs  []int64
	Costs    []int64
}

// packBills packs bills of a batch. owner is the incarnation that the batch belongs to.
func packBills(bills []ledger.Bill, owner string) packedBills {
	var p packedBills
	prevAt := int64(0)
	for i, b := range bills {
		id, tail := splitTail(b.ID)
		if tail == nil {
			p.Whole = append(p.Whole, i)
		}
		p.IDs, p.Tails = append(p.IDs, id), append(p.Tails, tail...)
		p.Teams = append(p.Teams, omitIfDerived(teamFromID(b.ID), b.Team))
		p.Daemons = append(p.Daemons, omitIfDerived(owner, b.Daemon))
		p.Codes, p.Ats = append(p.Codes, b.Code), append(p.Ats, b.At-prevAt)
		prevAt = b.At
		p.Calls = append(p.Calls, len(b.Calls))
		for _, c := range b.Calls {
			p.Versions, p.Inputs = append(p.Versions, c.Version), append(p.Inputs, c.Input)
			p.Outputs, p.Costs = append(p.Outputs, c.Output), append(p.Costs, c.Cost)
		}
	}
	return p
}

// unpack returns the bills of a batch that belongs to owner. It returns errColumnLengths if the lengths of the columns
// don't match.
func (p packedBills) unpack(owner string) ([]ledger.Bill, error) {
	n, calls := len(p.IDs), 0
	for _, c := range p.Calls {
		if c < 0 || c > len(p.Versions)-calls {
			return nil, errColumnLengths
		}
		calls += c
	}
	switch {
	case len(p.Teams) != n, len(p.Codes) != n, len(p.Ats) != n, len(p.Daemons) != n, len(p.Calls) != n,
		len(p.Versions) != calls, len(p.Inputs) != calls, len(p.Outputs) != calls, len(p.Costs) != calls:
		return nil, errColumnLengths
	}
	var bills []ledger.Bill
	call, at, tails, whole := 0, int64(0), p.Tails, p.Whole
	for i, id := range p.IDs {
		if len(whole) > 0 && whole[0] == i {
			whole = whole[1:]
		} else {
			if len(tails) < tailBytes {
				return nil, errColumnLengths
			}
			id += encodeTail(tails[:tailBytes])
			tails = tails[tailBytes:]
		}
		at += p.Ats[i]
		b := ledger.Bill{ID: id, Team: orDerived(p.Teams[i], teamFromID(id)), Code: p.Codes[i], At: at, Daemon: orDerived(p.Daemons[i], owner)}
		for range p.Calls[i] {
			b.Calls = append(b.Calls, ledger.Call{Version: p.Versions[call], Input: p.Inputs[call], Output: p.Outputs[call], Cost: p.Costs[call]})
			call++
		}
		bills = append(bills, b)
	}
	return bills, nil
}

// splitTail splits a request ID into its prefix and its decoded tail of random digits. The tail is nil if there is
// none.
func splitTail(id string) (prefix string, tail []byte) {
	cut := len(id) - tailDigits
	if cut < 0 {
		return id, nil
	}
	data, err := base32.StdEncoding.DecodeString(id[cut:] + tailPadding)
	if err != nil || encodeTail(data[:tailBytes]) != id[cut:] {
		return id, nil
	}
	return id[:cut], data[:tailBytes]
}

// encodeTail returns the digits of a tail of tailBytes.
func encodeTail(tail []byte) string {
	return base32.StdEncoding.EncodeToString(tail)[:tailDigits]
}

// teamFromID returns the first segment of a request ID, which is usually the team.
func teamFromID(id string) string {
	team, _, _ := strings.Cut(id, "/")
	return team
}

// omitIfDerived returns value, or an empty string if it equals the one that can be derived from other columns.
func omitIfDerived(derived, value string) string {
	if value == derived {
		return ""
	}
	return value
}

// orDerived is the inverse of omitIfDerived.
func orDerived(value, derived string) string {
	if value == "" {
		return derived
	}
	return value
}
