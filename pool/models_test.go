package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// Guards against estimates, and messages with them, that grow with the names of models that callers send.
func TestEstimatesAreBoundedByNames(t *testing.T) {
	p := routedPool("d0", 1, 3, 18, time.Unix(999, 0), nil)
	now := time.Unix(1000, 0)
	for n := range 10_000 {
		q := routedQuery(fmt.Sprintf("m-%d-%s", n, strings.Repeat("x", n%200)), 10)
		r, _, ok := p.Pick(q, now)
		if !ok {
			t.Fatal("no endpoint")
		}
		r.RecordRoutedHeader(time.Millisecond, true, nil, 0, now)
		r.Release(Succeeded, now)
	}
	for _, list := range [][]Estimate{p.Estimates(now)} {
		if len(list) > maxUnnamedModels+1 {
			t.Errorf("%d estimates, want at most %d", len(list), maxUnnamedModels+1)
		}
		for _, e := range list {
			if len(e.Model) > maxModelName {
				t.Errorf("the name of a model has %d bytes", len(e.Model))
			}
		}
	}
	peers := make([]Estimate, maxPeerEstimates)
	for i := range peers {
		peers[i] = Estimate{Service: "llm", Model: fmt.Sprintf("peer-%d", i), Requests: 1}
	}
	p.SetPeerEstimates("a", peers, now)
	if n := len(p.estimates.totals); n > maxUnnamedModels+1 {
		t.Errorf("%d totals with the estimates of another daemon, want at most %d", n, maxUnnamedModels+1)
	}
}

// Guards against a model of an endpoint that loses its own estimate because callers have sent many other names.
func TestModelsOfEndpointsKeepTheirEstimates(t *testing.T) {
	p := routedPool("d0", 1, 3, 18, time.Unix(999, 0), nil)
	for n := range 100 {
		p.CountedModel("llm", fmt.Sprint("other-", n))
	}
	if got := p.CountedModel("llm", "late"); got != OtherModel {
		t.Errorf("a model that nobody names is counted as %q", got)
	}
	list := hostlist.List{Revision: 9}
	for _, h := range p.list.Hosts {
		h.Models = []string{"late"}
		list.Hosts = append(list.Hosts, h)
	}
	p.SetHosts(list, time.Unix(1001, 0))
	if got := p.CountedModel("llm", "late"); got != "late" {
		t.Errorf("a model of an endpoint is counted as %q", got)
	}
}
