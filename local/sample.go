package local

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Names in the sample configuration.
const (
	SampleTeam    = "growers"
	SampleKey     = "growers-example-key" // API key of the team
	SampleLLM     = "llm"                 // model service
	SamplePlain   = "lots"                // plain service
	SampleSmall   = "small-1"             // version of model small
	SampleLarge   = "large-1"             // version of model large
	SampleDomainA = "north"
	SampleDomainB = "south"
)

// SampleSet returns a small valid configuration: two failure domains, two models, a plain service and one team.
func SampleSet() object.Set {
	domains := []string{SampleDomainA, SampleDomainB}
	timeouts := object.Timeouts{FirstByte: 2 * time.Second, Progress: time.Second}
	return object.Set{
		FailureDomains: []object.FailureDomain{
			{Name: SampleDomainA, Region: "andes", State: object.DomainIn},
			{Name: SampleDomainB, Region: "andes", State: object.DomainIn},
		},
		Services: []object.Service{
			{Name: SampleLLM, Type: object.ServiceModel, FailureDomains: domains, Repeatable: true, Timeouts: timeouts,
				Limits: object.EndpointLimits{Slots: 64, ColdSlots: 16, Tokens: 200_000, WarmAfter: 4}},
			{Name: SamplePlain, Type: object.ServicePlain, FailureDomains: domains, Timeouts: timeouts, CallPrice: 500,
				Limits: object.EndpointLimits{Slots: 64, ColdSlots: 64}},
		},
		Models: []object.Model{{Name: "small", Service: SampleLLM}, {Name: "large", Service: SampleLLM}},
		Versions: []object.Version{
			{Name: SampleSmall, Model: "small", State: object.VersionActive, Quality: 0.75, Prices: object.Prices{Input: 40, Output: 120}},
			{Name: SampleLarge, Model: "large", State: object.VersionActive, Quality: 0.95, Prices: object.Prices{Input: 900, Output: 2700}},
		},
		SessionPolicies: []object.SessionPolicy{{Name: "day", MaxAge: 24 * time.Hour, OnWithdrawn: object.WithdrawnMove}},
		Teams: []object.Team{{
			Name: SampleTeam, KeyHashes: []string{config.HashKey(SampleKey)}, Models: []string{"small", "large"}, Services: []string{SamplePlain},
			QualityTarget: 0.7, SessionPolicy: "day", Share: 1,
			Limits: object.TeamLimits{RequestsPerSecond: 10_000, Burst: 10_000, Concurrent: 10_000, MaxTokens: 8192},
		}},
	}
}

// DeploySample adds a number of daemons, alternately in two failure domains, and in each domain one endpoint of each
// model and of the plain service. It publishes the sample configuration and waits until the daemons are ready and have
// the endpoints' load reports. engine is the spec of the engines, whose name and versions are replaced.
func DeploySample(ctx context.Context, d *Deployment, daemons int, engine standin.EngineSpec) error {
	return DeploySampleSet(ctx, d, daemons, engine, SampleSet())
}

// DeploySampleSet is DeploySample with another configuration, which must have the names of the sample configuration.
func DeploySampleSet(ctx context.Context, d *Deployment, daemons int, engine standin.EngineSpec, set object.Set) error {
	domains := []string{SampleDomainA, SampleDomainB}
	for _, domain := range domains {
		for _, version := range []string{SampleSmall, SampleLarge} {
			spec := engine
			spec.Name, spec.Versions = fmt.Sprintf("%s-%s", version, domain), []string{version}
			if _, err := d.AddEngine(domain, SampleLLM, spec); err != nil {
				return err
			}
		}
		if _, err := d.AddPlainEndpoint(domain, SamplePlain, "lots-"+domain); err != nil {
			return err
		}
	}
	for i := range daemons {
		s := d.Settings(fmt.Sprintf("entry-%d", i+1), domains[i%len(domains)])
		if _, err := d.AddDaemon(s); err != nil {
			return err
		}
	}
	rev, err := d.Publish(ctx, set)
	if err != nil {
		return err
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		return err
	}
	const endpoints = 6
	return d.WaitEndpoints(ctx, endpoints)
}
