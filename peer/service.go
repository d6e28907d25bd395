package peer

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/poison"
)

// service holds the methods that other daemons call.
type service struct{ node *Node }

// Digest compares documents with a peer. If the peer has newer ones, they are fetched in the background.
func (s *service) Digest(args DigestArgs, reply *DigestReply) error {
	n := s.node
	reply.Docs = n.Documents()
	if args.Starting {
		reply.Crashes = n.spec.Poison.Records(n.spec.Now())
	}
	n.background(func() { n.fetchNewer(args.From, args.Docs) })
	return nil
}

// Fetch returns a document.
func (s *service) Fetch(args FetchArgs, reply *Document) error {
	d, ok := s.node.Document(args.Name)
	if !ok {
		return fmt.Errorf("no document %q", args.Name)
	}
	*reply = d
	return nil
}

// Crash takes crash records and passes on those that are new.
func (s *service) Crash(args CrashArgs, _ *Empty) error {
	n := s.node
	var fresh []poison.Record
	for _, r := range args.Records {
		if n.spec.Poison.Add(r, n.spec.Now()) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) > 0 {
		n.spread(fresh)
	}
	return nil
}

// CopyBills keeps copies of a peer's bills.
func (s *service) CopyBills(args BillsArgs, _ *Empty) error {
	s.node.spec.Handler.KeepBills(args.Copy)
	return nil
}

// Evidence takes a daemon's counts of versions under roll-out. It fails if this daemon does not hold the duty.
func (s *service) Evidence(args EvidenceArgs, _ *Empty) error {
	return s.node.spec.Handler.TakeEvidence(args.Evidence)
}
