package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/object"
)

// modelCount is the number of models of a load. They are ordered from the cheapest and worst to the best.
const modelCount = 3

// Mean scores of good and bad answers, and the largest deviation from them. For a share sharedDifficultyShare of the requests,
// a model finds a request as difficult as the other models do; otherwise the difficulty is random for that model.
const (
	goodScore             = 0.95
	badScore              = 0.2
	scoreSpread           = 0.05
	sharedDifficultyShare = 0.7
)

// kind is a kind of request.
type kind struct {
	name          string
	weight        float64             // share of the team's requests
	quality       [modelCount]float64 // true mean score of each model
	input, output int64               // mean tokens
}

// team is a team with its quality target and the kinds of requests that it sends.
type team struct {
	name   string
	weight float64 // share of all requests
	target float64
	kinds  []kind
}

// Load describes the traffic of a deployment, the declared properties of its models and their true quality.
type Load struct {
	Name            string
	models          [modelCount]string
	declaredQuality [modelCount]float64
	prices          [modelCount]object.Prices
	teams           []team
	requests        int
	duration        time.Duration // from the first to the last request
	ratedShare      float64       // share of answers that are rated
	meanRatingDelay time.Duration // time between a request and its rating
	streamedShare   float64       // share of requests for a streamed answer
}

// Loads returns the loads of two deployments. In each, the cheapest model meets the target for at least 60 % of the requests,
// and its declared quality is too low for some kinds and too high for others.
func Loads() []Load { return []Load{hullingPeak(), reviewSeason()} }

func hullingPeak() Load {
	return Load{
		Name: "hulling-peak", models: [modelCount]string{"nuez-small", "nuez-medium", "nuez-large"},
		declaredQuality: [modelCount]float64{0.72, 0.86, 0.95},
		prices:          [modelCount]object.Prices{{Input: 40, Output: 120}, {Input: 180, Output: 540}, {Input: 900, Output: 2700}},
		teams: []team{
			{"scales", 0.7, 0.8, []kind{
				{"intake-summary", 0.7, [modelCount]float64{0.87, 0.9, 0.93}, 700, 120},
				{"moisture-grade", 0.3, [modelCount]float64{0.66, 0.88, 0.93}, 300, 40},
			}},
			{"contracts", 0.15, 0.88, []kind{
				{"contract-draft", 1, [modelCount]float64{0.55, 0.78, 0.93}, 1500, 600},
			}},
			{"lots", 0.15, 0.75, []kind{
				{"lot-note", 1, [modelCount]float64{0.82, 0.88, 0.92}, 400, 80},
			}},
		},
		requests: 40_000, duration: 4 * time.Hour, ratedShare: 0.25, meanRatingDelay: 5 * time.Minute, streamedShare: 0.6,
	}
}

func reviewSeason() Load {
	return Load{
		Name: "review-season", models: [modelCount]string{"lamp-small", "lamp-medium", "lamp-large"},
		declaredQuality: [modelCount]float64{0.7, 0.84, 0.96},
		prices:          [modelCount]object.Prices{{Input: 30, Output: 90}, {Input: 150, Output: 450}, {Input: 800, Output: 2400}},
		teams: []team{
			{"captions", 0.35, 0.7, []kind{
				{"photo-caption", 1, [modelCount]float64{0.8, 0.86, 0.92}, 250, 40},
			}},
			{"dossiers", 0.4, 0.8, []kind{
				{"dossier-reading", 0.65, [modelCount]float64{0.86, 0.9, 0.94}, 2500, 250},
				{"safety-summary", 0.35, [modelCount]float64{0.7, 0.87, 0.93}, 900, 180},
			}},
			{"reviews", 0.25, 0.88, []kind{
				{"review-draft", 0.6, [modelCount]float64{0.6, 0.82, 0.93}, 3000, 700},
				{"review-note", 0.4, [modelCount]float64{0.74, 0.92, 0.94}, 800, 150},
			}},
		},
		requests: 40_000, duration: 36 * time.Hour, ratedShare: 0.25, meanRatingDelay: time.Hour, streamedShare: 0.5,
	}
}

// version returns the name of the only version of a model.
func (l *Load) version(model int) string { return l.models[model] + "-1" }

const cascadeName = "climb"

