package release

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// The daemons that share a release. Times and relays are those of package gateway.
const (
	simDomains, simDaemons = 4, 60
	simRelays              = 2                     // of each domain
	simStep                = 50 * time.Millisecond // between two looks at the daemons
	simLost                = 0.05                  // share of the messages
	simSendEvery           = 650 * time.Millisecond
	simSendPromoted        = 250 * time.Millisecond
)

// spreadService is a service whose endpoints answer in times of a log-normal distribution.
type spreadService struct {
	rng       *rand.Rand
	rate      float64
	sigma     float64 // of the logarithm of the time of an answer
	endpoints int     // of each version
	version   badVersion
	cold      float64 // by how much all answers of the new version are slower in its first coldFor
	grey      bool    // whether a fifth of the endpoints are five times slower for 6 s
}

const (
	spreadDuration, warmUp, coldFor, greyFrom, greyFor = 18 * time.Second, 4 * time.Second, 6 * time.Second, 6 * time.Second, 6 * time.Second
	spreadFactor                                       = 5
)

var simStart = time.Unix(0, 0)

// simDaemon is a daemon with what it knows of the release.
type simDaemon struct {
	baseline          *Baseline
	own, known, atPro Evidence
	peers             [simDaemons]Evidence // of its domain
	domains           [simDomains]Evidence
	phase             Phase
	promotedAt        time.Duration
	open              []simAttempt
	early             EarlyAnswers
	ratedAt           time.Duration
	rated             int64
	requestsPerSecond float64
}

type simAttempt struct {
	at, until       time.Duration
	route, endpoint int
	isNew, bad      bool
}

// answer returns the time until the answer of an attempt and whether it is bad.
func (s *spreadService) answer(at time.Duration, route, endpoint int, isNew bool, phase Phase) (time.Duration, bool) {
	d := 60 * float64(route+1) * math.Exp(s.sigma*s.rng.NormFloat64())
	slow := isNew && s.version.slow > 0 && at.Seconds() >= s.version.from*spreadDuration.Seconds() && (!s.version.underLoad || phase != Canary) && s.rng.Float64() < s.version.slow
	if slow {
		d *= spreadFactor
	}
	if isNew && at < coldFor && s.cold > 0 {
		d *= s.cold
	}
	if s.grey && at >= greyFrom && at < greyFrom+greyFor && endpoint%5 == 0 {
		d *= spreadFactor
	}
	return time.Duration(d * float64(time.Millisecond)), slow
}

// ofDaemon returns the evidence with the attempts that are slow so far.
func (d *simDaemon) ofDaemon(now time.Duration) Evidence {
	d.early.Settle(d.baseline, &d.own, simStart.Add(now))
	sum := d.own.Clone()
	for _, a := range d.open {
		if t := d.baseline.CompareLatency("s", strconv.Itoa(a.route), "", now-a.at); a.isNew && t.Slow > 0 {
			sum.RecordLatency(strconv.Itoa(a.route), strconv.Itoa(a.endpoint), t)
		}
	}
	return sum
}

func (d *simDaemon) ofDomain(now time.Duration) Evidence {
	sum := d.ofDaemon(now)
	for _, p := range d.peers {
		sum.Add(p)
	}
	return sum
}

// finish records the answers that have come.
func (d *simDaemon) finish(now time.Duration, bad func(at time.Duration)) {
	open := d.open[:0]
	for _, a := range d.open {
		if a.until > now {
			open = append(open, a)
			continue
		}
		route := strconv.Itoa(a.route)
		answer := Answer{Route: route, Endpoint: strconv.Itoa(a.endpoint), New: a.isNew}
		if !a.isNew {
			answer.Scaled = d.baseline.CompareScaled("s", route, "", a.until-a.at)
		}
		if a.at < 0 || !a.isNew {
			d.baseline.Add("s", route, "", a.until-a.at)
		}
		if a.at < 0 {
			continue
		}
		if a.isNew {
			answer.Latency = d.baseline.CompareLatency("s", route, "", a.until-a.at)
			if answer.Latency.Slow == 0 && d.early.Add("s", route, "", answer.Endpoint, simStart.Add(a.at), answer.Latency) {
				answer.Latency = Timing{}
			}
		}
		d.own.Record(answer)
		if a.bad {
			bad(a.until)
		}
	}
	d.open = open
}

// evaluate returns the next phase as the daemon decides on it.
func (d *simDaemon) evaluate(now time.Duration, endpoints int) Phase {
	total := d.ofDomain(now)
	for _, e := range d.domains {
		total.Add(e)
	}
	d.known = total
	if elapsed := now - d.ratedAt; elapsed >= time.Second {
		d.requestsPerSecond = (d.requestsPerSecond + float64(total.Requests-d.rated)/elapsed.Seconds()) / 2
		d.ratedAt, d.rated = now, total.Requests
	}
	return NextPhase(State{d.phase, now, total, d.atPro, d.promotedAt, d.requestsPerSecond, endpoints}, &object.Release{Service: "s", TargetVersion: "v2", Duration: spreadDuration}, Limit{exposureShare, exposureSlack})
}

