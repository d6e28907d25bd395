package bench

import (
	"fmt"
	"testing"
	"testing/synctest"
)

const (
	targetDomains = 5 // failure domains at the scale target
	userDomains   = 3 // in the deployment of a user
)

// domainRuns runs the default variants with a number of failure domains and calls check with each result.
func domainRuns(t *testing.T, domains int, check func(*testing.T, DomainResult)) {
	skipUnderRace(t)
	for _, v := range LatencyVariants {
		if !v.Affinity || v.HedgeShare == 0 {
			continue
		}
		for seed := range *latencySeeds {
			t.Run(fmt.Sprintf("%s/%d domains/%d", v.Name, domains, seed+1), func(t *testing.T) {
				t.Parallel()
				var r DomainResult
				synctest.Test(t, func(t *testing.T) { r = RunDomain(t.Context(), v, domains, uint64(seed+1)) })
				t.Logf("%+v", r)
				check(t, r)
			})
		}
	}
}

// Guards against failed requests, and against requests sent to a failure domain more than 3 s after it left. Also guards
// against overload of the domain's engines, which are cold when it returns.
func TestLatencyDomainLeavesAndReturns(t *testing.T) {
	for _, domains := range []int{targetDomains, userDomains} {
		domainRuns(t, domains, func(t *testing.T, r DomainResult) {
			if r.Failed > 0 || r.Overloads > 0 {
				t.Errorf("%d of %d requests failed; %d cold engines overloaded", r.Failed, r.Requests, r.Overloads)
			}
			if r.LastRequest > MaxRemovalDelay {
				t.Errorf("the domain got a request %s after it left; want at most %s", r.LastRequest, MaxRemovalDelay)
			}
			if r.ServedAfterReturn == 0 {
				t.Error("the domain served no request after its return")
			}
		})
	}
}

// Guards against a much longer time to the first token in the other failure domains while one of five is out of service.
func TestLatencyOneOfFiveDomainsOut(t *testing.T) { domainRuns(t, targetDomains, checkRatio) }

// Guards against a much longer time to the first token in the other failure domains while one of three is out of service.
func TestLatencyOneOfThreeDomainsOut(t *testing.T) { domainRuns(t, userDomains, checkRatio) }

// checkRatio checks the time to the first token against MaxOutageRatio.
func checkRatio(t *testing.T, r DomainResult) {
	if ratio := float64(r.FirstTokenP95Out) / float64(r.FirstTokenP95Before); ratio > MaxOutageRatio {
		t.Errorf("95th percentile of the time to the first token: %s before and %s without the domain, ratio %.2f; want at most %.1f", r.FirstTokenP95Before, r.FirstTokenP95Out, ratio, MaxOutageRatio)
	}
}