// view returns the configuration of the load. If cascades is set, each team has a cascade of all models. The error means that
// the configuration is not valid.
func (l *Load) view(cascades bool) (*config.View, error) {
	timeouts := object.Timeouts{FirstByte: time.Second, Progress: time.Second}
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "domain", Region: "region", State: object.DomainIn}},
		Services: []object.Service{{Name: "llm", Type: object.ServiceModel, FailureDomains: []string{"domain"}, Repeatable: true, Timeouts: timeouts,
			Limits: object.EndpointLimits{Slots: 1, ColdSlots: 1, Tokens: 1}}},
		Cascades: []object.Cascade{{Name: cascadeName, Steps: l.models[:], MinConfidence: minConfidence}},
	}
	for i, m := range l.models {
		set.Models = append(set.Models, object.Model{Name: m, Service: "llm"})
		set.Versions = append(set.Versions, object.Version{Name: l.version(i), Model: m, State: object.VersionActive, Quality: l.declaredQuality[i], Prices: l.prices[i]})
	}
	for _, t := range l.teams {
		o := object.Team{Name: t.name, KeyHashes: []string{config.HashKey(t.name)}, Models: l.models[:], QualityTarget: t.target, Share: 1,
			Limits: object.TeamLimits{RequestsPerSecond: 1, Burst: 1, Concurrent: 1, MaxTokens: 1 << 16}}
		if cascades {
			o.Cascade = cascadeName
		}
		set.Teams = append(set.Teams, o)
	}
	declare.Sort(&set)
	body, digest, err := declare.Encode(set)
	if err != nil {
		return nil, fmt.Errorf("encode configuration of load %s: %w", l.Name, err)
	}
	return config.NewView(config.Revision{Number: 1, Digest: digest, Body: body})
}

// answer is the answer that one model would give to a request.
type answer struct {
	score        float64
	early, final float64 // confidence after the first tokens and at the end
}

// request is one request with the answers that all models would give. Policies must not use the answers.
type request struct {
	id            string
	arrival       time.Duration
	team, kind    int
	input, output int64
	stream        bool
	rated         bool
	ratingDelay   time.Duration
	answers       [modelCount]answer
}

// generate returns the load's requests in order of arrival. The same seed gives the same requests.
func (l *Load) generate(seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 0x10ad))
	out := make([]request, l.requests)
	for i := range out {
		// Arrivals are densest in the middle and at both ends of the run, as at a hulling peak or in the weeks before a fair.
		x := (float64(i) + rng.Float64()) / float64(l.requests)
		r := request{id: fmt.Sprintf("%d-%d", seed, i), arrival: time.Duration(float64(l.duration) * (x - math.Sin(4*math.Pi*x)/(8*math.Pi)))}
		r.team = pickWeighted(rng, len(l.teams), func(j int) float64 { return l.teams[j].weight })
		kinds := l.teams[r.team].kinds
		r.kind = pickWeighted(rng, len(kinds), func(j int) float64 { return kinds[j].weight })
		k := &kinds[r.kind]
		size := 0.5 + rng.Float64()
		r.input, r.output = int64(size*float64(k.input)), int64(size*float64(k.output))
		r.stream = rng.Float64() < l.streamedShare
		r.rated = rng.Float64() < l.ratedShare
		r.ratingDelay = time.Duration(rng.ExpFloat64() * float64(l.meanRatingDelay))
		r.answers = k.answers(rng)
		out[i] = r
	}
	return out
}

// pickWeighted returns a random index below n with the probability that weight returns for it. The weights must add up to 1.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	x := rng.Float64()
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// answers draws the models' answers to one request. The probability of a good answer is such that the mean score is the
// kind's quality. The confidence separates good from bad answers imperfectly, and less well after the first tokens than at
// the end.
func (k *kind) answers(rng *rand.Rand) (out [modelCount]answer) {
	difficulty := rng.Float64()
	for m := range out {
		hardness := difficulty
		if rng.Float64() > sharedDifficultyShare {
			hardness = rng.Float64()
		}
		mean, confidence := badScore, 0.55
		if hardness < (k.quality[m]-badScore)/(goodScore-badScore) {
			mean, confidence = goodScore, 0.82
		}
		out[m] = answer{
			score: mean + scoreSpread*(2*rng.Float64()-1),
			early: clamp(confidence + 0.16*rng.NormFloat64()),
			final: clamp(confidence + 0.1*rng.NormFloat64()),
		}
	}
	return out
}

// clamp limits a confidence to the range from 0.01 to 0.99.
func clamp(x float64) float64 { return min(0.99, max(0.01, x)) }

// cost returns the cost in micro-units of a call with the given numbers of tokens.
func (l *Load) cost(model int, input, output int64) float64 {
	return float64(input*l.prices[model].Input+output*l.prices[model].Output) / 1000
}
