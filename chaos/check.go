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
	// noNewWorkAfter is the time after which a failure domain that is out, a version that is withdrawn or an endpoint
	// that is leaving must receive no new work.
	noNewWorkAfter = 3 * time.Second
	answerTokens   = 24
)

// check compares the records of endpoints, callers and bills.
func (r *run) check(ctx context.Context) (Report, error) {
	bills, err := r.bills(ctx)
	if err != nil {
		return Report{}, err
	}
	c := &checker{run: r, bills: bills, runs: r.runs(), releases: r.releases(), releaseBills: releaseBills(bills)}
	c.violations = append(c.violations, r.record.revision...)
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
	c.checkForeignBills()
	c.checkWindows()
	c.checkCrashes()
	report.Violations = c.violations
	return report, nil
}

type checker struct {
	run          *run
	bills        map[string]ledger.Bill
	runs         map[string][]standin.EngineRun // by prompt
	releases     map[string]int                 // by idempotency key
	releaseBills map[string]string              // identity by idempotency key
	violations   []string
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (r *run) runs() map[string][]standin.EngineRun {
	out := map[string][]standin.EngineRun{}
	for _, e := range r.dep.Engines {
		for _, run := range e.Runs() {
			out[run.Prompt] = append(out[run.Prompt], run)
		}
	}
	return out
}

func (r *run) releases() map[string]int {
	out := map[string]int{}
	for _, p := range r.dep.Plains {
		for _, run := range p.Runs() {
			out[run.Key]++
		}
	}
	return out
}

// checkAnswers: a caller receives the whole answer to its own request, and no request is lost.
func (c *checker) checkAnswers(req *Request) {
	for _, d := range req.Deliveries {
		if d.Cut && !c.run.record.killed[d.Daemon] {
			c.fail("%s %q was cut off by a daemon that was not killed", req.Kind, req.Key)
		}
		if !d.Complete || d.Status != http.StatusOK || req.Kind == KindRelease {
			continue
		}
		if want := standin.Answer(d.Version, local.Messages(req.Key), answerTokens); d.Text != want {
			c.fail("%s %q: answer %q of version %s, want %q", req.Kind, req.Key, d.Text, d.Version, want)
		}
	}
	last := req.Deliveries[len(req.Deliveries)-1]
	switch req.Kind {
	case KindLeave:
	case KindPoison:
		if last.Complete && last.Status == http.StatusOK {
			c.fail("poison request %q was answered", req.Key)
		}
	case KindRelease:
		// The claim of a daemon that was killed stays: whether its call ran is not known.
		unknown := last.Code == claimUnknown || last.Code == claimRunning && len(c.run.record.killed) > 0
		if !req.Answered() && !(last.Complete && unknown) {
			c.fail("release %q was lost: last status %d, code %s", req.Key, last.Status, last.Code)
		}
	default:
		if !req.Answered() {
			c.fail("%s %q was lost after %d deliveries: last status %d, code %s, %s", req.Kind, req.Key, len(req.Deliveries), last.Status, last.Code, last.Text)
		}
	}
}

// checkRuns: a non-repeatable call runs at most once, and a statement that a request did not run is true.
func (c *checker) checkRuns(req *Request) {
	if req.Kind != KindRelease {
		if n := len(c.runs[local.Messages(req.Key)]); n > 0 && req.NeverRan() {
			c.fail("%s %q ran %d times although every delivery said that it did not", req.Kind, req.Key, n)
		}
		return
	}
	n := c.releases[req.Key]
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

// checkBills: each answered delivery is billed once. The merged list has one bill for each identity.
func (c *checker) checkBills(req *Request) {
	for _, d := range req.Deliveries {
		if !d.Complete || d.Status != http.StatusOK || d.Billing == "" {
			continue
		}
		b, ok := c.bills[d.Billing]
		if req.Kind == KindRelease {
			b, ok = c.bills[c.releaseBills[req.Key]]
		}
		if !ok && c.run.cutDomains && c.run.record.lost[d.Daemon] {
			continue // a domain that is cut off copies its bills only to itself, see docs/billing.md
		}
		if !ok {
			c.fail("%s %q has no bill %s", req.Kind, req.Key, d.Billing)
			continue
		}
		if req.Kind != KindRelease && (len(b.Calls) != 1 || b.Calls[0].Output != answerTokens || b.Calls[0].Version != d.Version) {
			c.fail("%s %q has bill %+v, want %d tokens of %s", req.Kind, req.Key, b, answerTokens, d.Version)
		}
	}
}

// checkForeignBills: nothing is charged for a release that did not run. One that may have run has a bill with the code of
// its failure and without a cost.
func (c *checker) checkForeignBills() {
	for key, id := range c.releaseBills {
		if b := c.bills[id]; c.releases[key] == 0 && (b.Code == 0 || b.Cost() != 0) {
			c.fail("release %q did not run but has bill %+v", key, b)
		}
	}
}

// releaseBills returns the identities of the bills of releases by idempotency key. The identity has a hash of the call's
// content before the key.
func releaseBills(bills map[string]ledger.Bill) map[string]string {
	out := map[string]string{}
	for id := range bills {
		if rest, ok := strings.CutPrefix(id, local.SampleTeam+"/"+local.SamplePlain+"/key/"); ok {
			_, key, _ := strings.Cut(rest, "/")
			out[key] = id
		}
	}
	return out
}

// checkSession: a session keeps its version unless the version was withdrawn in the meantime.
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

func (c *checker) wasWithdrawn(version string) bool {
	for _, w := range c.run.record.windows {
		if w.Version == version {
			return true
		}
	}
	return false
}

// checkWindows: what is out, withdrawn or leaving receives no new work after a few seconds.
func (c *checker) checkWindows() {
	for _, w := range c.run.record.windows {
		for _, runs := range c.runs {
			for _, run := range runs {
				if run.Started.Before(w.From.Add(noNewWorkAfter)) || !run.Started.Before(w.To) || c.cutOff(run.Started) {
					continue
				}
				if run.Engine == w.Endpoint || run.Version == w.Version || w.Domain != "" && strings.HasSuffix(run.Engine, "-"+w.Domain) {
					c.fail("%s started %q %s after %+v began", run.Engine, run.Prompt, run.Started.Sub(w.From), w)
				}
			}
		}
	}
}

// cutOff reports whether a failure domain was cut off from the others and from the platform at a time, or until less than
// noNewWorkAfter before. No message of a change can reach it then, see docs/partitions.md.
func (c *checker) cutOff(at time.Time) bool {
	if !c.run.cutDomains || !c.run.cutPlatform {
		return false
	}
	return slices.ContainsFunc(c.run.record.cuts, func(w Window) bool {
		return at.After(w.From) && at.Before(w.To.Add(noNewWorkAfter))
	})
}

// checkCrashes: no endpoint crashes from load that it can't bear when cold, and a request that crashes endpoints stops
// after a few.
func (c *checker) checkCrashes() {
	prompts, poisonRequests := 0, 0
	for name, e := range c.run.dep.Engines {
		causes := e.Crashes()
		prompts += causes[standin.CausePrompt]
		if n := causes[standin.CauseCold]; n > 0 {
			c.fail("%s crashed %d times from more load than a cold endpoint bears", name, n)
		}
		if n := causes[standin.CauseMemory]; n > 0 {
			c.fail("%s crashed %d times from the memory of its requests", name, n)
		}
	}
	for _, req := range c.run.record.requests {
		if req.Kind == KindPoison {
			poisonRequests++
		}
	}
	if limit := poisonRequests * poison.MaxCrashes; prompts > limit {
		c.fail("%d crashes from %d poison requests, limit %d", prompts, poisonRequests, limit)
	}
}
