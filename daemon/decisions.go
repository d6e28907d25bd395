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

// Names of the rating and rollout duties, and the keys of their states in the key-value store.
const (
	dutyRating  = "rating"
	dutyRollout = "rollout"
	keyQuality  = "state/quality"
	keyRollout  = "state/rollout"
)

const (
	// senderHashShift truncates the hash that identifies a daemon's incarnation in evidence reports to 48 bits, to keep the
	// reports small. The probability that any two of 1,000 incarnations collide is 2 in 1,000,000,000.
	senderHashShift    = 16
	senderEncodingBase = 36
)

// maxReportsPerSender bounds the evidence reports of one daemon that wait for the next run of the rollout duty. Older reports
// may be dropped because the totals in newer ones include them.
const maxReportsPerSender = 4

// errNotRolloutHolder is returned to a peer that sends evidence to a daemon without the rollout duty.
var errNotRolloutHolder = errors.New("this daemon does not hold the roll-out duty")

// decisions holds the inputs of the choice of versions: quality estimates, rollout steps, escalation rates and the counts
// that the duties evaluate. It is safe for concurrent use.
type decisions struct {
	estimates   quality.Estimates
	rollouts    rollout.Table
	callCounter *rollout.Counter
	escalations *cascade.EscalationRates
	answers     answerReports

	mu         sync.Mutex
	heldDuties map[string]uint64             // fencing tokens of the duties that this daemon holds
	inbox      map[string][]rollout.Evidence // by sender; nil without the rollout duty
}

func newDecisions() *decisions {
	return &decisions{callCounter: rollout.NewCounter(), escalations: cascade.NewEscalationRates(), heldDuties: map[string]uint64{}}
}

func (c *decisions) setView(v *config.View) {
	c.rollouts.SetView(v)
	c.callCounter.SetRollouts(v.Set.Rollouts)
}

// countCall counts a call to a version under rollout.
func (c *decisions) countCall(r dispatch.CallResult) {
	c.callCounter.Add(xxhash.Sum64String(r.RequestID), rollout.Call{At: time.Now(), Version: r.Version, Failed: r.Failed, Crash: r.Crash, FirstByte: r.FirstByte})
}

// setHeldDuty records the fencing token of a duty that this daemon holds. A token of 0 means that it holds the duty no longer.
func (c *decisions) setHeldDuty(name string, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence == 0 {
		delete(c.heldDuties, name)
		return
	}
	c.heldDuties[name] = fence
}

// openInbox starts accepting evidence from peers.
func (c *decisions) openInbox() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inbox = map[string][]rollout.Evidence{}
}

// closeInbox stops accepting evidence and discards what is pending.
func (c *decisions) closeInbox() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inbox = nil
}

// drainInbox returns the evidence that peers sent since the last call.
func (c *decisions) drainInbox() []rollout.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var evidence []rollout.Evidence
	for _, list := range c.inbox {
		evidence = append(evidence, list...)
	}
	clear(c.inbox)
	return evidence
}

// receiveEvidence stores a peer's report for the next drainInbox and drops the oldest reports of that peer beyond
// maxReportsPerSender. It returns errNotRolloutHolder if this daemon does not hold the rollout duty.
func (c *decisions) receiveEvidence(e rollout.Evidence) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inbox == nil {
		return errNotRolloutHolder
	}
	list := append(c.inbox[e.Sender], e)
	c.inbox[e.Sender] = list[max(0, len(list)-maxReportsPerSender):]
	return nil
}

func (d *Daemon) newChooseFilter() *choose.Filter {
	return choose.New(choose.Spec{
		Estimator: &d.decisions.estimates, RolloutSteps: placementGatedSteps{d}, EscalationRate: d.decisions.escalations.Rate,
		Exploration: choose.ExplorationBudget{RequestShare: d.settings.ExploreShare, CostShare: d.settings.ExploreCost},
	})
}