// run plays the release over all daemons until 6 s after its deadline.
func (s *spreadService) run() (out outcome) {
	daemons := make([]*simDaemon, simDaemons)
	for i := range daemons {
		daemons[i] = &simDaemon{baseline: NewBaseline(), phase: Canary}
	}
	lost := func() bool { return s.rng.Float64() < simLost }
	enter := func(d *simDaemon, p Phase, now time.Duration) {
		if p == Promoted && d.phase == Canary {
			d.atPro, d.promotedAt = d.known.Clone(), now
		}
		d.phase = p
	}
	badAnswers, fiftieth := 0, time.Duration(0)
	out.phase = Canary
	for now := -warmUp; now < spreadDuration+6*time.Second; now += simStep {
		for n := s.rate*simStep.Seconds() + s.rng.Float64(); n >= 1; n-- {
			d := daemons[s.rng.IntN(simDaemons)]
			route, endpoint := s.rng.IntN(simRoutes), s.rng.IntN(s.endpoints)
			isNew := now >= 0 && (d.phase == Promoted || d.phase == Completed || d.phase == Canary && InCanary(s.rng.Uint64(), false, exposureShare))
			latency, bad := s.answer(now, route, endpoint, isNew, d.phase)
			d.open = append(d.open, simAttempt{now, now + latency, route, endpoint, isNew, bad})
			if now < 0 {
				continue
			}
			d.own.Requests++
			if now < spreadDuration {
				out.requests++
			}
			if isNew {
				d.own.Exposed++
				if now < spreadDuration {
					out.exposed++
				}
				if fiftieth > 0 && now > fiftieth+detectionLimit {
					out.afterLimit++
				}
			}
		}
		for i, d := range daemons {
			d.finish(now, func(at time.Duration) {
				if badAnswers++; badAnswers == 50 {
					fiftieth = at
				}
			})
			tick := int((now + warmUp) / simStep)
			sendEvery := simSendEvery
			if d.phase == Promoted {
				sendEvery = simSendPromoted
			}
			if now > 0 && (tick+i)%int(sendEvery/simStep) == 0 {
				own, domain := d.ofDaemon(now), Evidence{}
				if i/simDomains < simRelays {
					domain = d.ofDomain(now)
				}
				for j, peer := range daemons {
					switch {
					case j == i:
					case j%simDomains == i%simDomains && !lost():
						peer.peers[i] = own
					case j%simDomains != i%simDomains && domain.Requests > peer.domains[i%simDomains].Requests && !lost():
						peer.domains[i%simDomains] = domain
					}
				}
			}
			evaluation := promptEvaluation
			if d.phase == Promoted {
				evaluation /= 3
			}
			if now <= 0 || (tick+i)%int(evaluation/simStep) != 0 {
				continue
			}
			p := d.evaluate(now, s.endpoints)
			if p == d.phase || p != Reverted && i > 0 { // promotion and completion are stored by the first daemon
				continue
			}
			for _, peer := range daemons {
				if next := Hear(peer.phase, p); next != peer.phase && (peer == d || p != Reverted || !lost()) {
					enter(peer, next, now)
				}
			}
			if out.phase = p; p == Completed {
				out.completedAt = now
			}
		}
	}
	return out
}

// checkSlowVersions plays versions of which 3 of 10 answers take five times as long, among answers whose times have the given spread.
func checkSlowVersions(t *testing.T, sigma float64) {
	for name, v := range map[string]badVersion{
		"slow": {slow: 0.3}, "slow late": {slow: 0.3, from: 0.5}, "slow under load": {slow: 0.3, underLoad: true},
	} {
		late, requests, exceeded := 0, 0, 0
		for seed := range uint64(5) {
			s := spreadService{rng: rand.New(rand.NewPCG(seed, 500)), rate: 500, sigma: sigma, endpoints: 20, version: v}
			out := s.run()
			if requests += out.afterLimit; out.afterLimit > 0 {
				late++
			}
			if float64(out.exposed) > exposureShare*float64(out.requests)+exposureSlack {
				exceeded++
			}
		}
		if late > 0 || exceeded > 0 {
			t.Errorf("%s, sigma %.1f: %d of 5 too late, %d requests; %d of 5 beyond the exposure", name, sigma, late, requests, exceeded)
		}
	}
}

// Guards against a slow version that is completed, or stays in use, because the daemons' evidence of its slow answers comes too late.
func TestSlowVersionOverManyDaemons(t *testing.T) { checkSlowVersions(t, 0.3) }

// Guards against a slow version that is not recognized because its slow answers are not much longer than long ones of the version in use.
func TestSlowVersionAmongUnequalAnswers(t *testing.T) {
	for _, sigma := range []float64{0.5, 0.8} {
		checkSlowVersions(t, sigma)
	}
}

// Guards against sound versions that are taken back or completed late because they start cold or some endpoints are slow.
func TestSoundVersionOverManyDaemons(t *testing.T) {
	for _, sigma := range []float64{0.3, 0.8} {
		for _, cold := range []float64{1, 1.9} {
			for _, grey := range []bool{false, true} {
				reverted, late := 0, 0
				for seed := range uint64(2) {
					s := spreadService{rng: rand.New(rand.NewPCG(seed, 600)), rate: 500, sigma: sigma, endpoints: 20, cold: cold, grey: grey}
					switch out := s.run(); {
					case out.phase == Reverted:
						reverted++
					case out.phase != Completed || out.completedAt > spreadDuration:
						late++
					}
				}
				if reverted > 0 || late > 0 {
					t.Errorf("sigma %.1f, cold %.1f, slow endpoints %t: %d of 2 taken back, %d not completed in time", sigma, cold, grey, reverted, late)
				}
			}
		}
	}
}
