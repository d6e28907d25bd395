package object

import "time"

// APIVersion is the schema version that each declared document must name.
const APIVersion = "bramleytrail/v1"

// Kind is the type of a declared object.
type Kind string

// Kinds of declared objects.
const (
	KindFailureDomain Kind = "FailureDomain"
	KindService       Kind = "Service"
	KindModel         Kind = "Model"
	KindVersion       Kind = "Version"
	KindTeam          Kind = "Team"
	KindSessionPolicy Kind = "SessionPolicy"
	KindCascade       Kind = "Cascade"
	KindRollout       Kind = "Rollout"
	KindRoute         Kind = "Route" // part of the platform's configuration, not declared in files
)

// Set is a complete set of declared objects, each list ordered by name.
type Set struct {
	FailureDomains  []FailureDomain `json:"failureDomains"`
	Services        []Service       `json:"services"`
	Models          []Model         `json:"models"`
	Versions        []Version       `json:"versions"`
	Teams           []Team          `json:"teams"`
	SessionPolicies []SessionPolicy `json:"sessionPolicies"`
	Cascades        []Cascade       `json:"cascades"`
	Rollouts        []Rollout       `json:"rollouts"`
	Routes          []Route         `json:"routes,omitempty"`
	Releases        []Release       `json:"releases,omitempty"`
}

// DomainState tells whether a failure domain is in service.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a group of hosts that can fail or be taken out of service together.
type FailureDomain struct {
	Name   string      `json:"name" yaml:"-"`
	Region string      `json:"region" yaml:"region"` // name of the region
	State  DomainState `json:"state" yaml:"state"`   // out: receives no new work
}

// ServiceType tells whether a service runs model engines or plain HTTP endpoints.
type ServiceType string

// Types of services.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// Service is a group of endpoints with the same protocol and limits.
type Service struct {
	Name           string      `json:"name" yaml:"-"`
	Type           ServiceType `json:"type" yaml:"type"`                     // model engines or plain HTTP services
	FailureDomains []string    `json:"failureDomains" yaml:"failureDomains"` // failure domains that have endpoints
	// Repeatable is the default for calls that don't state whether they may be repeated.
	Repeatable bool           `json:"repeatable" yaml:"repeatable"`
	Limits     EndpointLimits `json:"limits" yaml:"limits"`
	Timeouts   Timeouts       `json:"timeouts" yaml:"timeouts"`
	// ChecksFencing says whether the service's engines reject orders with a stale fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty" yaml:"checksFencing"`
	// AuthenticatesOrders says whether the engines authenticate the sender of an order.
	AuthenticatesOrders bool `json:"authenticatesOrders,omitempty" yaml:"authenticatesOrders"`
	// Placement controls how the system loads and unloads versions at the service's endpoints; disabled by default.
	Placement Placement `json:"placement,omitzero" yaml:"placement"`
	// CallPrice is the price of one call of a plain service, in micro-units of cost.
	CallPrice int64 `json:"callPrice,omitempty" yaml:"callPrice"`
	// Routed describes a service that is reached through routes; nil for other services.
	Routed *RoutedService `json:"routed,omitempty" yaml:"-"`
}

