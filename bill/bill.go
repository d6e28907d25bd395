// Package bill is the last stage: it writes one bill for each request that ran, under the request's identity.
package bill

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// tokensPerPrice is the number of tokens that a price refers to.
const tokensPerPrice = 1000

// Appender stores bills.
type Appender interface {
	Add(ctx context.Context, b ledger.Bill)
	// Full reports whether there is no room for further bills.
	Full() bool
}

// Filter bills requests.
type Filter struct {
	ledger Appender
	daemon string
}

// New returns a filter that names daemon in each bill.
func New(l Appender, daemon string) *Filter { return &Filter{ledger: l, daemon: daemon} }

// Input describes a request that ran.
type Input struct {
	Team      string
	Service   string // plain service, or "chat"
	Key       string // idempotency key, may be empty
	RequestID string
	Content   uint64 // hash of the request's content
	Code      result.Code
	Calls     []ledger.Call
	Now       time.Time
}

// Identity returns the identity under which a request is billed: repeats with the same idempotency key and the same
// content are one request. Without the content, a caller could have many different requests billed as one.
func Identity(in Input) string {
	if in.Key != "" {
		return fmt.Sprintf("%s/%s/key/%016x/%s", in.Team, in.Service, in.Content, in.Key)
	}
	return in.Team + "/" + in.Service + "/id/" + in.RequestID
}

// Full reports whether no request may be admitted because there is no room for its bill.
func (f *Filter) Full() bool { return f.ledger.Full() }

// Do bills the request.
func (f *Filter) Do(ctx context.Context, in Input) {
	f.ledger.Add(ctx, ledger.Bill{
		ID: Identity(in), Team: in.Team, Code: int(in.Code), Calls: in.Calls,
		At: in.Now.UnixMilli(), Daemon: f.daemon,
	})
}

// ModelCall prices one model call. The result rounds up to whole micro-units.
func ModelCall(v *object.Version, input, output int64) ledger.Call {
	sum := input*v.Prices.Input + output*v.Prices.Output
	return ledger.Call{Version: v.Name, Input: input, Output: output, Cost: (sum + tokensPerPrice - 1) / tokensPerPrice}
}

// PlainCall prices one call of a plain service.
func PlainCall(s *object.Service) ledger.Call {
	return ledger.Call{Version: s.Name, Cost: s.CallPrice}
}
