package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// The true means are estimated from truthSamples samples of each kind.
const (
	truthSamples = 40_000
	truthSeed    = 0x7247
)

// groundTruth holds the expected score and the expected cost, in micro-units, of one option for one kind of request.
type groundTruth struct{ score, cost float64 }

// groundTruths estimates the ground truth by team, kind and option, by sampling. Its fixed seed is independent of that of the
// run.
func (l *Load) groundTruths() [][][modelCount + 1]groundTruth {
	rng := rand.New(rand.NewPCG(truthSeed, 1))
	out := make([][][modelCount + 1]groundTruth, len(l.teams))
	for t := range l.teams {
		out[t] = make([][modelCount + 1]groundTruth, len(l.teams[t].kinds))
		for k := range l.teams[t].kinds {
			kd := &l.teams[t].kinds[k]
			for range truthSamples {
				r := request{team: t, kind: k, input: kd.input, output: kd.output, stream: rng.Float64() < l.streamedShare, answers: kd.answers(rng)}
				for o := range out[t][k] {
					res := l.serve(&r, option(o), func(bool) {})
					out[t][k][o].score += res.score / truthSamples
					out[t][k][o].cost += res.cost / truthSamples
				}
			}
		}
	}
	return out
}

// oracleCost returns the lowest expected cost, in micro-units, of a policy that meets the target and does not know an answer in
// advance. It knows the true expected score and cost of each option, cascade included, and splits the requests of a kind
// randomly between two options; a split between more than two is never cheaper. If no option meets the target, the result
// is the cost of the option with the highest score.
func oracleCost(options []groundTruth, target float64) float64 {
	best := math.Inf(1)
	bestOption := slices.MaxFunc(options, func(a, b groundTruth) int { return cmp.Compare(a.score, b.score) })
	for _, high := range options {
		if high.score < target {
			continue
		}
		best = min(best, high.cost)
		for _, low := range options {
			if low.score < target {
				lowShare := (high.score - target) / (high.score - low.score)
				best = min(best, lowShare*low.cost+(1-lowShare)*high.cost)
			}
		}
	}
	if math.IsInf(best, 1) {
		return bestOption.cost
	}
	return best
}

// singleCost returns the cost, in micro-units, of the cheapest option whose expected score meets the target. If none does, it is
// the cost of the option with the highest score.
func singleCost(options []groundTruth, target float64) float64 {
	best := math.Inf(1)
	for _, o := range options {
		if o.score >= target {
			best = min(best, o.cost)
		}
	}
	if math.IsInf(best, 1) {
		return slices.MaxFunc(options, func(a, b groundTruth) int { return cmp.Compare(a.score, b.score) }).cost
	}
	return best
}

// hindsightCost returns the total cost, in micro-units, of a policy that knows each answer's rating in advance: the cheapest
// choice of a model for each request such that the mean score meets the target. It finds the choice by bisection of the
// price of a score. A policy that must choose before it sees the answer can't reach this cost, so it is reported but not
// used as a bound.
func (l *Load) hindsightCost(requests []request, target float64) float64 {
	serveAt := func(price float64) (score, cost float64) {
		for i := range requests {
			r := &requests[i]
			bestValue, bestScore, bestCost := math.Inf(1), 0.0, 0.0
			for m := range modelCount {
				modelCost := l.cost(m, r.input, r.output)
				if v := modelCost - price*r.answers[m].score; v < bestValue {
					bestValue, bestScore, bestCost = v, r.answers[m].score, modelCost
				}
			}
			score += bestScore
			cost += bestCost
		}
		return score / float64(len(requests)), cost
	}
	low, high := 0.0, 1e7
	for range 60 {
		mid := (low + high) / 2
		if score, _ := serveAt(mid); score < target {
			low = mid
		} else {
			high = mid
		}
	}
	_, cost := serveAt(high)
	return cost
}
