package daemon

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// Names of the duties and keys of their states.
const (
	dutyRating  = "rating"
	dutyRollout = "rollout"
	keyQuality  = "state/quality"
	keyRollout  = "state/rollout"
)

const (
	// senderShift leaves 48 bits of the hash that names a daemon's incarnation in reports, to keep these small. Two of
	// 1,000 incarnations have the same with a probability of 2 in 1,000,000,000.
	senderShift = 16
	senderBase  = 36
)

// maxInboxReports bounds the reports of one daemon that wait for the holder. Totals in the newer ones cover the others.
const maxInboxReports = 4

// errNotHolder answers evidence that arrives at a daemon without the duty.
var errNotHolder = errors.New("this daemon does not hold the roll-out duty")

// decisions holds what the choice of versions depends on.
type decisions struct {
	estimates quality.Estimates
	rollouts  rollout.Table
	counter   *rollout.Counter
	climbs    *cascade.EscalationRates
	answers   answers

	mu    sync.Mutex
	held  map[string]uint64             // fencing numbers of the duties that this daemon holds
	inbox map[string][]rollout.Evidence // by sender; nil without the roll-out duty
}

func newDecisions() *decisions {
	return &decisions{counter: rollout.NewCounter(), climbs: cascade.NewEscalationRates(), held: map[string]uint64{}}
}

func (c *decisions) setView(v *config.View) {
	c.rollouts.SetView(v)
	c.counter.SetRollouts(v.Set.Rollouts)
}

func (c *decisions) count(r dispatch.CallResult) {
	c.counter.Add(xxhash.Sum64String(r.RequestID), rollout.Call{At: time.Now(), Version: r.Version, Failed: r.Failed, Crash: r.Crash, FirstByte: r.FirstByte})
}

func (c *decisions) setHeld(name string, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence == 0 {
		delete(c.held, name)
		return
	}
	c.held[name] = fence
}

// openInbox begins to take evidence; closeInbox ends it.
func (c *decisions) openInbox() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inbox = map[string][]rollout.Evidence{}
}

func (c *decisions) closeInbox() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inbox = nil
}

// takeInbox returns the evidence that has arrived since the last call.
func (c *decisions) takeInbox() []rollout.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rollout.Evidence
	for _, list := range c.inbox {
		out = append(out, list...)
	}
	clear(c.inbox)
	return out
}

// takeEvidence keeps the newest reports of a daemon. It fails without the roll-out duty.
func (c *decisions) takeEvidence(e rollout.Evidence) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inbox == nil {
		return errNotHolder
	}
	list := append(c.inbox[e.Sender], e)
	c.inbox[e.Sender] = list[max(0, len(list)-maxInboxReports):]
	return nil
}

func (d *Daemon) buildChoice() *choose.Filter {
	return choose.New(choose.Spec{
		Estimator: &d.decisions.estimates, RolloutSteps: placedSteps{d}, EscalationRate: d.decisions.climbs.Rate,
		Exploration: choose.ExplorationBudget{RequestShare: d.settings.ExploreShare, CostShare: d.settings.ExploreCost},
	})
}

func (d *Daemon) startDecisions() {
	d.registerDecisionGauges()
	d.wg.Go(func() { d.learn(docRollout, keyRollout, rollout.State{}.Encode) })
	d.wg.Go(func() { d.learn(docQuality, keyQuality, quality.NewSummary().Encode) })
	if d.platform.Ratings != nil {
		d.wg.Go(func() { d.holdDuty(dutyRating, d.startRating) })
	}
	d.wg.Go(d.sendAnswers)
	d.wg.Go(func() { d.holdDuty(dutyRollout, d.startRollout) })
	d.wg.Go(func() { d.holdDuty(dutyBills+d.settings.Domain, d.startCompaction) })
	d.wg.Go(d.sendEvidence)
}

// learn reads a document from the key-value service at start, unless a peer is faster. If there is none yet, it starts
// with an empty one, which any other replaces.
func (d *Daemon) learn(name, key string, empty func() ([]byte, error)) {
	for d.ctx.Err() == nil {
		if _, ok := d.node.Document(name); ok {
			return
		}
		number, body, err := duty.ReadState(d.ctx, d.platform.Store, key)
		if errors.Is(err, kv.ErrNotFound) || err == nil && len(body) == 0 {
			number = 0
			body, err = empty()
		}
		if err == nil {
			err = d.offerState(name, number, body)
		}
		if err == nil {
			return
		}
		d.log.WithError(err).WithField("document", name).Debug("document not read")
		d.sleep(followPause)
	}
}

