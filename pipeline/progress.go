package pipeline

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
)

// Stage is the stage that a request in flight has reached.
type Stage string

// Stages of a request, in their order. A call of a plain service has no StageChoose.
const (
	StageAdmit    Stage = "admit"
	StageIdentify Stage = "identify"
	StageClaim    Stage = "claim"
	StageChoose   Stage = "choose"
	StageDispatch Stage = "dispatch"
	StageRelay    Stage = "relay"
	StageBill     Stage = "bill"
	StageFinish   Stage = "finish" // the end of the answer is sent
)

// Progress is a request in flight. It holds no prompt, answer or key.
type Progress struct {
	ID    string
	Kind  string // "chat" or "plain"
	Start time.Time

	mu    sync.Mutex
	where Position
}

// Position is where a request in flight is.
type Position struct {
	Stage  Stage  `json:"stage"`
	Team   string `json:"team,omitempty"`
	Target string `json:"target,omitempty"` // version or service
	ClaimHolder
	// Choice is nil before the choice. It does not change any more.
	Choice *choose.Choice `json:"-"`
}

// ClaimHolder tells who claimed a call.
type ClaimHolder struct {
	// Claim is the name of the claim in the key-value service, empty if there is none.
	Claim string `json:"claim,omitempty"`
	// Owner is the incarnation of the daemon that made the claim, which is another one if an earlier delivery did.
	Owner string `json:"claimOwner,omitempty"`
}

// Position returns where the request is.
func (p *Progress) Position() Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.where
}

// at notes that the request has reached a stage.
func (e *entered) at(s Stage) {
	e.update(func(p *Position) { p.Stage = s })
}

func (e *entered) update(f func(*Position)) {
	e.progress.mu.Lock()
	defer e.progress.mu.Unlock()
	f(&e.progress.where)
}

// noteClaim notes who claimed a call of a service: this request, or an earlier delivery. Both may be nil.
func (e *entered) noteClaim(service string, held *claim.Claim, earlier *claim.Record) {
	if e.who.Key == "" {
		return
	}
	holder := ClaimHolder{Claim: claim.StoreKey(service, e.who.Team.Name, e.who.Key)}
	switch {
	case held != nil:
		holder.Owner = held.Owner()
	case earlier != nil:
		holder.Owner = earlier.Owner
	}
	e.outcome.ClaimHolder = holder
	e.update(func(p *Position) { p.ClaimHolder = holder })
}
