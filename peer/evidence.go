package peer

import (
	"context"

	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// SendEvidence sends counts to the daemon that evaluates roll-outs.
func (n *Node) SendEvidence(ctx context.Context, addr string, e rollout.Evidence) error {
	return n.link(addr).call(ctx, callTimeout, "Evidence", EvidenceArgs{e}, &Empty{})
}

// SendAnswers sends counts of answers to the daemon that reads the ratings.
func (n *Node) SendAnswers(ctx context.Context, addr string, r quality.Report) error {
	return n.link(addr).call(ctx, callTimeout, "Answers", AnswersArgs{r}, &Empty{})
}
