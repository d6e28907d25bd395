package release

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// endpointGroups is the number of groups into which the new version's endpoints are divided, so that the size of the
	// evidence does not depend on their number.
	endpointGroups = 16
	// oldVersion takes the place of the group in the cells of the old version.
	oldVersion = endpointGroups
	// maxCells bounds the rows of encoded evidence; cells with the fewest answers are left out.
	maxCells = 250
	// sumUnit is the unit in which the sums of Timing and Shift are encoded.
	sumUnit = 1e-3
)

// errMalformedEvidence is returned for encoded evidence that can't be decoded or has impossible counts.
var errMalformedEvidence = errors.New("decode release evidence: malformed data")

// Answer is the result of one attempt.
type Answer struct {
	Route    string
	Endpoint string // ID
	New      bool   // whether the endpoint runs the new version
	Failed   bool
	// Latency compares the time until the answer of the new version began with that of the versions in use, and Scaled that of
	// an answer of the latter with those before.
	Latency Timing
	Scaled  Scaled
}

// Timing counts times that were compared with those of the versions in use, see Baseline.
type Timing struct {
	Timed, Slow int64
	Above       int64   // longer than the median of the versions in use
	Expected    float64 // number of slow ones if the version is as fast as those in use
}

func (t *Timing) add(o Timing) {
	t.Timed += o.Timed
	t.Slow += o.Slow
	t.Above += o.Above
	t.Expected += o.Expected
}

// String returns the counts for logs.
func (t Timing) String() string {
	return fmt.Sprintf("%d/%d slow, %.1f expected", t.Slow, t.Timed, t.Expected)
}

// since returns the growth since the earlier timing o.
func (t Timing) since(o Timing) Timing {
	return Timing{max(0, t.Timed-o.Timed), max(0, t.Slow-o.Slow), max(0, t.Above-o.Above), max(0, t.Expected-o.Expected)}
}

// Counts holds the results of some answers.
type Counts struct {
	Answers, Failures int64
	Latency           Timing // until the answers began
	Interval          Shift  // between the events of streams
}

// Shift sums up by how much times differ from those of the versions in use, see Baseline.
type Shift struct {
	Timed int64
	Sum   float64 // of the standardized differences; its mean is at most 0 for a version that is about as fast
}

func (t *Shift) add(o Shift) {
	t.Timed += o.Timed
	t.Sum += o.Sum
}

// String returns the sums for logs.
func (t Shift) String() string { return fmt.Sprintf("%d, shifted by %.1f", t.Timed, t.Sum) }

// since returns the growth since the earlier shift o.
func (t Shift) since(o Shift) Shift { return Shift{max(0, t.Timed-o.Timed), t.Sum - o.Sum} }

// Add adds o to c.
func (c *Counts) Add(o Counts) {
	c.Answers += o.Answers
	c.Failures += o.Failures
	c.Latency.add(o.Latency)
	c.Interval.add(o.Interval)
}

// since returns the growth since the earlier counts o.
func (c Counts) since(o Counts) Counts {
	return Counts{max(0, c.Answers-o.Answers), max(0, c.Failures-o.Failures), c.Latency.since(o.Latency), c.Interval.since(o.Interval)}
}

// cell identifies the answers of one route by a group of endpoints of the new version, or by the old version.
type cell struct {
	route uint32 // hash of its name
	group uint8
}

// Evidence holds the results of both versions during a release, of one or more daemons. The zero value has none.
type Evidence struct {
	Requests int64 // sent to either version since the order
	Exposed  int64 // of these, sent to the new version
	cells    map[cell]Counts
	profiles map[uint32]profile // by hash of the route
}

// Record adds an answer.
func (e *Evidence) Record(a Answer) {
	c := Counts{Answers: 1}
	if a.Failed {
		c.Failures = 1
	}
	if !a.New {
		e.add(cell{routeHash(a.Route), oldVersion}, c)
		e.addProfile(routeHash(a.Route), profile{old: a.Scaled})
		return
	}
	c.Latency = a.Latency
	e.addProfile(routeHash(a.Route), profile{newVersion: a.Latency})
	e.add(newVersionCell(a.Route, a.Endpoint), c)
}

// RecordLatency adds the time for which a request of the new version has waited for its answer, which may still come.
func (e *Evidence) RecordLatency(route, endpoint string, t Timing) {
	e.addProfile(routeHash(route), profile{newVersion: t})
	e.add(newVersionCell(route, endpoint), Counts{Latency: t})
}

// RecordInterval adds the time between the events of a stream of the new version.
func (e *Evidence) RecordInterval(route, endpoint string, t Shift) {
	e.add(newVersionCell(route, endpoint), Counts{Interval: t})
}

func routeHash(route string) uint32 { return uint32(xxhash.Sum64String(route)) }

func newVersionCell(route, endpoint string) cell {
	return cell{routeHash(route), uint8(xxhash.Sum64String(endpoint) % endpointGroups)}
}

func (e *Evidence) add(key cell, c Counts) {
	if e.cells == nil {
		e.cells = map[cell]Counts{}
	}
	sum := e.cells[key]
	c.Latency.Above = 0 // kept in the profile
	sum.Add(c)
	e.cells[key] = sum
}

