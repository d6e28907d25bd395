package gateway

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/pipeline"
)

// countNotAdmitted counts an attempt that package admission refused.
func (g *Gateway) countNotAdmitted(service, reason string) {
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_admission_refused_total{service=%q,reason=%q}`, service, reason)).Inc()
}

// addNotRepeated adds to a log line why the answer is the failure of an endpoint.
func addNotRepeated(f logrus.Fields, o pipeline.Outcome) {
	if o.NotRepeated != "" {
		f["not_repeated"] = o.NotRepeated
	}
}
