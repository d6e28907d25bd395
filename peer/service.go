package peer

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/poison"
)

// service implements the methods that other daemons call through net/rpc.
type service struct{ node *Node }

// Digest compares the node's documents with those of a peer and requests those of which the peer has newer versions.
func (s *service) Digest(args DigestArgs, reply *DigestReply) error {
	n := s.node
	reply.Docs = n.Documents()
	if args.Domain == n.spec.Self.Domain {
		n.mu.Lock()
		n.election.recordReport(args.ID, args.Watchers, n.spec.Now())
		n.mu.Unlock()
	}
	if args.Starting {
		reply.Crashes = n.spec.Poison.Records(n.spec.Now())
	}
	reply.Want = n.requestNewer(args.From, args.Docs)
	return nil
}

// Give receives a document that the node has requested in its reply to a digest. It returns an error if the node
// rejects the document.
func (s *service) Give(args GiveArgs, _ *Empty) error {
	return s.node.receiveDocument(args.Doc, args.From)
}

// Fetch returns the node's version of a document, or its difference from the version that the caller has.
func (s *service) Fetch(args FetchArgs, reply *Document) error {
	d, ok := s.node.documentFor(args.Name, args.Have)
	if !ok {
		return fmt.Errorf("no document %q", args.Name)
	}
	*reply = d
	return nil
}

// Crash adds crash records and forwards those that are new to the node's peers, with what this node knows in favor of their prompt parts.
func (s *service) Crash(args CrashArgs, _ *Empty) error {
	n := s.node
	var fresh []poison.Record
	for _, r := range args.Records {
		if n.spec.Poison.Add(r, n.spec.Now()) {
			fresh = append(append(fresh, r), n.spec.Poison.Parts.Known(r)...)
		}
	}
	if len(fresh) > 0 {
		n.broadcastCrashes(fresh)
	}
	return nil
}

// CopyBills keeps copies of another daemon's bills.
func (s *service) CopyBills(args BillsArgs, reply *BillsReply) error {
	c, err := args.ledgerCopy()
	if err != nil {
		return err
	}
	holder, err := s.node.spec.Handler.KeepBills(c)
	reply.Holder = holder
	return err
}

// Evidence receives another daemon's counts of calls. It returns an error if this daemon doesn't evaluate rollouts.
func (s *service) Evidence(args EvidenceArgs, _ *Empty) error {
	return s.node.spec.Handler.TakeEvidence(args.Evidence)
}

// Answers receives another daemon's counts of answers. It returns an error if this daemon doesn't read ratings.
func (s *service) Answers(args AnswersArgs, _ *Empty) error {
	return s.node.spec.Handler.TakeAnswers(args.Report)
}
