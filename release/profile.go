package release

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// scales is the number of factors by which the times of the versions in use are multiplied to see how many of them would count as
	// slow. They are 1, the square root of slowRatio, and slowRatio.
	scales = 3
	// minExpected is the smallest expected share of slow answers. Without it, three slow answers of endpoints that have just started
	// would take back a version if times differ little otherwise.
	minExpected = 0.05
	// priorTimes is the weight, in answers, of what is known from elsewhere: of the share that the daemons expect by their own
	// baselines, and of the other routes when it is estimated how much slower the new version is as a whole.
	priorTimes = 20.0
)

// Scaled compares a time of a version in use with its baseline as if it were longer by each of the scales.
type Scaled [scales]Timing

// profile sums up how the times of a route compare with the baselines of the daemons that measured them. Both versions are compared in
// the same way, so that the error of a baseline of few answers is the same for both.
type profile struct {
	old        Scaled
	newVersion Timing
}

func (p *profile) add(o profile) {
	for i := range p.old {
		p.old[i].add(o.old[i])
	}
	p.newVersion.add(o.newVersion)
}

// since returns p without the new version's times of before.
func (p profile) since(before profile) profile {
	p.newVersion = p.newVersion.since(before.newVersion)
	return p
}

func (e *Evidence) addProfile(route uint32, p profile) {
	if p == (profile{}) {
		return
	}
	if e.profiles == nil {
		e.profiles = map[uint32]profile{}
	}
	sum := e.profiles[route]
	sum.add(p)
	e.profiles[route] = sum
}

// slowShares holds the shares of slow answers that are expected of a new version that is sound.
type slowShares struct {
	routes map[uint32]profile
	all    Timing // of the new version
}

func (e Evidence) slowShares() slowShares {
	s := slowShares{routes: e.profiles}
	for _, p := range e.profiles {
		s.all.add(p.newVersion)
	}
	return s
}

// of returns the share of a route, given the share that the daemons expect by their baselines alone. The new version may be slower as a
// whole, up to slowRatio: by how much follows from the share of its answers that take longer than the median of the versions in use.
func (s slowShares) of(route uint32, local float64) float64 {
	p := s.routes[route]
	n := float64(p.old[0].Timed)
	if n == 0 || p.newVersion.Timed == 0 {
		return max(minExpected, local)
	}
	share := p.slowAt(s.aboveMedian(p.newVersion))
	return max(minExpected, (share*n+local*priorTimes)/(n+priorTimes))
}

// aboveMedian returns an upper estimate of the share of a route's answers that take longer than the median.
func (s slowShares) aboveMedian(t Timing) float64 {
	timed, above := float64(t.Timed), float64(t.Above)
	if others := float64(s.all.Timed) - timed; others > 0 {
		weight := min(priorTimes, others)
		above += weight * (float64(s.all.Above) - above) / others
		timed += weight
	}
	return above/timed + 1/(2*math.Sqrt(timed)) // one standard deviation
}

// slowAt returns the share of the old versions' times that would be slow if they were longer by the factor at which the given share of
// them exceeds the median. It interpolates between the scales.
func (p profile) slowAt(above float64) float64 {
	n := float64(p.old[0].Timed)
	for i := range scales - 1 {
		lower, upper := float64(p.old[i].Above)/n, float64(p.old[i+1].Above)/n
		if above > upper {
			continue
		}
		part := 0.0
		if above > lower {
			part = (above - lower) / (upper - lower)
		}
		return ((1-part)*float64(p.old[i].Slow) + part*float64(p.old[i+1].Slow)) / n
	}
	return float64(p.old[scales-1].Slow) / n
}

const (
	// maxProfiles bounds the routes whose profiles are encoded, those with the most times.
	maxProfiles = 15
	// profileRow is the number that marks a row of a profile, plus the index of a scale, or plus scales for the new version. Sums of several
	// are no valid numbers: daemons of an earlier release, which take such rows for results of the old version without answers, add them up.
	profileRow = 1000
)

// profileRows returns the rows of the encoded profiles, in the form of cells of the old version without answers.
func (e Evidence) profileRows() (rows [][9]int64) {
	routes := slices.SortedFunc(maps.Keys(e.profiles), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(e.profiles[b].old[0].Timed, e.profiles[a].old[0].Timed), cmp.Compare(a, b))
	})
	for _, route := range routes[:min(len(routes), maxProfiles)] {
		p := e.profiles[route]
		for i, t := range append(p.old[:], p.newVersion) {
			if t.Timed > 0 {
				rows = append(rows, [9]int64{int64(route), oldVersion, 0, 0, t.Timed, t.Slow, profileRow + int64(i), t.Timed, t.Above})
			}
		}
	}
	return rows
}

// addProfileRow adds a row of an encoded profile. A row that is not one changes nothing.
func (e *Evidence) addProfileRow(row [9]int64) error {
	t := Timing{Timed: row[4], Slow: row[5], Above: row[8]}
	if t.Slow > t.Timed || t.Above < 0 || t.Above > t.Timed {
		return errMalformedEvidence
	}
	var p profile
	switch i := row[6] - profileRow; {
	case i >= 0 && i < scales:
		p.old[i] = t
	case i == scales:
		p.newVersion = t
	}
	e.addProfile(uint32(row[0]), p)
	return nil
}

// ExpectedSlow returns the number of slow answers that is expected of the new version if it is sound, over all daemons.
func (e Evidence) ExpectedSlow() float64 {
	all, _ := e.compare()
	sum := 0.0
	for _, c := range all {
		sum += c.latencies.expected
	}
	return sum
}
