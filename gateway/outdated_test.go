package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/result"
)

// noCaller is a caller that drops its answer.
type noCaller struct{}

func (noCaller) Begin(int, http.Header) error         { return nil }
func (noCaller) Write(b []byte) (int, error)          { return len(b), nil }
func (noCaller) End() error                           { return nil }
func (noCaller) Reply(int, http.Header, []byte) error { return nil }

// Guards against a route of a newer configuration that a daemon denies for good because it can't read the store, or has not yet read what
// it was notified of.
func TestUnknownRouteIsNotDeniedWhileBehind(t *testing.T) {
	const propagation = 2 * time.Second
	code := func(g *Gateway) result.Code {
		return result.From(g.newPipeline().Route(context.Background(), &pipeline.Request{ID: "r", Path: "/new", Meta: &pipeline.Metadata{Host: "new.example"}}, noCaller{})).Code
	}
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{Store: memkv.New(), noWait: true}
		g := testGateway(store)
		g.spec.Propagation = propagation
		go g.view.run()
		defer g.cancel()
		time.Sleep(5 * propagation)
		if c := code(g); c != result.UnknownService {
			t.Errorf("code %v while the store answers, want %v", c, result.UnknownService)
		}
		g.view.receive(notice.Message{From: "d1", PolledAt: 1, After: numbered(0), Revision: numbered(9), Changes: []notice.Change{{Key: "op", Revision: numbered(9)}}})
		store.set(true, nil)
		time.Sleep(propagation + watchTimeout)
		if c := code(g); c != result.OutdatedConfig {
			t.Errorf("code %v after the store was lost, want %v", c, result.OutdatedConfig)
		}
		store.set(false, nil)
		time.Sleep(2*propagation + watchTimeout)
		if c := code(g); c != result.UnknownService {
			t.Errorf("code %v after the store's return, want %v", c, result.UnknownService)
		}
	})
}

// Guards against a final word on a route while a daemon still reads the document that it was notified of.
func TestPendingDocumentMayAllowMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowLinkStore{Store: memkv.New(), readTime: 300 * time.Millisecond}
		before := store.publish(t, "a")
		g := testGateway(store)
		g.spec.Documents, g.spec.Propagation = versionedDocuments{}, 2*time.Second
		go g.view.run()
		defer g.cancel()
		time.Sleep(5 * time.Second)
		if g.view.mayBeBehind() {
			t.Error("behind before the change")
		}
		rev := store.publish(t, "ab")
		g.view.receive(notice.Message{From: "d1", PolledAt: time.Now().UnixNano(), After: before, Revision: rev, Changes: []notice.Change{{Key: versionedKey, Revision: rev}}})
		time.Sleep(100 * time.Millisecond)
		if !g.view.mayBeBehind() {
			t.Error("not behind while the document is read")
		}
		time.Sleep(3 * time.Second)
		if g.view.mayBeBehind() || g.config.Revision().Number != 2 {
			t.Errorf("behind %t with version %d after the document was read", g.view.mayBeBehind(), g.config.Revision().Number)
		}
	})
}
