// Package bill implements the last stage of the request pipeline: it writes one bill for each request that ran, under
// the request's identity.
package bill

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// tokensPerPriceUnit is the number of tokens that a model price refers to.
const tokensPerPriceUnit = 1000

// Appender stores bills. It is safe for concurrent use.
type Appender interface {
	// Add stores a bill. It returns once the bill is replicated, or could not be replicated in time.
	Add(ctx context.Context, b ledger.Bill)
	// Full reports whether the memory limit for unwritten bills is reached.
	Full() bool
}

// Filter writes the bills of requests. It is safe for concurrent use.
type Filter struct {
	ledger Appender
	daemon string
}

// New returns a filter that appends to l and records daemon as the author of each bill.
func New(l Appender, daemon string) *Filter { return &Filter{ledger: l, daemon: daemon} }

// Input describes a request that ran, for its bill.
type Input struct {
	Team      string
	Service   string // plain service, or "chat"
	Key       string // idempotency key, or empty
	RequestID string
	Content   uint64 // hash of the request's content
	Code      result.Code
	Calls     []ledger.Call
	Now       time.Time
}

// Identity returns the identity under which a request is billed. Repeats with the same idempotency key and the same
// content are billed as one request. The content is included because a caller could otherwise have many different
// requests billed as one by reusing a key.
func Identity(in Input) string {
	if in.Key != "" {
		return fmt.Sprintf("%s/%s/key/%016x/%s", in.Team, in.Service, in.Content, in.Key)
	}
	return in.Team + "/" + in.Service + "/id/" + in.RequestID
}

// Full reports whether requests must be rejected because the memory limit for unwritten bills is reached.
func (f *Filter) Full() bool { return f.ledger.Full() }

// Do writes the bill of a request. It returns under the conditions of Appender.Add.
func (f *Filter) Do(ctx context.Context, in Input) {
	f.ledger.Add(ctx, ledger.Bill{
		ID: Identity(in), Team: in.Team, Code: int(in.Code), Calls: in.Calls,
		At: in.Now.UnixMilli(), Daemon: f.daemon,
	})
}

// ModelCall returns the priced record of one model call with the given numbers of input and output tokens. The cost is
// rounded up to whole micro-units.
func ModelCall(v *object.Version, input, output int64) ledger.Call {
	cost := input*v.Prices.Input + output*v.Prices.Output
	return ledger.Call{Version: v.Name, Input: input, Output: output, Cost: (cost + tokensPerPriceUnit - 1) / tokensPerPriceUnit}
}

// PlainCall returns the priced record of one call of a plain service, which has a fixed price.
func PlainCall(s *object.Service) ledger.Call {
	return ledger.Call{Version: s.Name, Cost: s.CallPrice}
}
