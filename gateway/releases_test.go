package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/release"
)

// writableStore is a fakeStore that accepts every write.
type writableStore struct{ fakeStore }

// CAS implements kv.Store.
func (*writableStore) CAS(context.Context, string, []byte, uint64, kv.LeaseID) (uint64, error) {
	return 1, nil
}

// Guards against a data race between a daemon that writes the state of a release and a message that changes the release's
// phase. The race detector reports it.
func TestDecisionWrittenWhilePhaseChanges(t *testing.T) {
	for range 200 {
		g := testGateway(&writableStore{})
		rel := &object.Release{Service: "s", TargetVersion: "v2", Order: 1, Duration: time.Second, State: object.ReleaseRunning}
		tracked := g.releases.track(rel, time.Now())
		start := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			<-start
			g.releases.receive(notice.Message{Service: "s", Order: 1, Phase: string(release.Promoted)})
		})
		wg.Go(func() {
			<-start
			g.releases.writeDecision(rel, tracked, release.Canary)
		})
		close(start)
		wg.Wait()
	}
}
