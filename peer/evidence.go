package peer

import (
	"context"

	"github.com/bramleytrail/bramleytrail/rollout"
)

// SendEvidence sends counts to the daemon that evaluates roll-outs.
func (n *Node) SendEvidence(ctx context.Context, addr string, e rollout.Evidence) error {
	return n.link(addr).call(ctx, callTimeout, "Evidence", EvidenceArgs{e}, &Empty{})
}
