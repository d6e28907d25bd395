package gateway

import "fmt"

// countNotAdmitted counts an attempt that package admission refused.
func (g *Gateway) countNotAdmitted(service, reason string) {
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_admission_refused_total{service=%q,reason=%q}`, service, reason)).Inc()
}
