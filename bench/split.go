package bench

// Split divides the cost beyond the oracle's into its causes, as parts of the oracle's cost. The parts add up to OfOracle-1.
type Split struct {
	// Margin is the cost of quality above the target (negative below it), at the oracle's cost of that quality.
	Margin float64 `json:"margin"`
	// Wrong is the cost of answers beyond the oracle's cost of the quality that they reach together.
	Wrong float64 `json:"wrong"`
	// Explore is what exploring costs; negative where it uses cheaper options than the usual choice.
	Explore float64 `json:"explore"`
	// Early and Late are the cost over the oracle's in the first and the second half of the counted requests. Their
	// difference shows what the warm-up leaves.
	Early float64 `json:"early"`
	Late  float64 `json:"late"`
}

// kindCost sums the counted requests of one kind of a team.
type kindCost struct {
	all, usual            float64 // requests; usual ones were not made to explore
	cost, usualCost, fair float64
	usualScore            float64
}

// splitter collects what Split reports.
type splitter struct {
	world      *world
	warm       int
	kinds      map[[2]int]*kindCost
	cost, fair [2]float64 // by half of the counted requests
}

func newSplitter(w *world, warm int) *splitter {
	return &splitter{world: w, warm: warm, kinds: map[[2]int]*kindCost{}}
}

// add counts request i with its cost, the oracle's cost and the true expected score of the option chosen.
func (s *splitter) add(i int, explored bool, cost, fair, score float64) {
	r := &s.world.requests[i]
	key := [2]int{r.team, r.kind}
	k := s.kinds[key]
	if k == nil {
		k = &kindCost{}
		s.kinds[key] = k
	}
	k.all++
	k.cost += cost
	k.fair += fair
	if !explored {
		k.usual++
		k.usualCost += cost
		k.usualScore += score
	}
	half := 2 * (i - s.warm) / (len(s.world.requests) - s.warm)
	s.cost[half] += cost
	s.fair[half] += fair
}

// split returns the parts.
func (s *splitter) split() Split {
	out := Split{Early: s.cost[0] / s.fair[0], Late: s.cost[1] / s.fair[1]}
	total := s.fair[0] + s.fair[1]
	for t := range s.world.load.teams {
		target := s.world.load.teams[t].target
		for i := range s.world.load.teams[t].kinds {
			k := s.kinds[[2]int{t, i}]
			if k == nil || k.usual == 0 {
				continue
			}
			truths := s.world.truths[t][i][:]
			reached := k.fair * oracleCost(truths, k.usualScore/k.usual) / oracleCost(truths, target)
			usual := k.usualCost / k.usual * k.all
			out.Margin += (reached - k.fair) / total
			out.Wrong += (usual - reached) / total
			out.Explore += (k.cost - usual) / total
		}
	}
	return out
}
