package daemon

import (
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// handler implements peer.Handler for a daemon.
type handler struct{ daemon *Daemon }

// OfferDocument implements peer.Handler.
func (h handler) OfferDocument(doc peer.Document) error {
	switch doc.Name {
	case docQuality:
		return h.daemon.applyQuality(doc.Body)
	case docRollout:
		return h.daemon.applyRollout(doc.Body)
	default:
		if domain, ok := strings.CutPrefix(doc.Name, docPlacement); ok {
			return h.daemon.offerPlacement(domain, doc.Body)
		}
		return h.daemon.docs.OfferDocument(doc)
	}
}

// KeepBills implements peer.Handler.
func (h handler) KeepBills(c ledger.Copy) (string, error) {
	return h.daemon.incarnation, h.daemon.copies.Keep(c, time.Now())
}

// TakeEvidence implements peer.Handler.
func (h handler) TakeEvidence(e rollout.Evidence) error { return h.daemon.decisions.takeEvidence(e) }

// TakeAnswers implements peer.Handler.
func (h handler) TakeAnswers(r quality.Report) error { return h.daemon.decisions.answers.take(r) }
