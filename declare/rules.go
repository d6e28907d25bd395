package declare

// Severity says whether daemons refuse a configuration with a finding.
type Severity string

// Severities of findings.
const (
	SeverityError   Severity = "error"   // daemons refuse the configuration
	SeverityWarning Severity = "warning" // daemons accept it, but part of it has no effect or contradicts another part
)

// Code identifies the rule that a finding breaks. Scripts depend on codes, so they stay the same when texts change.
type Code string

// Rule is a rule of configurations.
type Rule struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	Meaning  string   `json:"meaning"`
	Example  string   `json:"example"` // content that breaks the rule
}

// Codes of errors; the rules tell what each means.
const (
	CodeSyntax             Code = "syntax"
	CodeTooLarge           Code = "too-large"
	CodeInvalidField       Code = "invalid-field"
	CodeUnsupportedVersion Code = "unsupported-version"
	CodeInvalidName        Code = "invalid-name"
	CodeDuplicate          Code = "duplicate"
	CodeMissing            Code = "missing"
	CodeUnknownValue       Code = "unknown-value"
	CodeOutOfRange         Code = "out-of-range"
	CodeNotDeclared        Code = "not-declared"
	CodeWrongType          Code = "wrong-type"
	CodeNoDomainInService  Code = "no-domain-in-service"
	CodeNoUsableVersion    Code = "no-usable-version"
	CodeInvalidKeyHash     Code = "invalid-key-hash"
	CodeSharedKey          Code = "shared-key"
	CodeNoPermission       Code = "no-permission"
	CodeCascadeNotAllowed  Code = "cascade-not-allowed"
	CodeUnreachableQuality Code = "unreachable-quality"
	CodeSameVersion        Code = "same-version"
	CodeStepsNotAscending  Code = "steps-not-ascending"
	CodeRouteNoService     Code = "route-without-service"
	CodeVersionOutdated    Code = "version-outdated"
)

// Codes of warnings.
const (
	CodeUnused            Code = "unused"
	CodeStepNeverReached  Code = "step-never-reached"
	CodeServiceOut        Code = "service-out"
	CodeTokensNeverFit    Code = "tokens-never-fit"
	CodeColdNoEffect      Code = "cold-no-effect"
	CodeRouteShadowed     Code = "route-shadowed"
	CodeRouteUnreachable  Code = "route-unreachable"
	CodeWeightZero        Code = "weight-zero"
	CodeServiceUndeclared Code = "service-undeclared"
	CodeServiceUnrouted   Code = "service-unrouted"
	CodeNameRepeated      Code = "name-repeated"
	CodeKeyRepeated       Code = "key-repeated"
	CodeTeamUnreachable   Code = "team-unreachable"
	CodeTargetOverTimeout Code = "target-over-timeout"
	CodeNoTimeout         Code = "no-timeout"
	CodeAttemptsBudget    Code = "attempts-over-budget"
	CodeResumeNoEffect    Code = "resume-no-effect"
	CodeModelUnknown      Code = "model-unpriced"
	CodeConnectionsShort  Code = "connections-below-slots"
	CodeColdRate          Code = "cold-rate"
	CodeLimitIgnored      Code = "limit-ignored"
	CodeUnknownField      Code = "unknown-field"
	CodeVersionUnchanged  Code = "version-unchanged"
)