func (d *Daemon) offerState(name string, number uint64, body []byte) error {
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: name, Number: number, Digest: declare.Digest(body)}, Body: body})
}

func (d *Daemon) applyQuality(body []byte) error {
	s, err := quality.Decode(body)
	if err != nil {
		return err
	}
	d.decisions.estimates.Set(s)
	return nil
}

func (d *Daemon) applyRollout(body []byte) error {
	s, err := rollout.DecodeState(body)
	if err != nil {
		return err
	}
	d.decisions.rollouts.Apply(s)
	return nil
}

// sendEvidence reports the counts of versions under roll-out to the holder of the duty. Without new counts, it sends
// nothing.
func (d *Daemon) sendEvidence() {
	var sentTo string
	var sent uint64
	var through int64 // last second that the holder has confirmed
	for d.ctx.Err() == nil {
		d.sleep(d.settings.EvidenceEvery)
		holder := d.decisions.rollouts.State().Holder
		if holder != sentTo {
			through = 0
		}
		e := d.evidence(through)
		calls := e.Calls()
		if holder == "" || holder == d.peerAddr || len(e.Pairs) == 0 || holder == sentTo && calls == sent {
			continue
		}
		if err := d.node.SendEvidence(d.ctx, holder, e); err != nil {
			d.log.WithError(err).Debug("evidence not delivered")
			continue
		}
		sentTo, sent, through = holder, calls, e.Through
	}
}

// evidence returns the totals and the counts of the seconds after the given one.
func (d *Daemon) evidence(after int64) rollout.Evidence {
	sender := strconv.FormatUint(xxhash.Sum64String(d.incarnation)>>senderShift, senderBase)
	return d.decisions.counter.Evidence(sender, after, time.Now())
}

// DecisionState is the part of the state dump that shows what the choice of versions depends on.
type DecisionState struct {
	Duties   map[string]uint64         `json:"duties"` // held by this daemon, with fencing numbers
	Rollouts map[string]rollout.Record `json:"rollouts"`
	Holder   string                    `json:"rolloutHolder"`
	Counts   []rollout.Pair            `json:"rolloutCounts"` // of this daemon
	Quality  *quality.Summary          `json:"quality"`
}

func (c *decisions) state() DecisionState {
	s := c.rollouts.State()
	out := DecisionState{Duties: map[string]uint64{}, Rollouts: s.Records, Holder: s.Holder, Counts: c.counter.Evidence("", 0, time.Now()).Pairs, Quality: c.estimates.Summary()}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, fence := range c.held {
		out.Duties[name] = fence
	}
	return out
}

func (d *Daemon) countChoice(o pipeline.Outcome) {
	if o.Explored {
		d.metrics.Counter(fmt.Sprintf(`bramley_explored_total{team=%q}`, o.Team)).Inc()
	}
	if o.Cascade {
		d.metrics.Counter(fmt.Sprintf(`bramley_cascade_answers_total{team=%q,version=%q}`, o.Team, o.Version)).Inc()
	}
}

func (d *Daemon) registerDecisionGauges() {
	for _, name := range []string{dutyRating, dutyRollout, dutyBills + d.settings.Domain} {
		d.metrics.Gauge(fmt.Sprintf(`bramley_duty_held{duty=%q}`, name), func() float64 {
			d.decisions.mu.Lock()
			defer d.decisions.mu.Unlock()
			if d.decisions.held[name] != 0 {
				return 1
			}
			return 0
		})
	}
	d.metrics.Gauge("bramley_rollouts_halted", func() float64 {
		n := 0
		for _, r := range d.decisions.rollouts.State().Records {
			if r.Halted {
				n++
			}
		}
		return float64(n)
	})
	d.metrics.Gauge("bramley_quality_age_seconds", func() float64 {
		s := d.decisions.estimates.Summary()
		if s == nil || s.Updated.IsZero() {
			return 0
		}
		return time.Since(s.Updated).Seconds()
	})
}