// RoutedService describes the endpoints of a service that is reached through routes. These endpoints enforce their
// limits themselves and report a rejection as such, so daemons do not divide the slots among each other.
type RoutedService struct {
	// ColdPerSecond is the number of requests per second, over all daemons, that an endpoint can take while it is cold; 0
	// if it can take as many as a warm one.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// Connections is the number of connections that an endpoint accepts; 0 if unknown. Daemons do not use it: only the check before
	// a publication compares it with the slots.
	Connections int `json:"connections,omitempty"`
	// TokensPerEvent is the number of tokens in one event of a stream; 0 if unknown.
	TokensPerEvent int `json:"tokensPerEvent,omitempty"`
	// Tariffs are the tariffs of the service's models, by name. A model without one has no declared price.
	Tariffs map[string]Tariff `json:"tariffs,omitempty"`
	// Scaling lets the system set the number of endpoints in each failure domain; nil leaves it to the platform.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Scaling bounds the number of endpoints of a service in each failure domain.
type Scaling struct {
	Minimum  int           `json:"minimum"`
	Maximum  int           `json:"maximum"`
	BootTime time.Duration `json:"bootTime"` // from an order until the new endpoint serves
}

// Tariff is what a model charges for a request, in the operators' unit of cost.
type Tariff struct {
	Read      float64 `json:"read"`      // for each prompt token that it processes
	Generated float64 `json:"generated"` // for each token of the answer
}

// Price returns the price of an answer with the given numbers of processed prompt tokens and generated tokens.
func (t Tariff) Price(read, generated int64) float64 {
	return t.Read*float64(read) + t.Generated*float64(generated)
}

// Placement controls how the versions of a service are placed on its endpoints.
type Placement struct {
	// Enabled lets the holder of each failure domain's placement duty send orders to the endpoints.
	Enabled bool `json:"enabled,omitempty" yaml:"enabled"`
	// VersionsPerEndpoint is the number of versions that fit on an endpoint.
	VersionsPerEndpoint int `json:"versionsPerEndpoint,omitempty" yaml:"versionsPerEndpoint"`
	// Role is the role that the endpoints are given; empty to leave their roles unchanged.
	Role string `json:"role,omitempty" yaml:"role"`
}

// EndpointLimits bound the work at one endpoint, summed over all daemons.
type EndpointLimits struct {
	Slots     int   `json:"slots" yaml:"slots"`         // concurrent requests when warm
	ColdSlots int   `json:"coldSlots" yaml:"coldSlots"` // concurrent requests while cold, right after start
	Tokens    int64 `json:"tokens" yaml:"tokens"`       // estimated tokens of the requests in flight; 0 for plain services
	WarmAfter int   `json:"warmAfter" yaml:"warmAfter"` // completed requests until Slots applies
}

// Timeouts bound the waits of calls to a service's endpoints.
type Timeouts struct {
	FirstByte time.Duration `json:"firstByte" yaml:"firstByte"` // longest time until the first part of an answer
	Progress  time.Duration `json:"progress" yaml:"progress"`   // longest time between two parts of an answer
}

// Model is a family of versions of one service.
type Model struct {
	Name    string `json:"name" yaml:"-"`
	Service string `json:"service" yaml:"service"` // service of type model
}

// VersionState is the lifecycle state of a version.
type VersionState string

// States of a version. A withdrawn version receives no new work; no declared object may refer to a
// retired one.
const (
	VersionActive    VersionState = "active"
	VersionWithdrawn VersionState = "withdrawn"
	VersionRetired   VersionState = "retired"
)

// Version is one deployable version of a model.
type Version struct {
	Name  string       `json:"name" yaml:"-"`
	Model string       `json:"model" yaml:"model"` // model that this is a version of
	State VersionState `json:"state" yaml:"state"` // lifecycle state; withdrawn: receives no new work
	// Quality is the expected answer rating before ratings arrive, 0 to 1.
	Quality float64 `json:"quality" yaml:"quality"`
	Prices  Prices  `json:"prices" yaml:"prices"`
	// AdapterOf is the base version that an endpoint must have loaded before it can load this one as an adapter; empty for
	// a version with its own weights.
	AdapterOf string `json:"adapterOf,omitempty" yaml:"adapterOf"`
}

// Prices are in micro-units of cost per 1,000 tokens.
type Prices struct {
	Input  int64 `json:"input" yaml:"input"`   // micro-units of cost per 1,000 prompt tokens
	Output int64 `json:"output" yaml:"output"` // micro-units of cost per 1,000 tokens of the answer
}

// Team is a customer with keys, permissions and limits.
type Team struct {
	Name string `json:"name" yaml:"-"`
	// KeyHashes are hex SHA-256 hashes of the team's bearer keys. Several are valid at once, so keys can be rotated.
	KeyHashes     []string   `json:"keyHashes" yaml:"keyHashes"`
	Models        []string   `json:"models" yaml:"models"`                         // models that the team may use
	Services      []string   `json:"services" yaml:"services"`                     // plain services that the team may call
	QualityTarget float64    `json:"qualityTarget" yaml:"qualityTarget"`           // mean answer rating that the team needs, 0 to 1
	Cascade       string     `json:"cascade,omitempty" yaml:"cascade"`             // cascade for requests that leave the choice of the model to the router
	SessionPolicy string     `json:"sessionPolicy,omitempty" yaml:"sessionPolicy"` // how the team's sessions keep their version
	Limits        TeamLimits `json:"limits" yaml:"limits"`
	// Priority orders teams under overload; 0 is lowest, 9 highest.
	Priority int `json:"priority" yaml:"priority"`
	// Rank, if set, replaces the rank of the route for the team's requests; 0 is the most urgent.
	Rank *int `json:"rank,omitempty" yaml:"-"`
	// Share is the team's relative weight when capacity is short.
	Share int `json:"share" yaml:"share"`
}

// TeamLimits bound a team's requests over the whole deployment; each daemon applies its share of them.
type TeamLimits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond" yaml:"requestsPerSecond"` // sustained rate
	Burst             int     `json:"burst" yaml:"burst"`                         // requests above the rate at once
	Concurrent        int     `json:"concurrent" yaml:"concurrent"`               // requests in flight
	MaxTokens         int64   `json:"maxTokens" yaml:"maxTokens"`                 // prompt and answer of one request
}

