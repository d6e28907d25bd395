package choose

import (
	"math"
	"slices"
	"strings"
)

// kindTolerance is how far the lower bound of a kind's mix may lie below the team's target. The mean of the mix meets the
// target in any case, and the lower bound of the team's mean over its kinds does.
const kindTolerance = 0.05

// planWindow is the number of a team's requests after which the counts of its kinds are halved.
const planWindow = 10_000

// maxKinds bounds the kinds of a team that are kept apart, because callers name them. Further ones count as the last.
const maxKinds = 32

// plan holds the kinds of a team's requests and divides the margin that the team's mean needs among them. Errors of the
// kinds' estimates are independent, so that the margin of their mean is smaller than the mean of their margins.
type plan struct {
	kinds  []kindPlan
	margin float64 // of the team's mean under the last division
}

// kindPlan is the part of a plan for one kind of request.
type kindPlan struct {
	name     string
	requests float64 // halved each planWindow requests
	frontier frontier
	base     float64 // position that meets the target without any margin for the team
	position float64
}

// divide counts a request of a kind and returns the position on its frontier: the lower bound of the team's mean meets the
// target, raised by the given amount, at the lowest cost. An empty frontier counts as a kind that is exactly at the target.
func (p *plan) divide(name string, f *frontier, target, raise float64) float64 {
	k := p.kind(name)
	k.requests++
	k.frontier = *f
	k.base = f.base(target)
	total := 0.0
	for i := range p.kinds {
		total += p.kinds[i].requests
	}
	p.fill(total, p.reset(total, target, raise))
	p.updateMargin(total)
	position := k.position
	if total >= planWindow {
		p.halve()
	}
	return position
}

func (p *plan) kind(name string) *kindPlan {
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

// reset moves all kinds to their base positions and returns the score that the team's mean lacks there.
func (p *plan) reset(total, target, raise float64) float64 {
	need := p.margin + raise
	for i := range p.kinds {
		k := &p.kinds[i]
		k.position = k.base
		if k.frontier.n > 0 {
			mean, _, _ := k.frontier.at(k.position)
			need -= k.requests / total * (mean - target)
		}
	}
	return need
}

// fill raises the quality where a score costs least until the team's mean has gained need.
func (p *plan) fill(total, need float64) {
	for need > 0 {
		var cheapest *kindPlan
		slope := math.Inf(1)
		for i := range p.kinds {
			k := &p.kinds[i]
			if s := k.frontier.slope(k.position); s < slope {
				cheapest, slope = k, s
			}
		}
		if cheapest == nil {
			return
		}
		f, i, weight := &cheapest.frontier, math.Floor(cheapest.position), cheapest.requests/total
		mean, _, _ := f.at(cheapest.position)
		if gain := weight * (f.points[int(i)+1].mean - mean); gain < need {
			cheapest.position = i + 1
			need -= gain
			continue
		}
		cheapest.position += need / (weight * (f.points[int(i)+1].mean - f.points[int(i)].mean))
		return
	}
}

// updateMargin computes the margin of the team's mean at the new positions. It moves halfway, because the positions depend
// on the margin in turn.
func (p *plan) updateMargin(total float64) {
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

// halve discounts the counts of all kinds and drops those that are no longer requested.
func (p *plan) halve() {
	for i := range p.kinds {
		p.kinds[i].requests /= 2
	}
	p.kinds = slices.DeleteFunc(p.kinds, func(k kindPlan) bool { return k.requests < 1 })
}
