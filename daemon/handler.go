package daemon

import (
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// peerHandler implements peer.Handler. It dispatches documents and reports of peers to the parts of the daemon.
type peerHandler struct{ daemon *Daemon }

// OfferDocument implements peer.Handler. It puts a document in force, or returns an error if the document is invalid or
// unknown.
func (h peerHandler) OfferDocument(doc peer.Document) error {
	switch doc.Name {
	case docQuality:
		return h.daemon.applyQuality(doc.Body)
	case docRollout:
		return h.daemon.applyRollout(doc.Body)
	default:
		if domain, ok := strings.CutPrefix(doc.Name, docPlacementPrefix); ok {
			return h.daemon.applyPlacementTable(domain, doc.Body)
		}
		return h.daemon.docs.OfferDocument(doc)
	}
}

// KeepBills implements peer.Handler. It returns the incarnation of this daemon as the holder of the copy.
func (h peerHandler) KeepBills(c ledger.Copy) (string, error) {
	return h.daemon.incarnation, h.daemon.billCopies.Keep(c, time.Now())
}

// TakeEvidence implements peer.Handler.
func (h peerHandler) TakeEvidence(e rollout.Evidence) error {
	return h.daemon.decisions.receiveEvidence(e)
}

// TakeAnswers implements peer.Handler.
func (h peerHandler) TakeAnswers(r quality.Report) error {
	return h.daemon.decisions.answers.receive(r)
}