// Clone returns a copy of e.
func (e Evidence) Clone() Evidence {
	e.cells = maps.Clone(e.cells)
	e.profiles = maps.Clone(e.profiles)
	return e
}

// Add adds o to e.
func (e *Evidence) Add(o Evidence) {
	e.Requests += o.Requests
	e.Exposed += o.Exposed
	for key, c := range o.cells {
		e.add(key, c)
	}
	for route, p := range o.profiles {
		e.addProfile(route, p)
	}
}

// since returns e without the new version's answers of before. Those of the old version stay, to compare with.
func (e Evidence) since(before Evidence) Evidence {
	out := Evidence{
		Requests: e.Requests - before.Requests, Exposed: e.Exposed - before.Exposed,
		cells: make(map[cell]Counts, len(e.cells)), profiles: make(map[uint32]profile, len(e.profiles)),
	}
	for route, p := range e.profiles {
		out.profiles[route] = p.since(before.profiles[route])
	}
	for key, c := range e.cells {
		if key.group != oldVersion {
			c = c.since(before.cells[key])
		}
		out.cells[key] = c
	}
	return out
}

// Totals returns the counts of both versions.
func (e Evidence) Totals() (newVersion, old Counts) {
	for key, c := range e.cells {
		if key.group == oldVersion {
			old.Add(c)
		} else {
			newVersion.Add(c)
		}
	}
	return newVersion, old
}

// newAnswers returns the number of answers of the new version.
func (e Evidence) newAnswers() int64 {
	c, _ := e.Totals()
	return c.Answers
}

// tried reports whether the new version has answered a request, or there were none.
func (e Evidence) tried() bool {
	c, _ := e.Totals()
	return c.Answers > c.Failures || e.Requests == 0
}

// Encode returns the evidence in the form in which messages carry it: variable-length integers, first the numbers of requests,
// then a row for each cell and those of the profiles.
func (e Evidence) Encode() []byte {
	data := binary.AppendUvarint(nil, uint64(e.Requests))
	data = binary.AppendUvarint(data, uint64(e.Exposed))
	rows := e.profileRows()
	for _, key := range e.bounded(maxCells - len(rows)) {
		c := e.cells[key]
		rows = append(rows, [9]int64{
			int64(key.route), int64(key.group), c.Answers, c.Failures,
			c.Latency.Timed, c.Latency.Slow, inUnits(c.Latency.Expected), c.Interval.Timed, inUnits(c.Interval.Sum),
		})
	}
	for _, row := range rows {
		for _, v := range row[:8] {
			data = binary.AppendUvarint(data, uint64(v))
		}
		data = binary.AppendVarint(data, row[8])
	}
	return data
}

func inUnits(sum float64) int64 { return int64(math.Round(sum / sumUnit)) }

// bounded returns the keys of at most n cells, those with the most answers.
func (e Evidence) bounded(n int) []cell {
	keys := slices.SortedFunc(maps.Keys(e.cells), func(a, b cell) int {
		return cmp.Or(cmp.Compare(e.cells[b].Answers, e.cells[a].Answers), cmp.Compare(a.route, b.route), cmp.Compare(a.group, b.group))
	})
	return keys[:min(len(keys), n)]
}

// DecodeEvidence decodes the result of Encode. It returns an error for malformed data and for impossible counts.
func DecodeEvidence(data []byte) (Evidence, error) {
	var e Evidence
	next := func() (int64, bool) {
		v, n := binary.Uvarint(data)
		if n <= 0 || v > math.MaxInt32 {
			return 0, false
		}
		data = data[n:]
		return int64(v), true
	}
	var ok, ok2 bool
	if e.Requests, ok = next(); ok {
		e.Exposed, ok2 = next()
	}
	if !ok || !ok2 || e.Exposed > e.Requests {
		return Evidence{}, errMalformedEvidence
	}
	for rows := 0; len(data) > 0; rows++ {
		route, n := binary.Uvarint(data)
		if n <= 0 || route > math.MaxUint32 || rows == maxCells {
			return Evidence{}, errMalformedEvidence
		}
		data = data[n:]
		row := [9]int64{int64(route)}
		for i := 1; i < 8; i++ {
			if row[i], ok = next(); !ok {
				return Evidence{}, errMalformedEvidence
			}
		}
		shift, n := binary.Varint(data)
		if n <= 0 {
			return Evidence{}, errMalformedEvidence
		}
		data = data[n:]
		row[8] = shift
		if row[1] == oldVersion && row[2] == 0 && row[3] == 0 {
			if err := e.addProfileRow(row); err != nil {
				return Evidence{}, err
			}
			continue
		}
		c := Counts{row[2], row[3], Timing{Timed: row[4], Slow: row[5], Expected: float64(row[6]) * sumUnit}, Shift{row[7], float64(shift) * sumUnit}}
		if row[1] > oldVersion || c.Failures > c.Answers || c.Latency.Slow > c.Latency.Timed || math.Abs(c.Interval.Sum) > maxDifference*float64(c.Interval.Timed)+1 {
			return Evidence{}, errMalformedEvidence
		}
		e.add(cell{uint32(route), uint8(row[1])}, c)
	}
	return e, nil
}
