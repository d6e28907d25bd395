package peer

import (
	"strings"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// serviceName is the name under which every daemon registers its net/rpc service.
const serviceName = "Peer"

// digestLength is the number of hex digits to which digests of documents are shortened in messages. They only have to
// distinguish versions with the same number. With full digests, the exchange took 1,440 bytes a second of a daemon's
// budget of 5,000.
const digestLength = 16

// DocumentID identifies one version of a document.
type DocumentID struct {
	Name   string
	Number uint64 // version number; a higher one is newer
	Digest string // hex digest of the content; Node shortens it to digestLength digits
}

// withShortDigest returns id with its digest shortened to digestLength digits.
func (id DocumentID) withShortDigest() DocumentID {
	id.Digest = id.Digest[:min(len(id.Digest), digestLength)]
	return id
}

// Matches reports whether digest, a full hex digest, begins with the digest of id. It reports false if the digest of id
// has fewer than digestLength digits.
func (id DocumentID) Matches(digest string) bool {
	return len(id.Digest) >= digestLength && strings.HasPrefix(digest, id.Digest)
}

// Newer reports whether id is a newer version than other of the same document. It has the higher number, or, with equal
// numbers, the higher digest, so that all daemons choose the same version.
func (id DocumentID) Newer(other DocumentID) bool {
	if id.Number != other.Number {
		return id.Number > other.Number
	}
	return id.withShortDigest().Digest > other.withShortDigest().Digest
}

// Document is one version of a document. In a message, Base and Diff may be set instead of Body.
type Document struct {
	DocumentID
	Body []byte
	Base DocumentID // version to which Diff applies
	Diff []byte
}

// DigestArgs lists the documents that the sender has.
type DigestArgs struct {
	ID     string // sender's identity in the host list
	Domain string // sender's failure domain
	From   string // peer address of the sender
	Docs   []DocumentID
	// Watchers is the number of daemons that watch the platform's services for the failure domain, up to and including the
	// sender in rank.
	Watchers int
	// Starting requests all crash records. It is set until a peer has answered a digest of the sender.
	Starting bool
}

// DigestReply lists the documents that the receiver of a digest has.
type DigestReply struct {
	Docs []DocumentID
	// Want lists the names of the documents that the sender of the digest should send with Give.
	Want    []string
	Crashes []poison.Record // all crash records if the digest had Starting set
}

// GiveArgs carries a document that the receiver has requested with DigestReply.Want.
type GiveArgs struct {
	From string // peer address of the sender
	Doc  Document
}

// FetchArgs requests a document, or the difference to it from the version Have.
type FetchArgs struct {
	Name string
	Have DocumentID // zero requests the whole document
}

// CrashArgs carries crash records.
type CrashArgs struct{ Records []poison.Record }

// BillsArgs carries copies of bills. Daemons of earlier versions send them in Copy.Bills, others in Packed.
type BillsArgs struct {
	Copy   ledger.Copy
	Packed packedBills
}

// newBillsArgs returns the message for c, with its bills in Packed.
func newBillsArgs(c ledger.Copy) BillsArgs {
	packed := packBills(c.Bills, c.ID.Incarnation)
	c.Bills = nil
	return BillsArgs{Copy: c, Packed: packed}
}

// ledgerCopy returns the copy that a carries, with the bills of either form.
func (a BillsArgs) ledgerCopy() (ledger.Copy, error) {
	bills, err := a.Packed.unpack(a.Copy.ID.Incarnation)
	c := a.Copy
	c.Bills = append(c.Bills, bills...)
	return c, err
}

// BillsReply holds the incarnation of the daemon that keeps the copies. After a restart, a daemon has lost its copies
// and has another incarnation.
type BillsReply struct{ Holder string }

// EvidenceArgs carries a daemon's counts of calls of the versions that are being rolled out.
type EvidenceArgs struct{ Evidence rollout.Evidence }

// AnswersArgs carries a daemon's counts of its answers.
type AnswersArgs struct{ Report quality.Report }

// Empty is a reply without content.
type Empty struct{}
