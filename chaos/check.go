package chaos

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/standin"
)

const (
	// noNewWorkAfter is the time after which a failure domain that was taken out, a version that was withdrawn or an endpoint
	// that is leaving must not receive new work.
	noNewWorkAfter = 3 * time.Second
	answerTokens   = 24 // length of each answer of the stand-in's engines
)

// check checks the invariants against the records of endpoints, callers and bills.
func (r *runner) check(ctx context.Context) (Report, error) {
	bills, err := r.readBills(ctx)
	if err != nil {
		return Report{}, err
	}
	c := &checker{runner: r, bills: bills, runsByPrompt: r.engineRuns(), releaseRuns: r.countReleaseRuns(), releaseBillIDs: findReleaseBillIDs(bills)}
	c.violations = append(c.violations, r.record.revisionRegressions...)
	report := Report{Requests: len(r.record.requests)}
	sessions := map[int]string{}
	for _, req := range r.record.requests {
		if req.Answered() {
			report.Answered++
		}
		c.checkAnswers(req)
		c.checkRuns(req)
		c.checkBills(req)
		if req.Kind == KindSession {
			c.checkSession(req, sessions)
		}
	}
	c.checkReleaseBills()
	c.checkNewWork()
	c.checkCrashes()
	report.Violations = c.violations
	return report, nil
}

// checker collects the violations of the invariants of one run.
type checker struct {
	runner         *runner
	bills          map[string]ledger.Bill         // by ID
	runsByPrompt   map[string][]standin.EngineRun // runs at engines
	releaseRuns    map[string]int                 // runs at plain endpoints, by idempotency key
	releaseBillIDs map[string]string              // bill ID by idempotency key
	violations     []string
}

// fail adds a violation.
func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// engineRuns returns the requests that the engines executed, by prompt.
func (r *runner) engineRuns() map[string][]standin.EngineRun {
	out := map[string][]standin.EngineRun{}
	for _, e := range r.dep.Engines {
		for _, run := range e.Runs() {
			out[run.Prompt] = append(out[run.Prompt], run)
		}
	}
	return out
}

// countReleaseRuns returns how often each release was executed, by idempotency key.
func (r *runner) countReleaseRuns() map[string]int {
	out := map[string]int{}
	for _, p := range r.dep.PlainEndpoints {
		for _, run := range p.Runs() {
			out[run.Key]++
		}
	}
	return out
}

// checkAnswers checks that callers receive the complete answer to their own request and that no request is lost.
func (c *checker) checkAnswers(req *Request) {
	for _, d := range req.Deliveries {
		if d.Truncated && !c.runner.record.killed[d.Daemon] {
			c.fail("%s %q was cut off by a daemon that was not killed", req.Kind, req.Key)
		}
		if !d.Complete || d.Status != http.StatusOK || req.Kind == KindRelease {
			continue
		}
		if want := standin.Answer(d.Version, local.MessagesJSON(req.Key), answerTokens); d.Text != want {
			c.fail("%s %q: answer %q of version %s, want %q", req.Kind, req.Key, d.Text, d.Version, want)
		}
	}
	last := req.Deliveries[len(req.Deliveries)-1]
	switch req.Kind {
	case KindCanceled:
	case KindPoison:
		if last.Complete && last.Status == http.StatusOK {
			c.fail("poison request %q was answered", req.Key)
		}
	case KindRelease:
		// The claim of a killed daemon stays in the store, since nobody knows whether its call ran.
		unknown := last.Code == claimUnknown || last.Code == claimRunning && len(c.runner.record.killed) > 0
		if !req.Answered() && !(last.Complete && unknown) {
			c.fail("release %q was lost: last status %d, code %s", req.Key, last.Status, last.Code)
		}
	default:
		if !req.Answered() {
			c.fail("%s %q was lost after %d deliveries: last status %d, code %s, %s", req.Kind, req.Key, len(req.Deliveries), last.Status, last.Code, last.Text)
		}
	}
}

// checkRuns checks that a non-repeatable call runs at most once, and that a request that responses state not to have run did
// not run.
func (c *checker) checkRuns(req *Request) {
	if req.Kind != KindRelease {
		if n := len(c.runsByPrompt[local.MessagesJSON(req.Key)]); n > 0 && req.NeverRan() {
			c.fail("%s %q ran %d times although every delivery said that it did not", req.Kind, req.Key, n)
		}
		return
	}
	n := c.releaseRuns[req.Key]
	if n > 1 {
		c.fail("release %q ran %d times", req.Key, n)
	}
	if n == 0 && req.Answered() {
		c.fail("release %q was answered but did not run", req.Key)
	}
	if n > 0 && req.NeverRan() {
		c.fail("release %q ran although every delivery said that it did not", req.Key)
	}
}

