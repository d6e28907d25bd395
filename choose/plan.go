package choose

import (
	"math"
	"slices"
	"strings"
)

// kindTolerance is how far the lower bound of the split for one kind of request may lie below the team's target. The
// mean of the split always meets the target, and so does the lower bound of the team's mean over all kinds.
const kindTolerance = 0.05

// planWindow is the number of a team's requests after which the counts of all its kinds are halved.
const planWindow = 10_000

// maxKinds limits the kinds of request that are kept for a team, because callers choose their names. Further kinds are
// counted as the last one kept.
const maxKinds = 32

// marginPlan chooses a position on the frontier of each kind of a team's requests, so that the lower bound of the
// team's mean meets the target at the lowest cost. The errors of the kinds' estimates are independent, so the margin of
// the team's mean is smaller than the mean of the kinds' margins.
type marginPlan struct {
	kinds  []kindPlan
	margin float64 // of the team's mean at the last positions
}

// kindPlan is the state of a marginPlan for one kind of request.
type kindPlan struct {
	name         string
	requests     float64 // halved each planWindow requests
	frontier     frontier
	basePosition float64 // see frontier.basePosition; ignores the margin of the team's mean
	position     float64
}

// allocate counts a request of the named kind and returns its position on f, the current frontier of that kind. At the
// positions of all kinds, the lower bound of the team's mean meets target + targetIncrease at the lowest cost. A kind
// with an empty frontier counts as exactly at the target.
func (p *marginPlan) allocate(name string, f *frontier, target, targetIncrease float64) float64 {
	k := p.findOrAdd(name)
	k.requests++
	k.frontier = *f
	k.basePosition = f.basePosition(target)
	total := 0.0
	for i := range p.kinds {
		total += p.kinds[i].requests
	}
	p.raiseQuality(total, p.resetToBase(total, target, targetIncrease))
	p.updateMargin(total)
	position := k.position
	if total >= planWindow {
		p.halveCounts()
	}
	return position
}

// findOrAdd returns the plan of a kind, or that of the last kind if maxKinds are kept already. It clones a new name so
// that the plan retains no memory of the request.
func (p *marginPlan) findOrAdd(name string) *kindPlan {
	for i := range p.kinds {
		if p.kinds[i].name == name {
			return &p.kinds[i]
		}
	}
	if len(p.kinds) < maxKinds {
		p.kinds = append(p.kinds, kindPlan{name: strings.Clone(name)})
	}
	return &p.kinds[len(p.kinds)-1]
}

// resetToBase moves all kinds to their base positions and returns the score that the team's mean lacks there to the
// target, which includes its margin and targetIncrease.
func (p *marginPlan) resetToBase(total, target, targetIncrease float64) float64 {
	missing := p.margin + targetIncrease
	for i := range p.kinds {
		k := &p.kinds[i]
		k.position = k.basePosition
		if k.frontier.n > 0 {
			mean, _, _ := k.frontier.at(k.position)
			missing -= k.requests / total * (mean - target)
		}
	}
	return missing
}

// raiseQuality advances the positions where quality costs least until the team's mean has gained the missing score.
func (p *marginPlan) raiseQuality(total, missing float64) {
	for missing > 0 {
		var cheapest *kindPlan
		marginalPrice := math.Inf(1)
		for i := range p.kinds {
			k := &p.kinds[i]
			if s := k.frontier.marginalPrice(k.position); s < marginalPrice {
				cheapest, marginalPrice = k, s
			}
		}
		if cheapest == nil {
			return
		}
		f, i, weight := &cheapest.frontier, math.Floor(cheapest.position), cheapest.requests/total
		mean, _, _ := f.at(cheapest.position)
		if gain := weight * (f.points[int(i)+1].mean - mean); gain < missing {
			cheapest.position = i + 1
			missing -= gain
			continue
		}
		cheapest.position += missing / (weight * (f.points[int(i)+1].mean - f.points[int(i)].mean))
		return
	}
}

// updateMargin moves the margin of the team's mean halfway to its value at the new positions. The damping is needed
// because the positions depend on the margin in turn.
func (p *marginPlan) updateMargin(total float64) {
	sum := 0.0
	for i := range p.kinds {
		k := &p.kinds[i]
		if k.frontier.n > 0 {
			_, margin, _ := k.frontier.at(k.position)
			margin *= k.requests / total
			sum += margin * margin
		}
	}
	p.margin = (p.margin + math.Sqrt(sum)) / 2
}

// halveCounts halves the request counts of all kinds and drops the kinds that are no longer requested.
func (p *marginPlan) halveCounts() {
	for i := range p.kinds {
		p.kinds[i].requests /= 2
	}
	p.kinds = slices.DeleteFunc(p.kinds, func(k kindPlan) bool { return k.requests < 1 })
}
