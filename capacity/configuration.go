package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/object"
)

// Names and sizes in the generated configuration.
const (
	service   = "llm"
	callerKey = "capacity-example-key-0"
	regions   = 2
	domains   = 5
)

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func domainNames() []string {
	var out []string
	for i := range domains {
		out = append(out, domainName(i))
	}
	return out
}

func versionName(i int) string { return fmt.Sprintf("model-%d-v%d", i/2, i%2) }

// newConfiguration returns a valid configuration with two versions of each model. Different suffixes give different
// configurations, so that a publish is a change.
func newConfiguration(versions, teams int, suffix string) object.Set {
	timeouts := object.Timeouts{FirstByte: 5 * time.Second, Progress: 5 * time.Second}
	s := object.Set{
		Services: []object.Service{{
			Name: service, Type: object.ServiceModel, FailureDomains: domainNames(), Repeatable: true, Timeouts: timeouts,
			Limits: object.EndpointLimits{Slots: 32, ColdSlots: 32, Tokens: 4_000_000, WarmAfter: 4},
		}},
		SessionPolicies: []object.SessionPolicy{{Name: "policy-" + suffix, MaxAge: time.Hour, OnWithdrawn: object.WithdrawnMove}},
	}
	for i := range domains {
		s.FailureDomains = append(s.FailureDomains, object.FailureDomain{Name: domainName(i), Region: fmt.Sprintf("region-%d", i%regions), State: object.DomainIn})
	}
	for i := range versions {
		model := fmt.Sprintf("model-%d", i/2)
		if i%2 == 0 {
			s.Models = append(s.Models, object.Model{Name: model, Service: service})
		}
		s.Versions = append(s.Versions, object.Version{
			Name: versionName(i), Model: model, State: object.VersionActive, Quality: 0.9, Prices: object.Prices{Input: 40 + int64(i), Output: 120},
		})
	}
	for i := range teams {
		s.Teams = append(s.Teams, newTeam(i, "policy-"+suffix))
	}
	return s
}

// newTeam returns a team whose limits the load does not reach.
func newTeam(i int, policy string) object.Team {
	key := callerKey
	if i > 0 { // team 0 has the key that the load uses
		key = fmt.Sprintf("key-%d-%d", i, rand.New(rand.NewPCG(uint64(i), 1)).Uint64())
	}
	return object.Team{
		Name: fmt.Sprintf("team-%d", i), KeyHashes: []string{config.HashKey(key)}, Models: []string{"model-0"}, Services: []string{},
		QualityTarget: 0.7, SessionPolicy: policy, Share: 1, Priority: i % 10,
		Limits: object.TeamLimits{RequestsPerSecond: 100_000, Burst: 100_000, Concurrent: 100_000, MaxTokens: 32_768},
	}
}

// configurationBytes returns the size in bytes of a configuration in its published form.
func configurationBytes(versions, teams int) (float64, error) {
	body, _, err := declare.Encode(newConfiguration(versions, teams, "0"))
	return float64(len(body)), err
}
