package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/scaling"
)

var _ interface {
	demand(now time.Time) []scaling.Demand
	step(now time.Time, reports []scaling.Report, order func(service, domain string, count int) error)
} = (*serviceScaler)(nil)

// scalingGateway returns a gateway whose service "s" has four endpoints of ten slots in each of two failure domains, with bounds unless nil.
func scalingGateway(bounds *object.Scaling) (*Gateway, *serviceScaler) {
	g := testGateway(&fakeStore{})
	set := object.Set{FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}, {Name: "b", State: object.DomainIn}},
		Services: []object.Service{{Name: "s", Type: object.ServicePlain, Routed: &object.RoutedService{Scaling: bounds}}}}
	g.config.ApplyView(config.Index(config.Revision{Number: 2}, set))
	var list hostlist.List
	for _, domain := range []string{"a", "b"} {
		for i := range 4 {
			id := fmt.Sprintf("%s%d", domain, i)
			list.Hosts = append(list.Hosts, hostlist.Host{ID: id, Role: hostlist.RoleEndpoint, Service: "s", Domain: domain, Addr: id, State: hostlist.StateLive, Slots: 10})
		}
	}
	g.pool.SetHosts(list, time.Now())
	for _, name := range []string{"d0", "d1"} {
		g.view.ownEntries[memberPrefix+name] = kv.Entry{Key: memberPrefix + name, Value: []byte("a")}
	}
	return g, newServiceScaler(g)
}

// Guards against requests that count twice or for a failure domain that did not serve them, and against demand of services without bounds.
func TestDemandOfDaemon(t *testing.T) {
	bounds := &object.Scaling{Minimum: 2, Maximum: 8, BootTime: 4 * time.Second}
	for _, b := range []*object.Scaling{bounds, nil} {
		g, s := scalingGateway(b)
		late := dispatch.RoutedAttempt{Service: "s", Domain: "b", Target: time.Second, Wait: 600 * time.Millisecond, Latency: 500 * time.Millisecond}
		retry, onTime := late, late
		retry.Retry, onTime.Wait = true, 0
		for _, a := range []dispatch.RoutedAttempt{late, retry, onTime} {
			g.countSend(a)
			g.countLate(a)
		}
		g.countRefusal("s")
		got := s.demand(time.Now())
		want := "[{s a 0 0 1 1 0} {s b 0 0 2 0 2}]"
		if b == nil {
			want = "[]"
		}
		if fmt.Sprint(got) != want || len(s.demand(time.Now())) > 0 {
			t.Errorf("%+v, want %s", got, want)
		}
	}
}

// Guards against an order that is lost because its call failed, one that is repeated although it was accepted, a history that goes on after
// another daemon may have held the duty, and reductions while a daemon's reports are missing.
func TestOrdersOfHolder(t *testing.T) {
	g, s := scalingGateway(&object.Scaling{Minimum: 2, Maximum: 8, BootTime: 4 * time.Second})
	now, orders, failure := time.Now(), "", errors.New("no answer")
	steps := func(n int, reports ...scaling.Report) {
		for range n {
			now = now.Add(time.Second)
			for i := range reports {
				reports[i].At = now
			}
			s.step(now, reports, func(service, domain string, count int) error {
				orders += fmt.Sprint(service, domain, count, " ")
				return failure
			})
		}
	}
	full := scaling.Report{Daemon: "d1", Demands: []scaling.Demand{{Service: "s", Domain: "a", InFlight: 36, Arrived: 36}}}
	steps(4, scaling.Report{Daemon: "d0"}, full)
	now = now.Add(2 * termGap)
	if steps(4, scaling.Report{Daemon: "d0"}, full); orders != "" {
		t.Errorf("ordered after a short time in each of two terms: %s", orders)
	}
	steps(2, scaling.Report{Daemon: "d0"}, full)
	failure = nil
	if steps(6, scaling.Report{Daemon: "d0"}, full); orders != strings.Repeat("sa5 ", 3) {
		t.Errorf("orders %s, want two that fail and one that is accepted", orders)
	}
	var out bytes.Buffer
	if g.spec.Metrics.Write(&out); !strings.Contains(out.String(), `bramley_endpoints_wanted{service="s",domain="a"}`) {
		t.Error("no metric of the endpoints wanted")
	}
	orders = ""
	if steps(30, scaling.Report{Daemon: "d0"}); orders != "" {
		t.Errorf("orders %s while reports are missing", orders)
	}
	if steps(30, scaling.Report{Daemon: "d0"}, scaling.Report{Daemon: "d1"}); !strings.Contains(orders, "sb3 sb2 ") {
		t.Errorf("orders %s without load", orders)
	}
}