// checkBills checks that each answered delivery has a bill with the right version and tokens. The merged bills are unique by
// ID, so that there is never more than one.
func (c *checker) checkBills(req *Request) {
	for _, d := range req.Deliveries {
		if !d.Complete || d.Status != http.StatusOK || d.BillID == "" {
			continue
		}
		b, ok := c.bills[d.BillID]
		if req.Kind == KindRelease {
			b, ok = c.bills[c.releaseBillIDs[req.Key]]
		}
		if !ok && c.runner.hasPeerPartition && c.runner.record.lostWithDomain[d.Daemon] {
			continue // a partitioned domain copies its bills only within itself, see docs/billing.md
		}
		if !ok {
			c.fail("%s %q has no bill %s", req.Kind, req.Key, d.BillID)
			continue
		}
		if req.Kind != KindRelease && (len(b.Calls) != 1 || b.Calls[0].Output != answerTokens || b.Calls[0].Version != d.Version) {
			c.fail("%s %q has bill %+v, want %d tokens of %s", req.Kind, req.Key, b, answerTokens, d.Version)
		}
	}
}

// checkReleaseBills checks that nothing is charged for a release that did not run. A release that may have run has a bill with
// its failure code and no cost.
func (c *checker) checkReleaseBills() {
	for key, id := range c.releaseBillIDs {
		if b := c.bills[id]; c.releaseRuns[key] == 0 && (b.Code == 0 || b.Cost() != 0) {
			c.fail("release %q did not run but has bill %+v", key, b)
		}
	}
}

// findReleaseBillIDs returns the IDs of the bills of releases by idempotency key. The ID has a hash of the call's content
// before the key.
func findReleaseBillIDs(bills map[string]ledger.Bill) map[string]string {
	out := map[string]string{}
	for id := range bills {
		if rest, ok := strings.CutPrefix(id, local.SampleTeam+"/"+local.SamplePlain+"/key/"); ok {
			_, key, _ := strings.Cut(rest, "/")
			out[key] = id
		}
	}
	return out
}

// checkSession checks that a session keeps its version unless that version was withdrawn during the run. sessions maps each
// session to its last version.
func (c *checker) checkSession(req *Request, sessions map[int]string) {
	for _, d := range req.Deliveries {
		if !d.Complete || d.Status != http.StatusOK {
			continue
		}
		if last := sessions[req.Session]; last != "" && last != d.Version && !c.wasWithdrawn(last) {
			c.fail("session %d went from version %s to %s", req.Session, last, d.Version)
		}
		sessions[req.Session] = d.Version
	}
}

// wasWithdrawn reports whether a version was withdrawn during the run.
func (c *checker) wasWithdrawn(version string) bool {
	for _, w := range c.runner.record.windows {
		if w.Version == version {
			return true
		}
	}
	return false
}

// checkNewWork checks that failure domains that are out, withdrawn versions and leaving endpoints receive no new work after
// noNewWorkAfter.
func (c *checker) checkNewWork() {
	for _, w := range c.runner.record.windows {
		for _, runs := range c.runsByPrompt {
			for _, run := range runs {
				if run.Started.Before(w.From.Add(noNewWorkAfter)) || !run.Started.Before(w.To) || c.isFullyPartitioned(run.Started) {
					continue
				}
				if run.Engine == w.Endpoint || run.Version == w.Version || w.Domain != "" && strings.HasSuffix(run.Engine, "-"+w.Domain) {
					c.fail("%s started %q %s after %+v began", run.Engine, run.Prompt, run.Started.Sub(w.From), w)
				}
			}
		}
	}
}

// isFullyPartitioned reports whether a failure domain may have been partitioned from both the others and the platform at a
// time, or until less than noNewWorkAfter before it. A change can't reach the domain then, see docs/partitions.md.
func (c *checker) isFullyPartitioned(at time.Time) bool {
	if !c.runner.hasPeerPartition || !c.runner.hasPlatformPartition {
		return false
	}
	return slices.ContainsFunc(c.runner.record.partitions, func(w Window) bool {
		return at.After(w.From) && at.Before(w.To.Add(noNewWorkAfter))
	})
}

// checkCrashes checks that no endpoint crashes because it gets more load than it handles while cold, or more requests than fit
// its memory, and that poison requests crash at most poison.MaxCrashes endpoints each.
func (c *checker) checkCrashes() {
	prompts, poisonRequests := 0, 0
	for name, e := range c.runner.dep.Engines {
		causes := e.Crashes()
		prompts += causes[standin.CausePrompt]
		if n := causes[standin.CauseCold]; n > 0 {
			c.fail("%s crashed %d times because it received more requests than a cold endpoint handles", name, n)
		}
		if n := causes[standin.CauseMemory]; n > 0 {
			c.fail("%s crashed %d times because its requests exceeded its memory", name, n)
		}
	}
	for _, req := range c.runner.record.requests {
		if req.Kind == KindPoison {
			poisonRequests++
		}
	}
	if limit := poisonRequests * poison.MaxCrashes; prompts > limit {
		c.fail("%d crashes caused by %d poison requests, limit %d", prompts, poisonRequests, limit)
	}
}
