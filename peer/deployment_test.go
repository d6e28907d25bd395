package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/poison"
)

// copyCounter is a handler that counts the copies of bills that it receives.
type copyCounter struct {
	handler
	copies int
}

func (c *copyCounter) KeepBills(ledger.Copy) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies++
	return "", nil
}

// startNode starts a node of a deployment on the loopback interface, in a failure domain of its own.
func startNode(t *testing.T, id, deployment string, h peer.Handler) (*peer.Node, hostlist.Host) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := hostlist.Host{ID: id, Addr: ln.Addr().String(), Role: hostlist.RoleEntry, Domain: id, State: hostlist.StateLive}
	d := peer.DeploymentOf(deployment)
	n, err := peer.New(peer.Spec{
		Self: host, Handler: h, Poison: poison.NewTable(), Log: logrus.New(), Now: time.Now, Dial: d.Dial(peer.DialFrom(ln.Addr())),
	}, d.Listen(ln))
	if err != nil {
		t.Fatal(err)
	}
	n.Start()
	t.Cleanup(n.Close)
	return n, host
}

// Guards against bills that are sent to a daemon of another deployment, which would write them to its own key-value
// store. This can happen when that daemon gets the address of one that no longer exists.
func TestOtherDeploymentIsRejected(t *testing.T) {
	for _, c := range []struct {
		deployment string
		copies     int
	}{{"ours", 1}, {"theirs", 0}} {
		keeper := &copyCounter{}
		_, other := startNode(t, "other", c.deployment, keeper)
		n, self := startNode(t, "self", "ours", &handler{})
		n.SetHosts([]hostlist.Host{self, other})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := n.CopyBills(ctx, ledger.Copy{Bills: []ledger.Bill{{ID: "x"}}})
		if accepted := err == nil; accepted != (c.copies > 0) || keeper.copies != c.copies || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("peer of deployment %q: got %d copies and error %v; want %d copies", c.deployment, keeper.copies, err, c.copies)
		}
	}
}
