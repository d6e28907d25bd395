package cascade

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bramleytrail/bramleytrail/object"
)

// busyModel is the largest model under load. Its streams slow down with the work that it has not done yet.
type busyModel struct {
	capacity float64 // milliseconds of work per millisecond
	backlog  float64 // milliseconds of work
}

const (
	busyStepMs      = 100.0
	busySlowMs      = 400.0 // of work for each unit of capacity, with which streams are twice as slow as in an idle service
	busyLateFactor  = 4.0   // slowness from which answers have pauses that make them late
	lateValue       = 0.3   // of an answer that is late
	busySeconds     = 60
	busyBurstFrom   = 10 // seconds
	busyBurstTo     = 25
	busyBurstFactor = 2.6
)

func (b *busyModel) congestion() float64 { return 1 + b.backlog/b.capacity/busySlowMs }

// busyKind is a kind of request: its rate a second, its tokens and what a good answer is worth to its callers.
type busyKind struct {
	rate           float64
	prompt, answer int64
	worth          float64
}

// simulateBusyModel returns the share of the worth that the answers of each kind have. price makes the price of the large model.
func simulateBusyModel(price func(price, congestion float64) float64) (shares [3]float64, total float64) {
	kinds := [...]busyKind{{110, 12000, 380, 2.2}, {90, 830, 290, 4}, {190, 2400, 24, 0.38}}
	tariffs := []object.Tariff{{Read: 0.014 / 4000, Generated: 0.014 / 1000}, {Read: 0.1 / 4000, Generated: 0.1 / 1000}, {Read: 0.2 / 4000, Generated: 0.2 / 1000}}
	rng, e, large := rand.New(rand.NewPCG(5, 6)), NewEscalator(0.5), busyModel{capacity: 24}
	var got, owed [3]float64
	for step := range int(busySeconds * 1000 / busyStepMs) {
		large.backlog = max(0, large.backlog-large.capacity*busyStepMs)
		for i, k := range kinds {
			rate := k.rate * busyStepMs / 1000
			if s := float64(step) * busyStepMs / 1000; i == 0 && s >= busyBurstFrom && s < busyBurstTo {
				rate *= busyBurstFactor
			}
			for n := rate + rng.Float64(); n >= 1; n-- {
				difficulty := rng.Float64()
				poor := difficulty > 0.54
				confidence := min(1, max(0, 0.5+1.6*(0.54-difficulty)+0.1*rng.NormFloat64()))
				next := e.Next(Escalation{
					Models: modelFamily, Answers: []Answer{{0, confidence}}, MaxCalls: 1, Value: Value(1, tariffs[2], k.prompt, k.answer),
					Price: func(m int) float64 {
						if m == 1 {
							return math.Inf(1)
						}
						return price(tariffs[m].Price(k.prompt, k.answer), large.congestion())
					},
				})
				owed[i] += k.worth
				switch {
				case next == 2:
					slow := large.congestion()
					large.backlog += 0.024*float64(k.prompt) + 0.05*float64(k.answer)
					if slow < busyLateFactor {
						got[i] += k.worth
					} else {
						got[i] += lateValue * k.worth
					}
				case !poor:
					got[i] += k.worth
				}
			}
		}
	}
	var sum, all float64
	for i := range kinds {
		shares[i], sum, all = got[i]/owed[i], sum+got[i], all+owed[i]
	}
	return shares, sum / all
}

// Answers the load of a large model with too little capacity, during a burst of long prompts. Guards against long prompts that make the
// streams of all answers so slow that those of short prompts, which take little of the model's time, are late.
func TestBusyModelServesWhatIsWorthMost(t *testing.T) {
	without, totalWithout := simulateBusyModel(func(price, _ float64) float64 { return price })
	with, total := simulateBusyModel(CongestedPrice)
	t.Logf("share of the worth by kind: %.2f, in all %.3f; by prices alone %.2f, %.3f", with, total, without, totalWithout)
	if total < totalWithout {
		t.Errorf("callers get %.3f of the worth, by prices alone %.3f", total, totalWithout)
	}
	if with[1] < 0.95 {
		t.Errorf("callers with short prompts get %.2f of the worth", with[1])
	}
}
