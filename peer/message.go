package peer

import (
	"strings"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// serviceName is the net/rpc service of every daemon.
const serviceName = "Peer"

// digestLength is the number of hex digits of a digest in a message. It tells versions with the same number apart. With
// full digests, the exchange took 1,440 bytes a second of a daemon's budget of 5,000.
const digestLength = 16

// DocumentID identifies one version of a document.
type DocumentID struct {
	Name   string
	Number uint64
	Digest string // hex digest of the content; Node keeps its first digestLength digits
}

// short returns id with a shortened digest.
func (id DocumentID) short() DocumentID {
	id.Digest = id.Digest[:min(len(id.Digest), digestLength)]
	return id
}

// Matches reports whether digest, a full hex digest of content, is the one that id names.
func (id DocumentID) Matches(digest string) bool {
	return len(id.Digest) >= digestLength && strings.HasPrefix(digest, id.Digest)
}

// Newer reports whether id replaces other.
func (id DocumentID) Newer(other DocumentID) bool {
	if id.Number != other.Number {
		return id.Number > other.Number
	}
	return id.short().Digest > other.short().Digest
}

// Document is one version of a document. In a message, Base and Diff may take the place of Body.
type Document struct {
	DocumentID
	Body []byte
	Base DocumentID // version that Diff starts from
	Diff []byte
}

// DigestArgs tells a peer which documents the sender has.
type DigestArgs struct {
	ID     string // sender's identity in the host list
	Domain string // sender's failure domain
	From   string // peer address of the sender
	Docs   []DocumentID
	// Watchers is the number of daemons up to the sender's rank that watch the platform's services for the domain.
	Watchers int
	// Starting asks for all crash records.
	Starting bool
}

// DigestReply tells which documents the receiver has.
type DigestReply struct {
	Docs []DocumentID
	// Want names the documents that the sender should give.
	Want    []string
	Crashes []poison.Record
}

// GiveArgs carries a document that the receiver wants.
type GiveArgs struct {
	From string // peer address of the sender
	Doc  Document
}

// FetchArgs asks for a document, or for the difference against the version Have.
type FetchArgs struct {
	Name string
	Have DocumentID
}

// CrashArgs spreads crash records.
type CrashArgs struct{ Records []poison.Record }

// BillsArgs carries copies of bills. Daemons of earlier versions send them in Copy, others in Packed.
type BillsArgs struct {
	Copy   ledger.Copy
	Packed packedBills
}

func newBillsArgs(c ledger.Copy) BillsArgs {
	packed := packBills(c.Bills, c.ID.Incarnation)
	c.Bills = nil
	return BillsArgs{Copy: c, Packed: packed}
}

func (a BillsArgs) copy() (ledger.Copy, error) {
	bills, err := a.Packed.unpack(a.Copy.ID.Incarnation)
	c := a.Copy
	c.Bills = append(c.Bills, bills...)
	return c, err
}

// BillsReply names the incarnation that keeps the copies. A daemon that was started again has lost them and has another.
type BillsReply struct{ Holder string }

// EvidenceArgs carries what a daemon has counted of versions under roll-out.
type EvidenceArgs struct{ Evidence rollout.Evidence }

// AnswersArgs carries what a daemon has counted of its answers.
type AnswersArgs struct{ Report quality.Report }

// Empty is a reply without content.
type Empty struct{}
