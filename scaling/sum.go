package scaling

import "time"

// reportTTL is the age at which a report no longer counts and its daemon's demand counts as unknown. Reports are sent once a second, so
// that up to two may be lost.
const reportTTL = 3 * time.Second

// Sum adds the demand that daemons reported for a service, by failure domain of its endpoints. members are the daemons that should report,
// with their failure domains; missing are the domains of those without a recent report. Of several reports of a daemon, the newest counts.
// Demand for domains that are not listed is ignored, so that a report can't make the state grow.
func Sum(service string, domains []string, members map[string]string, reports []Report, now time.Time) (byDomain map[string]Demand, missing map[string]bool) {
	newest := map[string]*Report{}
	for i := range reports {
		r := &reports[i]
		if old := newest[r.Daemon]; now.Sub(r.At) < reportTTL && (old == nil || old.At.Before(r.At)) {
			newest[r.Daemon] = r
		}
	}
	byDomain, missing = make(map[string]Demand, len(domains)), map[string]bool{}
	for _, name := range domains {
		byDomain[name] = Demand{Service: service, Domain: name}
	}
	for daemon, domain := range members {
		if newest[daemon] == nil {
			missing[domain] = true
		}
	}
	for _, r := range newest {
		for _, d := range r.Demands {
			sum, ok := byDomain[d.Domain]
			if !ok || d.Service != service {
				continue
			}
			sum.InFlight += max(0, d.InFlight)
			sum.Waiting += max(0, d.Waiting)
			sum.Arrived += max(0, d.Arrived)
			sum.Refused += max(0, d.Refused)
			sum.Late += max(0, d.Late)
			byDomain[d.Domain] = sum
		}
	}
	return byDomain, missing
}
