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
	// holderTTL is the time for which a daemon that holds copies of bills is announced to although it does not answer.
	holderTTL = 10 * time.Minute
	// maxCopyTargets bounds the daemons that are tried for one copy.
	maxCopyTargets = 3
)

// holder is a daemon that keeps copies of this daemon's bills.
type holder struct {
	last     uint64    // highest batch number that it has copies of
	answered time.Time // last answer to a copy or an announcement
}

// CopyBills implements ledger.Replicator. It prefers daemons of other failure domains, then those of other racks.
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
		h := n.holders[addr]
		n.holders[addr] = holder{last: max(h.last, c.ID.Seq), answered: n.spec.Now()}
		n.mu.Unlock()
		return reply.Holder, nil
	}
	return "", err
}

// AnnounceBills implements ledger.Replicator. The daemons are told in parallel, so that one that has gone silent does
// not keep the others waiting.
func (n *Node) AnnounceBills(ctx context.Context, c ledger.Copy) []string {
	n.mu.Lock()
	var addrs []string
	for addr := range n.holders {
		addrs = append(addrs, addr)
	}
	n.mu.Unlock()
	names := make([]string, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { names[i] = n.announceTo(ctx, addr, c) })
	}
	wg.Wait()
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}

// announceTo returns the incarnation of the daemon, or "" if it does not answer. A daemon whose copies are all stored is
// told once and then forgotten.
func (n *Node) announceTo(ctx context.Context, addr string, c ledger.Copy) string {
	var reply BillsReply
	err := n.link(addr).call(ctx, callTimeout, "CopyBills", newBillsArgs(c), &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.holders[addr]
	switch {
	case !ok:
	case err != nil:
		n.spec.Log.WithError(err).Debug("bill announcement not delivered")
		if n.spec.Now().Sub(h.answered) > holderTTL {
			delete(n.holders, addr)
		}
	case h.last < c.Written:
		delete(n.holders, addr)
	default:
		h.answered = n.spec.Now()
		n.holders[addr] = h
	}
	if err != nil {
		return "" // a late answer may still be written to the reply
	}
	return reply.Holder
}

func (n *Node) copyTargets() []string {
	now := n.spec.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	add := func(list []member, ok func(member) bool) {
		for _, m := range list {
			if len(out) < maxCopyTargets && ok(m) && !slices.Contains(out, m.Addr) && !n.linkLocked(m.Addr).down(now) {
				out = append(out, m.Addr)
				return
			}
		}
	}
	for range 2 { // with few other domains, a second daemon of each: the first may have just failed
		for _, d := range domainsAfter(n.spec.Self.Domain, n.top.remote) {
			add(n.top.remote[d], func(m member) bool { return m.State == hostlist.StateLive })
		}
	}
	add(n.top.ring, func(m member) bool { return m.Rack != n.spec.Self.Rack })
	add(n.top.ring, func(member) bool { return true })
	return out
}
