package selection

import (
	"math"
	"time"
)

// Endpoints that share their machines with other work are slow for short periods, and some machines are slow all the time.
// A report shows the speed at one time, and most are older than such a period when they are used. The belief about an
// endpoint is therefore its mean, to which the difference of the latest report is added with a weight that falls with the
// report's age and with the duration of the work.
const (
	// slowPeriod is the time constant with which a slow or fast period ends. Slow periods last well under a second.
	slowPeriod = 200 * time.Millisecond
	// meanTime is the time constant of an endpoint's mean, many times slowPeriod.
	meanTime = 5 * time.Second
	// meanLifetime is the time constant with which the mean fades towards the group's without reports. An endpoint that is
	// avoided as slow sends none, and has to be tried again.
	meanLifetime = 20 * time.Second
	// maxMeanWeight bounds the weight of one report in the mean, so that at least three are needed to see a slow machine.
	maxMeanWeight = 0.25
	// meanTolerance is the relative difference of an endpoint's mean from its group's that is not used. With slow periods
	// of 2.5 times in 15 % of the time, the mean of a few reports varies by 20 %.
	meanTolerance = 0.25
	// explainedSlowdown is the measured slowdown that slow periods explain. Only what exceeds it counts in services that
	// report their speed.
	explainedSlowdown = 2.5
	// maxSlowness bounds what a report can do to the belief.
	maxSlowness = 10.0
)

// Mean is a mean of reports in which the weight of a report falls with its age.
type Mean struct {
	sum      float64 // weighted sum of the reports
	evidence float64 // sum of the weights, 0 to 1; the rest of the weight is that of the group's mean
}

// Report returns the state after a report that came a time after the one before.
func (m Mean) Report(value float64, after time.Duration) Mean {
	weight := min(maxMeanWeight, 1-math.Exp(-float64(after)/float64(meanTime)))
	return Mean{m.sum + weight*(value-m.sum), m.evidence + weight*(1-m.evidence)}
}

// value returns the mean, given that of the group.
func (m *Mean) value(group float64) float64 { return m.sum + (1-m.evidence)*group }

// Slowness is what is known of an endpoint's speed from its reports. 1 is the usual time for work, 2 is twice that time.
type Slowness struct {
	Latest float64 // latest report; 0 for none
	Mean
}

// Report returns the state after a report that came a time after the one before.
func (s Slowness) Report(value float64, after time.Duration) Slowness {
	value = min(max(value, 1/maxSlowness), maxSlowness)
	return Slowness{value, s.Mean.Report(value, after)}
}

// relative returns the expected duration of work at the endpoint as a multiple of its mean duration over the group. work
// is the duration without that factor.
func (s *Slowness) relative(groupMean float64, age time.Duration, workMs float64) float64 {
	if s.Latest == 0 || groupMean <= 0 {
		return 1
	}
	mean := 1 + (s.value(groupMean)/groupMean-1)*fade(float64(age)/float64(meanLifetime))
	switch {
	case mean > 1+meanTolerance:
		mean -= meanTolerance
	case mean < 1-meanTolerance:
		mean += meanTolerance
	default:
		mean = 1
	}
	if age < 5*slowPeriod { // 0.7 % are left after this time
		const periodMs = float64(slowPeriod / time.Millisecond)
		weight := fade(float64(age) / float64(slowPeriod))
		if workMs > 0 {
			weight *= periodMs / workMs * (1 - fade(workMs/periodMs))
		}
		mean += max(0, s.Latest/groupMean-mean) * weight // most endpoints are not slow, known or not, so a fast one is no reason to prefer it
	}
	return mean
}
