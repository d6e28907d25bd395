package peer

import (
	"context"

	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// SendEvidence sends counts of calls to the daemon at addr, which evaluates rollouts. It returns an error if that
// daemon can't be reached or does not have this duty.
func (n *Node) SendEvidence(ctx context.Context, addr string, e rollout.Evidence) error {
	return n.link(addr).call(ctx, callTimeout, "Evidence", EvidenceArgs{e}, &Empty{})
}

// SendAnswers sends counts of answers to the daemon at addr, which reads the ratings. It returns an error if that
// daemon can't be reached or does not have this duty.
func (n *Node) SendAnswers(ctx context.Context, addr string, r quality.Report) error {
	return n.link(addr).call(ctx, callTimeout, "Answers", AnswersArgs{r}, &Empty{})
}
