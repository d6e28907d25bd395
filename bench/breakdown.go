package bench

// CostBreakdown attributes the cost above the oracle's to its causes, as shares of the oracle's cost. QualityMargin,
// Inefficiency and Exploration add up to OracleRatio-1.
type CostBreakdown struct {
	// QualityMargin is the cost of quality above the target, negative below it, at what the oracle pays for that quality.
	QualityMargin float64 `json:"margin"`
	// Inefficiency is the cost of the answers above what the oracle pays for the same mean quality.
	Inefficiency float64 `json:"wrong"`
	// Exploration is the cost of exploration, negative if it uses cheaper options than the other requests do.
	Exploration float64 `json:"explore"`
	// FirstHalf and SecondHalf are the cost divided by the oracle's in the halves of the counted requests. Their difference
	// shows how much is still to be learned after the warm-up.
	FirstHalf  float64 `json:"early"`
	SecondHalf float64 `json:"late"`
}

// kindCost sums the counted requests of one kind of a team. The exploiting ones are those that were not made to explore.
type kindCost struct {
	requests, exploiting          float64 // number of requests
	cost, exploitingCost, optimal float64
	exploitingScore               float64
}

// breakdownCollector sums up the costs from which a CostBreakdown is calculated.
type breakdownCollector struct {
	experiment    *experiment
	firstCounted  int
	kinds         map[[2]int]*kindCost // by index of the team and of its kind
	cost, optimal [2]float64           // by half of the counted requests
}

func newBreakdownCollector(e *experiment, firstCounted int) *breakdownCollector {
	return &breakdownCollector{experiment: e, firstCounted: firstCounted, kinds: map[[2]int]*kindCost{}}
}

// add counts request i with its cost, the oracle's cost, and the true expected score of the chosen option.
func (c *breakdownCollector) add(i int, explored bool, cost, optimal, score float64) {
	r := &c.experiment.requests[i]
	key := [2]int{r.team, r.kind}
	k := c.kinds[key]
	if k == nil {
		k = &kindCost{}
		c.kinds[key] = k
	}
	k.requests++
	k.cost += cost
	k.optimal += optimal
	if !explored {
		k.exploiting++
		k.exploitingCost += cost
		k.exploitingScore += score
	}
	half := 2 * (i - c.firstCounted) / (len(c.experiment.requests) - c.firstCounted)
	c.cost[half] += cost
	c.optimal[half] += optimal
}

// result returns the breakdown of the requests added so far.
func (c *breakdownCollector) result() CostBreakdown {
	out := CostBreakdown{FirstHalf: c.cost[0] / c.optimal[0], SecondHalf: c.cost[1] / c.optimal[1]}
	total := c.optimal[0] + c.optimal[1]
	for t := range c.experiment.load.teams {
		target := c.experiment.load.teams[t].target
		for i := range c.experiment.load.teams[t].kinds {
			k := c.kinds[[2]int{t, i}]
			if k == nil || k.exploiting == 0 {
				continue
			}
			truths := c.experiment.groundTruths[t][i][:]
			reachedCost := k.optimal * oracleCost(truths, k.exploitingScore/k.exploiting) / oracleCost(truths, target)
			chosenCost := k.exploitingCost / k.exploiting * k.requests
			out.QualityMargin += (reachedCost - k.optimal) / total
			out.Inefficiency += (chosenCost - reachedCost) / total
			out.Exploration += (k.cost - chosenCost) / total
		}
	}
	return out
}
