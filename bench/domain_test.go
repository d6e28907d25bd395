package bench

import (
	"fmt"
	"testing"
	"testing/synctest"
)

const (
	targetDomains = 5 // failure domains at the scale target
	userDomains   = 3 // of one of the users today
)

// domainRuns calls check with the result of each run with a number of failure domains.
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

// Guards against requests that are lost, or sent to a failure domain 3 s after it left, and against overload of its cold
// engines when it returns.
func TestLatencyDomainLeavesAndReturns(t *testing.T) {
	for _, domains := range []int{targetDomains, userDomains} {
		domainRuns(t, domains, func(t *testing.T, r DomainResult) {
			if r.Failed > 0 || r.Overloads > 0 {
				t.Errorf("%d of %d requests failed; %d cold engines overloaded", r.Failed, r.Requests, r.Overloads)
			}
			if r.LastWork > MaxLeaveTime {
				t.Errorf("the domain got work %s after it left; want at most %s", r.LastWork, MaxLeaveTime)
			}
			if r.Returned == 0 {
				t.Error("the domain got no work after its return")
			}
		})
	}
}

// Guards against slow answers of the other failure domains while one of five is out of service.
func TestLatencyOneOfFiveDomainsOut(t *testing.T) { domainRuns(t, targetDomains, checkRatio) }

// Guards against slow answers of the other failure domains while one of three is out of service.
func TestLatencyOneOfThreeDomainsOut(t *testing.T) { domainRuns(t, userDomains, checkRatio) }

func checkRatio(t *testing.T, r DomainResult) {
	if ratio := float64(r.Out) / float64(r.Before); ratio > MaxLeaveRatio {
		t.Errorf("95th percentile of the first token %s before and %s without the domain: ratio %.2f; want at most %.1f", r.Before, r.Out, ratio, MaxLeaveRatio)
	}
}