// WithdrawnAction says what happens to a session whose version is withdrawn.
type WithdrawnAction string

// Actions on withdrawal.
const (
	WithdrawnMove   WithdrawnAction = "move"
	WithdrawnRefuse WithdrawnAction = "refuse"
)

// SessionPolicy says how long a session keeps its version and what happens when the version is withdrawn.
type SessionPolicy struct {
	Name        string          `json:"name" yaml:"-"`
	MaxAge      time.Duration   `json:"maxAge" yaml:"maxAge"`           // age at which a session may change its version
	OnWithdrawn WithdrawnAction `json:"onWithdrawn" yaml:"onWithdrawn"` // move to another version, or refuse
}

// Cascade lists models from cheapest to best; a request whose answer is doubtful escalates to the next model.
type Cascade struct {
	Name  string   `json:"name" yaml:"-"`
	Steps []string `json:"steps" yaml:"steps"` // models, cheapest first
	// MinConfidence is the mean token probability below which an answer is doubtful; 0 for no check.
	MinConfidence float64 `json:"minConfidence,omitempty" yaml:"minConfidence"`
	// MinTokens is the length below which a finished answer is doubtful; 0 for no check.
	MinTokens int64 `json:"minTokens,omitempty" yaml:"minTokens"`
	// RatingLabel is the cascade's name in quality estimates. It is set when the configuration is indexed.
	RatingLabel string `json:"-" yaml:"-"`
}

// Label returns the name under which the ratings of the cascade's answers are kept, whichever step produced the answer.
// It ends in a slash, so it never equals the name of a version.
func (c *Cascade) Label() string {
	if c.RatingLabel != "" {
		return c.RatingLabel
	}
	return c.Name + "/"
}

// Rollout moves a model's sessions from one version to another in steps.
type Rollout struct {
	Name  string `json:"name" yaml:"-"`
	Model string `json:"model" yaml:"model"` // model whose sessions move
	From  string `json:"from" yaml:"from"`   // version that is replaced
	To    string `json:"to" yaml:"to"`       // version that is rolled out
	// Steps are shares of sessions, ascending, each above 0 and at most 1.
	Steps []float64 `json:"steps" yaml:"steps"`
	// Step is the index of the current step; -1 before the first.
	Step int `json:"step" yaml:"step"`
	// MinAnswers is the number of answers that the new version must give in a step before the rollout advances automatically;
	// 0 leaves each step to operators.
	MinAnswers int64 `json:"minAnswers,omitempty" yaml:"minAnswers"`
	// MinTime is the shortest time in a step before the rollout advances automatically.
	MinTime time.Duration `json:"minTime,omitempty" yaml:"minTime"`
	// SlowAfter is the time to the first token above which an answer counts as slow; 0 for 690 ms.
	SlowAfter time.Duration `json:"slowAfter,omitempty" yaml:"slowAfter"`
	// Attempt is a counter without effect of its own; changing it restarts a halted rollout.
	Attempt int `json:"attempt,omitempty" yaml:"attempt"`
}
