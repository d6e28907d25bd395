package peer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
)

const (
	// copyHolderTTL is the time after the last answer of a daemon that holds copies of bills for which announcements are
	// still sent to it.
	copyHolderTTL = 10 * time.Minute
	// maxCopyTargets limits how many daemons are tried for one copy.
	maxCopyTargets = 3
)

// copyHolder is a daemon that holds copies of this daemon's bills.
type copyHolder struct {
	lastSeq    uint64    // highest sequence number of the batches of which it has copies
	lastAnswer time.Time // time of its last answer to a copy or an announcement
}

// CopyBills implements ledger.Replicator. It tries up to maxCopyTargets daemons, preferably in other failure domains,
// then in other racks, and returns the incarnation of the first that has kept the copy. It returns ErrNoPeer if there
// is no daemon to try, otherwise the error of the last attempt.
func (n *Node) CopyBills(ctx context.Context, c ledger.Copy) (string, error) {
	err := ErrNoPeer
	for _, addr := range n.copyTargets() {
		if err := cmp.Or(ctx.Err(), n.ctx.Err()); err != nil {
			return "", err
		}
		var reply BillsReply
		if err = n.link(addr).call(ctx, callTimeout, "CopyBills", newBillsArgs(c), &reply); err != nil {
			continue
		}
		n.mu.Lock()
		h := n.copyHolders[addr]
		n.copyHolders[addr] = copyHolder{lastSeq: max(h.lastSeq, c.ID.Seq), lastAnswer: n.spec.Now()}
		n.mu.Unlock()
		return reply.Holder, nil
	}
	return "", err
}

// AnnounceBills implements ledger.Replicator. It calls the daemons that hold copies in parallel, so that one that
// doesn't respond does not delay the others, and returns the incarnations of those that answered.
func (n *Node) AnnounceBills(ctx context.Context, c ledger.Copy) []string {
	n.mu.Lock()
	var addrs []string
	for addr := range n.copyHolders {
		addrs = append(addrs, addr)
	}
	n.mu.Unlock()
	incarnations := make([]string, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { incarnations[i] = n.announceTo(ctx, addr, c) })
	}
	wg.Wait()
	return slices.DeleteFunc(incarnations, func(incarnation string) bool { return incarnation == "" })
}

// announceTo sends an announcement to the daemon at addr and returns its incarnation, or "" if the call fails. A daemon
// that has answered an announcement by which all the bills it holds are in the key-value store is removed from the
// holders.
func (n *Node) announceTo(ctx context.Context, addr string, c ledger.Copy) string {
	var reply BillsReply
	err := n.link(addr).call(ctx, callTimeout, "CopyBills", newBillsArgs(c), &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.copyHolders[addr]
	switch {
	case !ok:
	case err != nil:
		n.spec.Log.WithError(err).Debug("announcement of bills not delivered to the daemon that holds copies")
		if n.spec.Now().Sub(h.lastAnswer) > copyHolderTTL {
			delete(n.copyHolders, addr)
		}
	case h.lastSeq < c.Written:
		delete(n.copyHolders, addr)
	default:
		h.lastAnswer = n.spec.Now()
		n.copyHolders[addr] = h
	}
	if err != nil {
		return "" // reply must not be read: a late answer may still be written to it
	}
	return reply.Holder
}

// copyTargets returns the addresses of up to maxCopyTargets daemons that are up, in the order in which CopyBills tries
// them.
func (n *Node) copyTargets() []string {
	now := n.spec.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	add := func(list []member, ok func(member) bool) {
		for _, m := range list {
			if len(out) < maxCopyTargets && ok(m) && !slices.Contains(out, m.Addr) && !n.linkLocked(m.Addr).isDown(now) {
				out = append(out, m.Addr)
				return
			}
		}
	}
	for range 2 { // with few other failure domains, adds a second daemon of each, as the first may have just failed
		for _, d := range domainsAfter(n.spec.Self.Domain, n.topology.remote) {
			add(n.topology.remote[d], func(m member) bool { return m.State == hostlist.StateLive })
		}
	}
	add(n.topology.ring, func(m member) bool { return m.Rack != n.spec.Self.Rack })
	add(n.topology.ring, func(member) bool { return true })
	return out
}
