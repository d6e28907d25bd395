package local

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/rollout"
	"github.com/bramleytrail/bramleytrail/standin"
)

// killHolder waits until a daemon holds a duty, kills that daemon and removes it from the deployment.
func killHolder(ctx context.Context, t *testing.T, d *Deployment, dutyName string) {
	t.Helper()
	holds := func(dm *daemon.Daemon) bool { return dm.State().Decisions.Duties[dutyName] != 0 }
	if err := Wait(ctx, func() bool { return slices.ContainsFunc(d.Daemons, holds) }); err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(d.Daemons, holds)
	d.Daemons[i].Kill()
	d.Daemons = slices.Delete(d.Daemons, i, i+1)
}

// waitDecisions waits until cond holds for the decision state of every daemon. event describes it in the failure message.
func waitDecisions(ctx context.Context, t *testing.T, d *Deployment, event string, cond func(daemon.DecisionState) bool) {
	t.Helper()
	if err := Wait(ctx, func() bool {
		return !slices.ContainsFunc(d.Daemons, func(dm *daemon.Daemon) bool { return !cond(dm.State().Decisions) })
	}); err != nil {
		t.Fatalf("%s did not reach every daemon: %v", event, err)
	}
}

// addRatings adds n ratings of one version to the rating source.
func addRatings(d *Deployment, version string, score float64, n int) {
	for i := range n {
		d.Platform.Ratings.Add(rating.Rating{RequestID: fmt.Sprint(i), Version: version, Kind: "default", Score: score})
	}
}

// Guards against ratings that don't change the choice of versions at every daemon. Also guards against ratings that are
// lost or counted twice when the holder of the rating duty is killed or the response to its write is lost.
func TestRatingsChangeTheChoice(t *testing.T) {
	ctx, d := startSample(t, 3, fastEngine)
	rated := func(n uint64) func(daemon.DecisionState) bool {
		return func(s daemon.DecisionState) bool { return s.Quality != nil && s.Quality.Totals[SampleSmall].Rated >= n }
	}
	addRatings(d, SampleSmall, 0.3, 40)
	waitDecisions(ctx, t, d, "first ratings", rated(40))
	d.Platform.KV.Faults.LoseReplies(1)
	addRatings(d, SampleSmall, 0.2, 10)
	killHolder(ctx, t, d, "rating")
	addRatings(d, SampleSmall, 0.2, 30)
	waitDecisions(ctx, t, d, "ratings read by the next holder", rated(80))
	for i, dm := range d.Daemons {
		if got := dm.State().Decisions.Quality.Totals[SampleSmall].Rated; got != 80 {
			t.Errorf("daemon %d counts %d ratings, want 80", i, got)
		}
		a, err := sampleClient(d, i).Chat(ctx, ChatBody("auto", "after the ratings", true), nil)
		if err != nil {
			t.Fatal(err)
		}
		if v := a.Header.Get(relay.HeaderVersion); v != SampleLarge {
			t.Errorf("daemon %d chose %s, which is rated far below the quality target", i, v)
		}
	}
	drainAll(ctx, t, d)
}

// rolloutSet returns the sample configuration with a rollout from the small model's first version to a second one.
func rolloutSet(attempt int) object.Set {
	set := SampleSet()
	next := set.Versions[0]
	next.Name = "small-2"
	set.Versions = append(set.Versions, next)
	set.Rollouts = []object.Rollout{{Name: "small", Model: "small", From: SampleSmall, To: "small-2", Steps: []float64{0.3, 1}, Attempt: attempt}}
	return set
}

// addRegressedVersion starts engines of the rollout's new version that fail every second request. runs returns the
// number of requests they ran; stopFailures makes them healthy.
func addRegressedVersion(t *testing.T, d *Deployment) (runs func() int, stopFailures func()) {
	t.Helper()
	var regressed []*standin.Engine
	for _, domain := range []string{SampleDomainA, SampleDomainB} {
		spec := fastEngine
		spec.Name, spec.Versions = "small-2-"+domain, []string{"small-2"}
		e, err := d.AddEngine(domain, SampleLLM, spec)
		if err != nil {
			t.Fatal(err)
		}
		e.FailEvery(2)
		regressed = append(regressed, e)
	}
	runs = func() int { return len(regressed[0].Runs()) + len(regressed[1].Runs()) }
	return runs, func() { regressed[0].FailEvery(0); regressed[1].FailEvery(0) }
}

// isHalted reports whether the rollout of the small model is halted.
func isHalted(s daemon.DecisionState) bool { return s.Rollouts["small"].Halted }

// newChatSender returns a function that sends one request on each call, to the daemons in turn.
func newChatSender(ctx context.Context, t *testing.T, d *Deployment) func() {
	sent := 0
	return func() {
		sent++
		a, err := sampleClient(d, sent%len(d.Daemons)).Chat(ctx, ChatBody("auto", fmt.Sprint(sent), true), nil)
		if err != nil || a.Status != http.StatusOK {
			t.Fatalf("request %d: status %d, %v", sent, a.Status, err)
		}
	}
}

