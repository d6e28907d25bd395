package choose

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

// rolloutView returns a configuration with a rollout of model m from m-1 to m-2 at a step, and a more expensive model
// n. A non-nil modify changes the objects first.
func rolloutView(t *testing.T, step int, modify func(*object.Set)) *config.View {
	t.Helper()
	timeouts := object.Timeouts{FirstByte: time.Second, Progress: time.Second}
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "a", Region: "r", State: object.DomainIn}, {Name: "b", Region: "r", State: object.DomainIn}},
		Services: []object.Service{{Name: "s", Type: object.ServiceModel, FailureDomains: []string{"a", "b"}, Timeouts: timeouts,
			Limits: object.EndpointLimits{Slots: 1, ColdSlots: 1, Tokens: 1}}},
		Models: []object.Model{{Name: "m", Service: "s"}, {Name: "n", Service: "s"}},
		Versions: []object.Version{
			{Name: "m-1", Model: "m", State: object.VersionActive, Quality: 0.8, Prices: object.Prices{Input: 1, Output: 1}},
			{Name: "m-2", Model: "m", State: object.VersionActive, Quality: 0.8, Prices: object.Prices{Input: 1, Output: 1}},
			{Name: "n-1", Model: "n", State: object.VersionActive, Quality: 0.9, Prices: object.Prices{Input: 9, Output: 9}},
		},
		SessionPolicies: []object.SessionPolicy{{Name: "p", MaxAge: time.Hour, OnWithdrawn: object.WithdrawnMove}},
		Rollouts:        []object.Rollout{{Name: "r", Model: "m", From: "m-1", To: "m-2", Steps: []float64{0.1, 0.5, 1}, Step: step}},
		Teams: []object.Team{{Name: "t", KeyHashes: []string{config.HashKey("k")}, Models: []string{"m", "n"}, QualityTarget: 0.5, SessionPolicy: "p",
			Share: 1, Limits: object.TeamLimits{RequestsPerSecond: 1, Burst: 1, Concurrent: 1, MaxTokens: 1}}},
	}
	if modify != nil {
		modify(&set)
	}
	body, digest, err := declare.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	v, err := config.NewView(config.Revision{Number: 1, Digest: digest, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// withdrawVersion returns a modification that withdraws a version and sets the session policy for withdrawn versions.
func withdrawVersion(name string, policy object.WithdrawnAction) func(*object.Set) {
	return func(s *object.Set) {
		s.SessionPolicies[0].OnWithdrawn = policy
		for i := range s.Versions {
			if s.Versions[i].Name == name {
				s.Versions[i].State = object.VersionWithdrawn
			}
		}
	}
}

var sessionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// chosenVersion returns the preferred version for a request. It checks that a session has only one candidate.
func chosenVersion(t *testing.T, v *config.View, model string, tok session.Token) (string, error) {
	t.Helper()
	choice, err := New(Spec{Estimator: Declared{}}).Do(Input{View: v, Team: v.Teams["t"], Model: model, Session: tok, RequestID: "q", Now: sessionStart.Add(time.Minute)})
	if err != nil {
		return "", err
	}
	c := choice.Candidates
	if tok.ID != "" && len(c) != 1 {
		t.Errorf("a session has %d candidates; want one", len(c))
	}
	return c[0].Version.Name, nil
}

// Guards against a session that changes its version when a rollout step moves in either direction, or when a failure
// domain, the prices or the team's quality target change. Covers signed tokens and unsigned sessions with the caller's
// own identifier.
func TestSessionStaysOnItsVersion(t *testing.T) {
	changes := []func(*object.Set){
		nil,
		func(s *object.Set) { s.FailureDomains[0].State = object.DomainOut },
		func(s *object.Set) { s.Versions[0].Prices.Input, s.Versions[1].Prices.Input = 50, 50 },
		func(s *object.Set) { s.Teams[0].QualityTarget = 0.85 },
	}
	steps := []int{-1, 0, 1, 2, 1, 0, -1}
	views := map[[2]int]*config.View{}
	for _, step := range steps {
		for n, change := range changes {
			views[[2]int{step, n}] = rolloutView(t, step, change)
		}
	}
	for i := range 200 {
		id := fmt.Sprintf("session-%d", i)
		for _, model := range []string{"m", AutoModel} {
			unsigned := session.Token{ID: id}
			signed := session.Token{ID: id, Team: "t", Issued: sessionStart}
			var signedVersion, unsignedVersion string
			for _, step := range steps {
				for n := range changes {
					v := views[[2]int{step, n}]
					got, err := chosenVersion(t, v, model, signed)
					if err != nil {
						t.Fatal(err)
					}
					if signedVersion == "" {
						if step < 1 {
							continue // the session starts in the middle of the rollout
						}
						signedVersion = got
						signed.Versions = []string{got}
					}
					if got != signedVersion {
						t.Fatalf("%s with a token moved from %s to %s at step %d, change %d", id, signedVersion, got, step, n)
					}
					if model == AutoModel && n > 1 {
						continue // without a token, nothing records the chosen model; see docs/sessions.md
					}
					if got, err = chosenVersion(t, v, model, unsigned); err != nil {
						t.Fatal(err)
					}
					if unsignedVersion == "" {
						unsignedVersion = got
					}
					if got != unsignedVersion {
						t.Fatalf("%s without a token moved from %s to %s at step %d, change %d", id, unsignedVersion, got, step, n)
					}
				}
			}
		}
	}
}

// Guards against a session that stays on a withdrawn version: the policy either moves it or refuses its requests. A
// session without a token must be moved, not refused.
func TestWithdrawnVersionAndSessions(t *testing.T) {
	signed := session.Token{ID: "x", Team: "t", Issued: sessionStart, Versions: []string{"m-1"}}
	for _, model := range []string{"m", AutoModel} {
		v := rolloutView(t, 0, withdrawVersion("m-1", object.WithdrawnMove))
		for _, tok := range []session.Token{signed, {ID: "x"}} {
			if got, err := chosenVersion(t, v, model, tok); err != nil || got != "m-2" {
				t.Errorf("model %s with policy move: version %q, error %v; want m-2", model, got, err)
			}
		}
		v = rolloutView(t, 0, withdrawVersion("m-1", object.WithdrawnRefuse))
		_, err := chosenVersion(t, v, model, signed)
		if refusal := result.From(err); err == nil || refusal.Code != result.VersionWithdrawn || refusal.Ran != result.NotRun {
			t.Errorf("model %s with policy refuse: error %v; want a refusal that did not run", model, err)
		}
	}
	if _, err := chosenVersion(t, rolloutView(t, 0, withdrawVersion("m-1", object.WithdrawnMove)), "m-1", session.Token{}); err == nil {
		t.Error("withdrawn version chosen for a request that names it")
	}
}

// Guards against a signer that rejects the largest token that it issues, which has the longest names and most versions.
func TestLargestTokenIsAccepted(t *testing.T) {
	tok := session.Token{ID: fmt.Sprintf("%0128d", 1), Team: fmt.Sprintf("%063d", 1), Issued: sessionStart}
	for i := range 18 {
		tok.Versions = append(tok.Versions, fmt.Sprintf("%063d", i))
	}
	s := session.NewSigner([]byte("0123456789abcdef"))
	value, err := s.Encode(tok)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Parse(value); err != nil {
		t.Error(err)
	}
	if _, err := s.Parse(value[:len(value)-1] + "!"); !errors.Is(err, session.ErrBadToken) {
		t.Errorf("parse a tampered token: error %v; want %v", err, session.ErrBadToken)
	}
}
