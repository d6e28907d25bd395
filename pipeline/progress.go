package pipeline

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
)

// Stage is the stage that a request in flight has reached.
type Stage string

// Stages of a request, in their order. A call of a plain service has no StageChoose, and a request of a route has neither
// StageClaim nor StageBill nor StageFinish.
const (
	StageAdmit    Stage = "admit"
	StageIdentify Stage = "identify"
	StageClaim    Stage = "claim"
	StageChoose   Stage = "choose"
	StageDispatch Stage = "dispatch"
	StageRelay    Stage = "relay"
	StageBill     Stage = "bill"
	StageFinish   Stage = "finish" // the claim is settled and the end of the answer is sent
)

// Progress describes a request in flight for operators. It holds no prompt, answer or API key. It is safe for concurrent use.
type Progress struct {
	ID    string
	Kind  string // "chat", "plain" or "routed"
	Start time.Time

	mu       sync.Mutex
	position Position
}

// Position is a snapshot of what is known about a request in flight.
type Position struct {
	Stage  Stage  `json:"stage"`
	Team   string `json:"team,omitempty"`
	Target string `json:"target,omitempty"` // version or service
	ClaimHolder
	// Choice is nil before the choice is made. It must not be modified.
	Choice *choose.Choice `json:"-"`
}

// ClaimHolder identifies the claim of a call and the daemon that made it.
type ClaimHolder struct {
	// Claim is the key of the claim in the key-value store, empty if there is none.
	Claim string `json:"claim,omitempty"`
	// Owner is the incarnation of the daemon that made the claim. It may be another daemon, which served an earlier delivery.
	Owner string `json:"claimOwner,omitempty"`
}

// Position returns a snapshot of the request's position.
func (p *Progress) Position() Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position
}

// setStage records that the request has reached a stage.
func (rs *requestState) setStage(stage Stage) {
	rs.updatePosition(func(p *Position) { p.Stage = stage })
}

// updatePosition calls f with the position while it holds the lock of the progress.
func (rs *requestState) updatePosition(f func(*Position)) {
	rs.progress.mu.Lock()
	defer rs.progress.mu.Unlock()
	f(&rs.progress.position)
}

// recordClaimHolder records who holds the claim of a call of a service: this request, with its own claim, or an earlier
// delivery. Both may be nil, if the claim failed; then only the key of the claim is recorded.
func (rs *requestState) recordClaimHolder(service string, own *claim.Claim, earlier *claim.Record) {
	if rs.identity.IdempotencyKey == "" {
		return
	}
	holder := ClaimHolder{Claim: claim.StoreKey(service, rs.identity.Team.Name, rs.identity.IdempotencyKey)}
	switch {
	case own != nil:
		holder.Owner = own.Owner()
	case earlier != nil:
		holder.Owner = earlier.Owner
	}
	rs.outcome.ClaimHolder = holder
	rs.updatePosition(func(p *Position) { p.ClaimHolder = holder })
}
