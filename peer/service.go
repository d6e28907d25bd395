package peer

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/poison"
)

// service holds the methods that other daemons call.
type service struct{ node *Node }

// Digest compares documents with a peer and asks it for those that it has newer.
func (s *service) Digest(args DigestArgs, reply *DigestReply) error {
	n := s.node
	reply.Docs = n.Documents()
	if args.Domain == n.spec.Self.Domain {
		n.mu.Lock()
		n.watch.heard(args.ID, args.Watchers, n.spec.Now())
		n.mu.Unlock()
	}
	if args.Starting {
		reply.Crashes = n.spec.Poison.Records(n.spec.Now())
	}
	reply.Want = n.want(args.From, args.Docs)
	return nil
}

// Give takes a document.
func (s *service) Give(args GiveArgs, _ *Empty) error {
	return s.node.take(args.Doc, args.From)
}

// Fetch returns a document.
func (s *service) Fetch(args FetchArgs, reply *Document) error {
	d, ok := s.node.documentFor(args.Name, args.Have)
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
func (s *service) CopyBills(args BillsArgs, reply *BillsReply) error {
	c, err := args.copy()
	if err != nil {
		return err
	}
	holder, err := s.node.spec.Handler.KeepBills(c)
	reply.Holder = holder
	return err
}

// Evidence takes a daemon's counts of versions under roll-out. It fails if this daemon does not hold the duty.
func (s *service) Evidence(args EvidenceArgs, _ *Empty) error {
	return s.node.spec.Handler.TakeEvidence(args.Evidence)
}

// Answers takes a daemon's counts of its answers. It fails if this daemon does not hold the duty.
func (s *service) Answers(args AnswersArgs, _ *Empty) error {
	return s.node.spec.Handler.TakeAnswers(args.Report)
}
