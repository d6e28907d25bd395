package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	truthSamples = 40_000
	truthSeed    = 0x7247
)

// truth is the expected score and cost of one option for one kind.
type truth struct{ score, cost float64 }

// truths returns the truth of each option for each kind of each team, by sampling with a seed of its own.
func (l *Load) truths() [][][modelCount + 1]truth {
	rng := rand.New(rand.NewPCG(truthSeed, 1))
	out := make([][][modelCount + 1]truth, len(l.teams))
	for t := range l.teams {
		out[t] = make([][modelCount + 1]truth, len(l.teams[t].kinds))
		for k := range l.teams[t].kinds {
			kd := &l.teams[t].kinds[k]
			for range truthSamples {
				r := request{team: t, kind: k, input: kd.input, output: kd.output, stream: rng.Float64() < l.streamed, answers: kd.answers(rng)}
				for o := range out[t][k] {
					res := l.run(&r, option(o), func(bool) {})
					out[t][k][o].score += res.score / truthSamples
					out[t][k][o].cost += res.cost / truthSamples
				}
			}
		}
	}
	return out
}

// oracleCost returns the cost that no policy can undercut without knowing an answer before it is given: for a kind and a
// target, the cheapest random mix of two options, cascade included, whose expected score is at least the target, when
// the true expected score and cost of each option are known. A mix of more than two is never cheaper. If nothing meets
// the target, it is the cost of the best option.
func oracleCost(options []truth, target float64) float64 {
	best := math.Inf(1)
	top := slices.MaxFunc(options, func(a, b truth) int { return cmp.Compare(a.score, b.score) })
	for _, high := range options {
		if high.score < target {
			continue
		}
		best = min(best, high.cost)
		for _, low := range options {
			if low.score < target {
				part := (high.score - target) / (high.score - low.score)
				best = min(best, part*low.cost+(1-part)*high.cost)
			}
		}
	}
	if math.IsInf(best, 1) {
		return top.cost
	}
	return best
}

// singleCost returns the cost of the cheapest option whose expected score meets the target by itself, or of the best one.
func singleCost(options []truth, target float64) float64 {
	best := math.Inf(1)
	for _, o := range options {
		if o.score >= target {
			best = min(best, o.cost)
		}
	}
	if math.IsInf(best, 1) {
		return slices.MaxFunc(options, func(a, b truth) int { return cmp.Compare(a.score, b.score) }).cost
	}
	return best
}

// hindsightCost returns the cost of a policy that knows each answer's rating before it is given: the cheapest choice of a
// model for each request whose mean score meets the target, by bisection over the price of a score. No policy that must
// choose before the answer can reach it; it is reported, not used as a bound.
func (l *Load) hindsightCost(requests []request, target float64) float64 {
	run := func(price float64) (score, cost float64) {
		for i := range requests {
			r := &requests[i]
			bestValue, s, c := math.Inf(1), 0.0, 0.0
			for m := range modelCount {
				mc := l.cost(m, r.input, r.output)
				if v := mc - price*r.answers[m].score; v < bestValue {
					bestValue, s, c = v, r.answers[m].score, mc
				}
			}
			score += s
			cost += c
		}
		return score / float64(len(requests)), cost
	}
	low, high := 0.0, 1e7
	for range 60 {
		mid := (low + high) / 2
		if s, _ := run(mid); s < target {
			low = mid
		} else {
			high = mid
		}
	}
	_, cost := run(high)
	return cost
}