// rules holds every rule once.
var rules = []Rule{
	{CodeSyntax, SeverityError, "the content is not valid YAML or JSON, or lacks the fields of a document", "steps: [m"},
	{CodeTooLarge, SeverityError, "a file or the published form exceeds its largest size", "a file above 4 MiB"},
	{CodeInvalidField, SeverityError, "a field is unknown or has a value of the wrong type", "modells: [m]"},
	{CodeUnsupportedVersion, SeverityError, "the schema version is not supported", "apiVersion: v0"},
	{CodeInvalidName, SeverityError, "the name has invalid characters or an invalid length", "name: Bad Name"},
	{CodeDuplicate, SeverityError, "something that may occur once occurs again", "steps: [m, m]"},
	{CodeMissing, SeverityError, "a required value is missing or empty", "steps: []"},
	{CodeUnknownValue, SeverityError, "the value is none of the allowed ones", "state: maybe"},
	{CodeOutOfRange, SeverityError, "the number or duration is out of range", "priority: 10"},
	{CodeNotDeclared, SeverityError, "the name refers to no declared object", "service: none"},
	{CodeWrongType, SeverityError, "the name refers to an object of the wrong type or owner", "a cascade as a step of a cascade"},
	{CodeNoDomainInService, SeverityError, "every failure domain is out", "state: out in all failure domains"},
	{CodeNoUsableVersion, SeverityError, "the model or version can't be used in its state", "a team whose models have only withdrawn versions"},
	{CodeInvalidKeyHash, SeverityError, "the key hash is not a SHA-256 hash", "keyHashes: [secret]"},
	{CodeSharedKey, SeverityError, "the key belongs to two teams", "the same hash in two teams"},
	{CodeNoPermission, SeverityError, "the team may use nothing", "models: [] and services: []"},
	{CodeCascadeNotAllowed, SeverityError, "the team's cascade has a step that the team may not use", "cascade: c, whose step m is not in models"},
	{CodeUnreachableQuality, SeverityError, "no allowed version reaches the team's quality target", "qualityTarget: 0.99"},
	{CodeSameVersion, SeverityError, "a roll-out replaces a version by itself", "from: v1 and to: v1"},
	{CodeStepsNotAscending, SeverityError, "the shares of a roll-out do not ascend", "steps: [0.5, 0.1]"},
	{CodeRouteNoService, SeverityError, "a route has no service", `{"name": "r", "host": "a.example", "path-prefix": "/r/"}`},
	{CodeVersionOutdated, SeverityError, "the version is below the one in force (with `--in-force`)", `"version": 6, while 7 is in force`},

	{CodeUnused, SeverityWarning, "nothing refers to the object, so it has no effect", "a cascade that no team names"},
	{CodeStepNeverReached, SeverityWarning, "a step of a cascade has no active version", "a step whose versions are withdrawn"},
	{CodeServiceOut, SeverityWarning, "every failure domain of the service is out", "failureDomains: [a], where a has state: out"},
	{CodeTokensNeverFit, SeverityWarning, "a team's largest request fits on no endpoint", "maxTokens: 9000 with limits.tokens: 8000"},
	{CodeColdNoEffect, SeverityWarning, "the limit of cold endpoints has no effect", "coldSlots: 4, slots: 4, warmAfter: 10"},
	{CodeRouteShadowed, SeverityWarning, "an earlier route has the same host and prefix, so the route never matches", "two routes of a.example with the prefix /r/"},
	{CodeRouteUnreachable, SeverityWarning, "no request has the route's host or prefix", `"path-prefix": "r/"`},
	{CodeWeightZero, SeverityWarning, "a service gets no request of the route, or all weights are 0 and the first gets all", `{"service": "app", "weight": 0}`},
	{CodeServiceUndeclared, SeverityWarning, "a route names a service that is not declared", `"service": "none"`},
	{CodeServiceUnrouted, SeverityWarning, "no route names the service", `"services": [{"name": "app"}], "routes": []`},
	{CodeNameRepeated, SeverityWarning, "a later object has the same name and replaces this one", "two services with the name app"},
	{CodeKeyRepeated, SeverityWarning, "the key also belongs to another team; which of them a request counts for is undefined", "the same key in two tenants"},
	{CodeTeamUnreachable, SeverityWarning, "no request can count for the team", `{"name": "team", "api-keys": []}`},
	{CodeTargetOverTimeout, SeverityWarning, "a target is longer than the timeout, so requests end before they are late", `"timeout-ms": 500, "target-latency-ms": 1000`},
	{CodeNoTimeout, SeverityWarning, "the timeout is not positive, so the default applies", `"timeout-ms": 0`},
	{CodeAttemptsBudget, SeverityWarning, "the retry budget in the settings never allows the last attempts of a route", `"attempts": 3 with "retry-budget-ratio": 0, "retry-budget-slack": 1`},
	{CodeResumeNoEffect, SeverityWarning, "the route is no stream, so it can't be resumed", `"kind": "idempotent", "stream-resumption": true`},
	{CodeModelUnknown, SeverityWarning, "no service of the route declares a price for the model", `"sizes": ["none"]`},
	{CodeConnectionsShort, SeverityWarning, "fewer connections than slots, so some slots are never used", `"connection-limit": 4, "engine": {"slots": 8}`},
	{CodeColdRate, SeverityWarning, "a cold endpoint takes less than one request in the timeout of every route of its service", `"cold-per-s": 0.1 with "timeout-ms": 1000`},
	{CodeLimitIgnored, SeverityWarning, "the limit is negative or contradicts itself, so it is ignored", `"scaling": {"minimum": 9, "maximum": 8, "boot-time-s": 8}`},
	{CodeUnknownField, SeverityWarning, "daemons do not read the field, so it has no effect", `"time-out-ms": 500`},
	{CodeVersionUnchanged, SeverityWarning, "the version is in force with other content (with `--in-force`)", `"version": 7, while 7 is in force with other routes`},
}

// Rules returns all rules, errors first.
func Rules() []Rule { return append([]Rule(nil), rules...) }

var severities = func() map[Code]Severity {
	m := map[Code]Severity{}
	for _, r := range rules {
		m[r.Code] = r.Severity
	}
	return m
}()

// NewFinding returns a finding of the rule with this code.
func NewFinding(code Code, ref Ref, field, problem, want string) Finding {
	return Finding{Code: code, Severity: severities[code], Kind: ref.Kind, Name: ref.Name, Field: field, Problem: problem, Want: want}
}

// HasErrors reports whether daemons refuse a configuration with these findings.
func HasErrors(list []Finding) bool {
	for _, f := range list {
		if f.Severity == SeverityError {
			return true
		}
	}
	return false
}