// publishRollout publishes rolloutSet and waits until each daemon has it and knows the endpoints of both versions.
func publishRollout(ctx context.Context, t *testing.T, d *Deployment, attempt int) {
	t.Helper()
	rev, err := d.Publish(ctx, rolloutSet(attempt))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitEndpoints(ctx, 8); err != nil {
		t.Fatal(err)
	}
}

// Guards against a regressed version that stays in service at some daemon, against evidence that is lost when the
// holder of the rollout duty is killed, against a halt that the next holder or a new daemon reverts, and against a
// halted rollout that an operator can't restart.
func TestBadVersionIsHaltedEverywhere(t *testing.T) {
	ctx, d := startSample(t, 3, fastEngine)
	runs, stopFailures := addRegressedVersion(t, d)
	chat := newChatSender(ctx, t, d)
	publishRollout(ctx, t, d, 0)
	if err := Wait(ctx, func() bool { chat(); return runs() >= 4 }); err != nil {
		t.Fatal("the rollout did not start: ", err)
	}
	killHolder(ctx, t, d, "rollout")
	if err := Wait(ctx, func() bool { chat(); return isHalted(d.Daemons[0].State().Decisions) }); err != nil {
		t.Fatal("rollout not halted: ", err)
	}
	waitDecisions(ctx, t, d, "halt", isHalted)
	killHolder(ctx, t, d, "rollout")
	if _, err := d.AddDaemon(d.Settings("entry-9", SampleDomainB)); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitEndpoints(ctx, 8); err != nil {
		t.Fatal(err)
	}
	before := runs()
	for range 60 {
		chat()
	}
	if n := runs() - before; n > 0 {
		t.Errorf("%d requests ran on the halted version after two holders of the duty were killed, want 0", n)
	}
	stopFailures()
	publishRollout(ctx, t, d, 1)
	if err := Wait(ctx, func() bool { chat(); return runs() > before }); err != nil {
		t.Error("the operator's new attempt did not start: ", err)
	}
	drainAll(ctx, t, d)
}

// Guards against a halt that is delayed while the key-value store is unavailable, or that is not stored after it
// recovers.
func TestHaltDuringStoreOutage(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	t.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	d.DutyTTL = time.Minute // so that the lease does not expire in the outage
	if err := DeploySample(ctx, d, 2, fastEngine); err != nil {
		t.Fatal(err)
	}
	runs, _ := addRegressedVersion(t, d)
	chat := newChatSender(ctx, t, d)
	publishRollout(ctx, t, d, 0)
	if err := Wait(ctx, func() bool { chat(); return runs() > 0 && d.Daemons[0].State().Decisions.RolloutHolder != "" }); err != nil {
		t.Fatal(err)
	}
	d.Platform.KV.Faults.SetDown(true)
	if err := Wait(ctx, func() bool { chat(); return isHalted(d.Daemons[0].State().Decisions) }); err != nil {
		t.Fatal("rollout not halted during the outage: ", err)
	}
	waitDecisions(ctx, t, d, "halt during the outage", isHalted)
	d.Platform.KV.Faults.SetDown(false)
	if err := Wait(ctx, func() bool {
		_, body, err := duty.ReadState(ctx, d.Platform.KV, "state/rollout")
		s, decodeErr := rollout.DecodeState(body)
		return err == nil && decodeErr == nil && s.Records["small"].Halted
	}); err != nil {
		t.Error("the halt was not stored after the outage: ", err)
	}
	drainAll(ctx, t, d)
}

// Guards against a cascade that delivers a low-confidence answer, in whole or in part, instead of escalating, and
// against a bill that omits one of the calls.
func TestCascadeEscalatesAndBillsOnce(t *testing.T) {
	spec := fastEngine
	spec.Confidence = 0.3
	ctx, d := startSample(t, 1, spec)
	set := SampleSet()
	set.Cascades = []object.Cascade{{Name: "climb", Steps: []string{"small", "large"}, MinConfidence: 0.6}}
	set.Teams[0].Cascade, set.Teams[0].QualityTarget = "climb", 0.8
	rev, err := d.Publish(ctx, set)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
	for _, stream := range []bool{true, false} {
		a, err := sampleClient(d, 0).Chat(ctx, ChatBody("auto", "doubtful", stream), nil)
		if err != nil {
			t.Fatal(err)
		}
		if want := standin.Answer(SampleLarge, MessagesJSON("doubtful"), 24); a.Text != want {
			t.Errorf("stream %t: text %q; want only the large model's answer", stream, a.Text)
		}
		if got := a.Header.Get(relay.HeaderVersion); got != "climb/"+SampleLarge {
			t.Errorf("stream %t: version header %s, want the cascade's name and the large version", stream, got)
		}
	}
	drainAll(ctx, t, d)
	bills, err := ledger.Read(context.Background(), d.Platform.KV)
	if err != nil || len(bills) != 2 {
		t.Fatalf("%d bills for 2 requests, error %v", len(bills), err)
	}
	for _, b := range bills {
		if len(b.Calls) != 2 || b.Calls[0].Version != SampleSmall || b.Calls[1].Version != SampleLarge || b.Calls[0].Output == 0 {
			t.Errorf("bill with calls %+v; want a call of each model, the small model's with output tokens", b.Calls)
		}
	}
}
