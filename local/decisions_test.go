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

// killHolder kills the daemon that holds a duty and removes it from the deployment.
func killHolder(ctx context.Context, t *testing.T, d *Deployment, name string) {
	t.Helper()
	holds := func(dm *daemon.Daemon) bool { return dm.State().Decisions.Duties[name] != 0 }
	if err := Wait(ctx, func() bool { return slices.ContainsFunc(d.Daemons, holds) }); err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(d.Daemons, holds)
	d.Daemons[i].Kill()
	d.Daemons = slices.Delete(d.Daemons, i, i+1)
}

// everywhere waits until a condition holds at every daemon.
func everywhere(ctx context.Context, t *testing.T, d *Deployment, what string, cond func(daemon.DecisionState) bool) {
	t.Helper()
	if err := Wait(ctx, func() bool {
		return !slices.ContainsFunc(d.Daemons, func(dm *daemon.Daemon) bool { return !cond(dm.State().Decisions) })
	}); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func rate(d *Deployment, version string, score float64, n int) {
	for i := range n {
		d.Platform.Ratings.Add(rating.Rating{RequestID: fmt.Sprint(i), Version: version, Kind: "default", Score: score})
	}
}

// Guards against ratings that don't reach the choice at every daemon, and against ratings that are lost or counted twice
// when the holder of the duty is lost and when the response to its write is.
func TestRatingsChangeTheChoice(t *testing.T) {
	ctx, d := startSample(t, 3, fastEngine)
	rated := func(n uint64) func(daemon.DecisionState) bool {
		return func(s daemon.DecisionState) bool { return s.Quality != nil && s.Quality.Totals[SampleSmall].Rated >= n }
	}
	rate(d, SampleSmall, 0.3, 40)
	everywhere(ctx, t, d, "first ratings", rated(40))
	d.Platform.KV.Faults.LoseReplies(1)
	rate(d, SampleSmall, 0.2, 10)
	killHolder(ctx, t, d, "rating")
	rate(d, SampleSmall, 0.2, 30)
	everywhere(ctx, t, d, "ratings read by the next holder", rated(80))
	for i, dm := range d.Daemons {
		if got := dm.State().Decisions.Quality.Totals[SampleSmall].Rated; got != 80 {
			t.Errorf("daemon %d counts %d ratings; 80 were given", i, got)
		}
		a, err := sampleClient(d, i).Chat(ctx, ChatBody("auto", "after the ratings", true), nil)
		if err != nil {
			t.Fatal(err)
		}
		if v := a.Header.Get(relay.HeaderVersion); v != SampleLarge {
			t.Errorf("daemon %d chose %s, which is rated far below the target", i, v)
		}
	}
	drainAll(ctx, t, d)
}

// rolloutSet is the sample with a second version of the small model under roll-out.
func rolloutSet(attempt int) object.Set {
	set := SampleSet()
	next := set.Versions[0]
	next.Name = "small-2"
	set.Versions = append(set.Versions, next)
	set.Rollouts = []object.Rollout{{Name: "small", Model: "small", From: SampleSmall, To: "small-2", Steps: []float64{0.3, 1}, Attempt: attempt}}
	return set
}

// addBadVersion starts engines of the version under roll-out, which fail every second request.
func addBadVersion(t *testing.T, d *Deployment) (runs func() int, mend func()) {
	t.Helper()
	var bad []*standin.Engine
	for _, domain := range []string{SampleDomainA, SampleDomainB} {
		spec := fastEngine
		spec.Name, spec.Versions = "small-2-"+domain, []string{"small-2"}
		e, err := d.AddEngine(domain, SampleLLM, spec)
		if err != nil {
			t.Fatal(err)
		}
		e.FailEvery(2)
		bad = append(bad, e)
	}
	runs = func() int { return len(bad[0].Runs()) + len(bad[1].Runs()) }
	return runs, func() { bad[0].FailEvery(0); bad[1].FailEvery(0) }
}

func isHalted(s daemon.DecisionState) bool { return s.Rollouts["small"].Halted }

// asker returns a function that sends one request, to the daemons in turn.
func asker(ctx context.Context, t *testing.T, d *Deployment) func() {
	asked := 0
	return func() {
		asked++
		a, err := sampleClient(d, asked%len(d.Daemons)).Chat(ctx, ChatBody("auto", fmt.Sprint(asked), true), nil)
		if err != nil || a.Status != http.StatusOK {
			t.Fatalf("request %d: status %d, %v", asked, a.Status, err)
		}
	}
}

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

// Guards against a bad version that stays in service at some daemon, evidence that is lost with the holder of the duty,
// a halt that is undone by a further holder or a restart, and an operator who can't start the roll-out again.
func TestBadVersionIsHaltedEverywhere(t *testing.T) {
	ctx, d := startSample(t, 3, fastEngine)
	runs, mend := addBadVersion(t, d)
	ask := asker(ctx, t, d)
	publishRollout(ctx, t, d, 0)
	if err := Wait(ctx, func() bool { ask(); return runs() >= 4 }); err != nil {
		t.Fatal("the roll-out did not begin: ", err)
	}
	killHolder(ctx, t, d, "rollout")
	if err := Wait(ctx, func() bool { ask(); return isHalted(d.Daemons[0].State().Decisions) }); err != nil {
		t.Fatal("not halted: ", err)
	}
	everywhere(ctx, t, d, "halt", isHalted)
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
		ask()
	}
	if n := runs() - before; n > 0 {
		t.Errorf("%d requests ran on the halted version after two holders were lost", n)
	}
	mend()
	publishRollout(ctx, t, d, 1)
	if err := Wait(ctx, func() bool { ask(); return runs() > before }); err != nil {
		t.Error("the operator's new attempt did not start: ", err)
	}
	drainAll(ctx, t, d)
}

