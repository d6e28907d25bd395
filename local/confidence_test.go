package local

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/relay"
)

// Guards against answer confidences that don't reach the holder of the rating duty from another daemon, or that are not
// joined with the ratings that arrive later.
func TestConfidenceReachesTheEstimates(t *testing.T) {
	const (
		answers    = 12
		confidence = 0.8
		reportWait = time.Second // of the fake clock, ten report intervals
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), watchdog)
		defer cancel()
		d, err := NewInMemory(nil)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Stop()
		spec := fastEngine
		spec.Confidence = confidence
		if err := DeploySample(ctx, d, 2, spec); err != nil {
			t.Fatal(err)
		}
		cell := func(s daemon.DecisionState) (c quality.Cell) {
			if s.Quality != nil {
				c = s.Quality.Cells["default"][SampleSmall]
			}
			return c
		}
		addRatings(d, SampleSmall, 0.7, 1) // answers of kinds without ratings are not counted
		waitDecisions(ctx, t, d, "first rating", func(s daemon.DecisionState) bool { return cell(s).N > 0 })
		var requestIDs []string
		for i := range answers {
			client := d.NewClient(d.Daemons[i%len(d.Daemons)].Addr(), SampleKey)
			a, err := client.Chat(ctx, ChatBody("small", "hello", true), nil)
			if err != nil {
				t.Fatal(err)
			}
			requestIDs = append(requestIDs, a.Header.Get(relay.HeaderRequestID))
			client.HTTP.CloseIdleConnections()
		}
		time.Sleep(reportWait)
		for _, id := range requestIDs {
			d.Platform.Ratings.Add(rating.Rating{RequestID: id, Version: SampleSmall, Kind: "default", Score: 0.7})
		}
		waitDecisions(ctx, t, d, "ratings", func(s daemon.DecisionState) bool { return cell(s).N > answers+0.5 })
		for _, dm := range d.Daemons {
			c := cell(dm.State().Decisions)
			if c.Paired.N < answers-0.5 || c.Answers.N < answers-0.5 {
				t.Errorf("%.2f of %d ratings are joined with a confidence, %.2f answers are counted", c.Paired.N, answers, c.Answers.N)
			}
			if mean := c.Paired.X / c.Paired.N; mean < confidence-0.01 || mean > confidence+0.01 {
				t.Errorf("mean confidence %.3f; want %.1f, as the engines reported", mean, confidence)
			}
		}
		drainAll(ctx, t, d)
	})
}
