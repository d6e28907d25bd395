package cascade

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bramleytrail/bramleytrail/object"
)

var modelFamily = []string{"small", "middle", "large"}

// flatPrices returns a price function for given prices by model.
func flatPrices(prices ...float64) func(int) float64 {
	return func(model int) float64 { return prices[model] }
}

// Guards against a call that costs more than the answer at hand can lose, and against keeping an answer that is probably
// poor although a better one is cheap.
func TestEscalatorNext(t *testing.T) {
	const value = 1.0
	cheap, dear, unavailable := flatPrices(0, 0.1, 0.2), flatPrices(0, 0.6, 0.8), flatPrices(0, math.Inf(1), math.Inf(1))
	for _, tc := range []struct {
		name     string
		answers  []Answer
		maxCalls int
		price    func(int) float64
		want     int
	}{
		{"confident", []Answer{{0, 0.9}}, 2, cheap, -1},
		{"clipped at the upper end", []Answer{{0, 1}}, 2, cheap, -1},
		{"hopeless", []Answer{{0, 0}}, 2, cheap, 2},
		{"slightly doubtful: the middle model probably suffices", []Answer{{0, 0.48}}, 2, cheap, 1},
		{"very doubtful: only the largest model suffices", []Answer{{0, 0.2}}, 2, cheap, 2},
		{"an even chance is not worth a dear call", []Answer{{0, 0.5}}, 2, dear, -1},
		{"a poor answer is worth a dear call", []Answer{{0, 0.1}}, 2, dear, 2},
		{"no further call allowed", []Answer{{0, 0.1}}, 0, cheap, -1},
		{"no larger model available", []Answer{{0, 0.1}}, 2, unavailable, -1},
		{"the middle model's answer is doubtful too", []Answer{{0, 0.4}, {1, 0.4}}, 1, cheap, 2},
		{"both answers say that the middle model suffices", []Answer{{0, 0.48}, {1, 0.65}}, 1, cheap, -1},
		{"the largest model's answer is final", []Answer{{0, 0.1}, {2, 0.1}}, 1, cheap, -1},
		{"no confidence", []Answer{{0, math.NaN()}}, 2, cheap, -1},
	} {
		e := NewEscalator(0.5)
		if got := e.Next(Escalation{modelFamily, tc.answers, tc.maxCalls, value, tc.price}); got != tc.want {
			t.Errorf("%s: next model is %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against calling a middle model that is hardly better than the small one, and against skipping one that is much
// better.
func TestEscalatorLearnsGain(t *testing.T) {
	for _, middleGain := range []float64{0.0, 0.4} {
		f := simulatedFamily{skill: [3]float64{0.5, 0.5 + middleGain, 1}, slope: 1, spread: 0.05, costs: [3]float64{0.017, 0.13, 0.26}}
		rng := rand.New(rand.NewPCG(1, 2))
		e := NewEscalator(0.5)
		middleCalls := 0
		for i := range 3000 {
			if f.serve(f.request(rng), e.Next, e.RecordPair).calls[1] && i >= 1500 {
				middleCalls++
			}
		}
		if middleGain == 0 && middleCalls > 150 {
			t.Errorf("a middle model without a gain was called %d times in 1,500", middleCalls)
		}
		if middleGain == 0.4 && middleCalls < 300 {
			t.Errorf("a middle model with a gain of %.1f was called %d times in 1,500", middleGain, middleCalls)
		}
	}
}

// Guards against an invalid confidence of one answer that spoils what is learned for all later requests.
func TestInvalidConfidenceIsNotLearned(t *testing.T) {
	e := NewEscalator(0.5)
	r := Escalation{modelFamily, []Answer{{0, 0.3}}, 2, 1, flatPrices(0, 0.1, 0.2)}
	want := e.Next(r)
	e.RecordPair(modelFamily, Answer{0, math.NaN()}, Answer{2, 0.5})
	e.RecordPair(modelFamily, Answer{0, 0.3}, Answer{2, math.NaN()})
	if got := e.Next(r); got != want {
		t.Errorf("next model is %d after invalid confidences, %d before", got, want)
	}
}

// simulatedFamily is a family of models with requests of random difficulty, in [0, 1]. A model's answer is good if its
// skill is at least the difficulty; its confidence falls with the difficulty and scatters.
type simulatedFamily struct {
	skill  [3]float64
	slope  float64 // of the confidence over the difference between skill and difficulty
	spread float64 // standard deviation of the confidence
	costs  [3]float64
}

type simulatedRequest struct {
	difficulty     float64
	prompt, answer int64
	worth          float64
	confidence     [3]float64
}

// request returns a random request of one of three kinds: long prompts with long answers, short prompts with long answers,
// and short prompts with short answers.
func (f *simulatedFamily) request(rng *rand.Rand) simulatedRequest {
	r := [...]simulatedRequest{{prompt: 12000, answer: 380, worth: 4.5}, {prompt: 800, answer: 290, worth: 2}, {prompt: 2400, answer: 24, worth: 0.4}}[rng.IntN(3)]
	size := math.Exp(0.6 * rng.NormFloat64())
	r.prompt, r.answer, r.worth = int64(size*float64(r.prompt)), 1+int64(size*float64(r.answer)), r.worth*(0.3+0.7*size)
	r.difficulty = rng.Float64()
	for i := range r.confidence {
		r.confidence[i] = min(1, max(0, 0.5+f.slope*(f.skill[i]-r.difficulty)+f.spread*rng.NormFloat64()))
	}
	return r
}

// simulatedResult is the outcome of a request: what was paid, and what was lost because the answer was poor.
type simulatedResult struct {
	paid, lost float64
	calls      [3]bool
}

// serve calls models until next accepts an answer. Prompts of dropped answers are paid for.
func (f *simulatedFamily) serve(r simulatedRequest, next func(Escalation) int, record func([]string, Answer, Answer)) simulatedResult {
	var out simulatedResult
	tariffs := make([]object.Tariff, len(f.costs))
	for i, c := range f.costs {
		tariffs[i] = object.Tariff{Read: c / 4000, Generated: c / 1000}
	}
	var answers []Answer
	for model := 0; ; {
		out.calls[model] = true
		answers = append(answers, Answer{model, r.confidence[model]})
		if n := len(answers); n > 1 && record != nil {
			record(modelFamily, answers[n-2], answers[n-1])
		}
		larger := next(Escalation{
			Models: modelFamily, Answers: answers, MaxCalls: 3 - len(answers), Value: Value(1, tariffs[2], r.prompt, r.answer),
			Price: func(m int) float64 { return tariffs[m].Price(r.prompt, r.answer) },
		})
		if larger < 0 {
			out.paid += tariffs[model].Price(r.prompt, r.answer)
			if r.difficulty > f.skill[model] {
				out.lost = r.worth
			}
			return out
		}
		out.paid += tariffs[model].Price(r.prompt, 0)
		model = larger
	}
}

// Answers the load of a route whose requests differ in length, worth and difficulty. Guards against an escalator that
// leaves callers with poor answers, or pays for models without need, more than any fixed threshold of confidence would.
// The families differ in skill, price and the spread of their confidence.
func TestEscalatorAgainstThresholds(t *testing.T) {
	for _, f := range []simulatedFamily{
		{[3]float64{0.58, 0.67, 1}, 1.6, 0.1, [3]float64{0.017, 0.13, 0.26}},
		{[3]float64{0.54, 0.64, 1}, 1.6, 0.05, [3]float64{0.019, 0.14, 0.29}},
		{[3]float64{0.5, 0.8, 1}, 1, 0.2, [3]float64{0.01, 0.05, 0.3}},
		{[3]float64{0.3, 0.4, 0.95}, 2, 0.1, [3]float64{0.05, 0.1, 0.4}},
	} {
		total := func(next func(Escalation) int, record func([]string, Answer, Answer)) float64 {
			rng := rand.New(rand.NewPCG(3, 4))
			sum := 0.0
			for range 20000 {
				r := f.serve(f.request(rng), next, record)
				sum += r.paid + r.lost
			}
			return sum
		}
		e := NewEscalator(0.5)
		got := total(e.Next, e.RecordPair)
		for _, threshold := range []float64{0.3, 0.4, 0.5, 0.6, 0.7, 0.8} {
			fixed := total(func(r Escalation) int {
				if a := r.Answers[len(r.Answers)-1]; a.Model < 2 && a.Confidence < threshold {
					return 2
				}
				return -1
			}, nil)
			if got > fixed {
				t.Errorf("family %+v: paid and lost %.0f, with a threshold of %.1f %.0f", f, got, threshold, fixed)
			}
		}
	}
}

// Guards against an escalator that compares the value of an answer with prices in another unit: a change of the unit must
// not change a decision. Also guards against models without declared prices that are never or always called.
func TestDecisionsDoNotDependOnUnit(t *testing.T) {
	service := &object.RoutedService{Tariffs: map[string]object.Tariff{}}
	if got := Tariffs(service, modelFamily); len(got) != 3 || !(got[0].Generated < got[1].Generated && got[1].Generated < got[2].Generated) {
		t.Errorf("default tariffs: %v", got)
	}
	next := func(unit, confidence float64) int {
		for i, m := range modelFamily {
			cost := unit * []float64{0.02, 0.1, 0.25}[i]
			service.Tariffs[m] = object.Tariff{Read: cost / 4, Generated: cost}
		}
		tariffs := Tariffs(service, modelFamily)
		return NewEscalator(0.5).Next(Escalation{
			Models: modelFamily, Answers: []Answer{{0, confidence}}, MaxCalls: 2, Value: Value(1, tariffs[2], 2000, 300),
			Price: func(m int) float64 { return tariffs[m].Price(2000, 300) },
		})
	}
	for _, confidence := range []float64{0.1, 0.4, 0.55, 0.7, 0.9} {
		if a, b := next(1, confidence), next(1e-6, confidence); a != b {
			t.Errorf("confidence %.2f: model %d, and %d with prices in another unit", confidence, a, b)
		}
	}
}