// Guards against a halt that waits for the key-value service, or is not stored once that is back.
func TestHaltDuringStoreOutage(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	t.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	d.DutyTTL = time.Minute // the lease outlives the outage
	if err := Sample(ctx, d, 2, fastEngine); err != nil {
		t.Fatal(err)
	}
	runs, _ := addBadVersion(t, d)
	ask := asker(ctx, t, d)
	publishRollout(ctx, t, d, 0)
	if err := Wait(ctx, func() bool { ask(); return runs() > 0 && d.Daemons[0].State().Decisions.RolloutHolder != "" }); err != nil {
		t.Fatal(err)
	}
	d.Platform.KV.Faults.SetDown(true)
	if err := Wait(ctx, func() bool { ask(); return isHalted(d.Daemons[0].State().Decisions) }); err != nil {
		t.Fatal("not halted: ", err)
	}
	everywhere(ctx, t, d, "halt during the outage", isHalted)
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

// Guards against a doubtful answer that is delivered, in whole or in part, and against a bill that leaves out a call.
func TestCascadeClimbsAndBillsOnce(t *testing.T) {
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
		if want := standin.Answer(SampleLarge, Messages("doubtful"), 24); a.Text != want {
			t.Errorf("stream %t: text %q; want only the large model's", stream, a.Text)
		}
		if got := a.Header.Get(relay.HeaderVersion); got != "climb/"+SampleLarge {
			t.Errorf("stream %t: rated as %s", stream, got)
		}
	}
	drainAll(ctx, t, d)
	bills, err := ledger.Read(context.Background(), d.Platform.KV)
	if err != nil || len(bills) != 2 {
		t.Fatalf("%d bills of 2 requests, %v", len(bills), err)
	}
	for _, b := range bills {
		if len(b.Calls) != 2 || b.Calls[0].Version != SampleSmall || b.Calls[1].Version != SampleLarge || b.Calls[0].Output == 0 {
			t.Errorf("bill with calls %+v; want the calls of both models", b.Calls)
		}
	}
}
