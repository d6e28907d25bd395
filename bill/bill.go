// Package bill is the last stage: it writes one bill for each request that ran, under the request's identity.
package bill

import (
	"context"
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
	Code      result.Code
	Calls     []ledger.Call
	Now       time.Time
}

// Identity returns the identity under which a request is billed: repeats with the same idempotency key are one request.
func Identity(team, service, key, requestID string) string {
	if key != "" {
		return team + "/" + service + "/key/" + key
	}
	return team + "/" + service + "/id/" + requestID
}

// Do bills the request.
func (f *Filter) Do(ctx context.Context, in Input) {
	f.ledger.Add(ctx, ledger.Bill{
		ID: Identity(in.Team, in.Service, in.Key, in.RequestID), Team: in.Team, Code: int(in.Code), Calls: in.Calls,
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