func (d *Daemon) startDecisions() {
	d.registerDecisionGauges()
	d.wg.Go(func() { d.loadDocument(docRollout, keyRollout, rollout.State{}.Encode) })
	d.wg.Go(func() { d.loadDocument(docQuality, keyQuality, quality.NewSummary().Encode) })
	if d.platform.Ratings != nil {
		d.wg.Go(func() { d.runDuty(dutyRating, d.startRatingTerm) })
	}
	d.wg.Go(d.sendAnswerReports)
	d.wg.Go(func() { d.runDuty(dutyRollout, d.startRolloutTerm) })
	d.wg.Go(func() { d.runDuty(dutyCompactionPrefix+d.settings.Domain, d.startCompactionTerm) })
	d.wg.Go(d.sendEvidence)
}

// loadDocument loads a document from the key-value store at start, unless a peer delivers it first. If none is stored yet,
// it uses an empty one with number 0, which any other version replaces. It retries until it succeeds or the daemon stops.
func (d *Daemon) loadDocument(name, key string, empty func() ([]byte, error)) {
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
		d.sleep(retryInterval)
	}
}

// offerState puts a version of a duty's state in force at this daemon and offers it to the peers.
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

// sendEvidence periodically reports this daemon's counts of versions under rollout to the holder of the rollout duty. It
// sends nothing if the counts have not changed since the last report to that holder.
func (d *Daemon) sendEvidence() {
	var sentTo string
	var sent uint64
	var through int64 // last second, in Unix time, that the holder has acknowledged
	for d.ctx.Err() == nil {
		d.sleep(d.settings.EvidenceInterval)
		holder := d.decisions.rollouts.State().Holder
		if holder != sentTo {
			through = 0
		}
		e := d.collectEvidence(through)
		calls := e.Calls()
		if holder == "" || holder == d.peerAddr || len(e.Pairs) == 0 || holder == sentTo && calls == sent {
			continue
		}
		if err := d.node.SendEvidence(d.ctx, holder, e); err != nil {
			d.log.WithError(err).Debug("could not send rollout evidence to the holder of the rollout duty")
			continue
		}
		sentTo, sent, through = holder, calls, e.Through
	}
}

// collectEvidence returns this daemon's totals and its counts of each second later than after, in Unix time.
func (d *Daemon) collectEvidence(after int64) rollout.Evidence {
	sender := strconv.FormatUint(xxhash.Sum64String(d.incarnation)>>senderHashShift, senderEncodingBase)
	return d.decisions.callCounter.Evidence(sender, after, time.Now())
}

// DecisionState is the part of the state dump that shows the inputs of the choice of versions.
type DecisionState struct {
	Duties        map[string]uint64         `json:"duties"` // held by this daemon, with their fencing tokens
	Rollouts      map[string]rollout.Record `json:"rollouts"`
	RolloutHolder string                    `json:"rolloutHolder"` // address of the daemon with the rollout duty
	RolloutCounts []rollout.Pair            `json:"rolloutCounts"` // counted by this daemon
	Quality       *quality.Summary          `json:"quality"`
}

func (c *decisions) state() DecisionState {
	s := c.rollouts.State()
	out := DecisionState{Duties: map[string]uint64{}, Rollouts: s.Records, RolloutHolder: s.Holder, RolloutCounts: c.callCounter.Evidence("", 0, time.Now()).Pairs, Quality: c.estimates.Summary()}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, fence := range c.heldDuties {
		out.Duties[name] = fence
	}
	return out
}

// countDecision updates the metrics of exploration and cascades after a request.
func (d *Daemon) countDecision(o pipeline.Outcome) {
	if o.Explored {
		d.metrics.Counter(fmt.Sprintf(`bramley_explored_total{team=%q}`, o.Team)).Inc()
	}
	if o.Cascade {
		d.metrics.Counter(fmt.Sprintf(`bramley_cascade_answers_total{team=%q,version=%q}`, o.Team, o.Version)).Inc()
	}
}

func (d *Daemon) registerDecisionGauges() {
	for _, name := range []string{dutyRating, dutyRollout, dutyCompactionPrefix + d.settings.Domain} {
		d.metrics.Gauge(fmt.Sprintf(`bramley_duty_held{duty=%q}`, name), func() float64 {
			d.decisions.mu.Lock()
			defer d.decisions.mu.Unlock()
			if d.decisions.heldDuties[name] != 0 {
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
