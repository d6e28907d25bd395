package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/platform"
)

func readText(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

const (
	declaredExample = "../declare/example.yaml"
	platformExample = "../platform/example.json"
)

// runCheck runs the command check on text as standard input and returns its exit code and decoded output.
func runCheck(t *testing.T, store kv.Store, text string, args ...string) (int, checkOutput) {
	t.Helper()
	var out, errs bytes.Buffer
	args = append([]string{"--store", "http://store", "check", "--format", "json", "-"}, args...)
	code := Run(context.Background(), args, strings.NewReader(text), &out, &errs, func(string) kv.Store { return store })
	var v checkOutput
	if code != ExitUsage {
		if err := json.Unmarshal(out.Bytes(), &v); err != nil {
			t.Fatal(err, out.String(), errs.String())
		}
	}
	return code, v
}

func putDocument(t *testing.T, store kv.Store, document string) {
	t.Helper()
	if _, err := store.CAS(context.Background(), platform.ConfigKey, []byte(document), kv.Revision{}, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a rule that is not applied, reports a wrong place, or offers no example. Each edit of a valid example breaks one rule.
func TestEachRuleIsReported(t *testing.T) {
	declared, document := readText(t, declaredExample), readText(t, platformExample)
	second := "---\napiVersion: bramleytrail/v1\nkind: "
	settings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(settings, []byte(`{"node-name":"a","zone":"z","ip-address":"10.0.0.1","listen-addresses":{"front":"10.0.0.1:80","ready":"10.0.0.1:81"},"internal-port-range":[1,2],"limits":{"memory-mb":128},
"bounds":{"grace-period-s":8,"retry-budget-slack":1},"platform":{"address":"10.0.0.2:82"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ code, file, old, new, field string }{
		{"syntax", declared, "[north]", "[north", ""},
		{"syntax", document, `"version": 7,`, `"version": 7`, ""},
		{"too-large", declared, "spec:", "#" + strings.Repeat("x", declare.MaxFileBytes) + "\nspec:", ""},
		{"invalid-field", declared, "models:", "modells:", "spec"},
		{"invalid-field", document, `"attempts": 3`, `"attempts": "3"`, "routes.attempts"},
		{"unsupported-version", declared, "bramleytrail/v1", "v0", "apiVersion"},
		{"invalid-name", declared, "name: north", "name: North", "name"},
		{"duplicate", declared, "steps: [small]", "steps: [small, small]", "steps[1]"},
		{"missing", declared, "steps: [small]", "steps: []", "steps"},
		{"unknown-value", declared, "onWithdrawn: move", "onWithdrawn: stay", "onWithdrawn"},
		{"out-of-range", declared, "coldSlots: 2", "coldSlots: 9", "limits.coldSlots"},
		{"not-declared", declared, "service: llm", "service: none", "service"},
		{"wrong-type", declared, "type: model", "type: plain", "service"},
		{"no-domain-in-service", declared, "state: in", "state: out", "state"},
		{"no-usable-version", declared, "from: small-1", "from: small-1\n  ", ""},
		{"invalid-key-hash", declared, "[92f1", "[zzzz", "keyHashes[0]"},
		{"shared-key", declared, "keyHashes: [", "keyHashes: [92f1c1dcf20618d223e85b2943677a1ca20af98fa4479fd53c91725586d2baa1, ", "keyHashes[1]"},
		{"no-permission", declared, "models: [small]", "models: []", "models"},
		{"cascade-not-allowed", declared, "models: [small]", "models: []", "cascade"},
		{"unreachable-quality", declared, "qualityTarget: 0.7", "qualityTarget: 0.9", "qualityTarget"},
		{"same-version", declared, "from: small-1", "from: small-2", "to"},
		{"steps-not-ascending", declared, "[0.1, 0.5, 1]", "[0.5, 0.1]", "steps[1]"},
		{"route-without-service", document, `"service": "app", `, "", "routes[1].service"},
		{"unused", declared, "  cascade: drafts\n", "", ""},
		{"step-never-reached", declared, "kind: Cascade\nname: drafts\nspec: {steps: [small]", "kind: Cascade\nname: drafts\nspec: {steps: [small, idle]", "steps[1]"},
		{"service-out", declared, "[north]", "[south]", "failureDomains"},
		{"tokens-never-fit", declared, "maxTokens: 8192", "maxTokens: 65537", "limits.maxTokens"},
		{"cold-no-effect", declared, "coldSlots: 2", "coldSlots: 8", "limits.coldSlots"},
		{"target-over-timeout", declared, "step: 0", "step: 0, slowAfter: 5s", "slowAfter"},
		{"route-shadowed", document, `"/app/"`, `"/chat/"`, "routes[1].path-prefix"},
		{"route-unreachable", document, `"/app/"`, `"app/"`, "routes[1].path-prefix"},
		{"weight-zero", document, `"weight": 1}`, `"weight": 0}`, "routes[0].traffic-split[1].weight"},
		{"service-undeclared", document, `"service": "app"`, `"service": "none"`, "routes[1].service"},
		{"service-unrouted", document, `"service": "app"`, `"service": "llm"`, "services[2]"},
		{"name-repeated", document, `"name": "llm-next"`, `"name": "llm"`, "services[0].name"},
		{"key-repeated", document, `"tenants": [`, `"tenants": [{"name": "b", "api-keys": ["a-key"]}, `, "tenants[1].api-keys[0]"},
		{"team-unreachable", document, `["a-key"]`, `[]`, "tenants[0].api-keys"},
		{"target-over-timeout", document, `"timeout-ms": 8000`, `"timeout-ms": 800`, "routes[0].target-latency-ms"},
		{"no-timeout", document, `"timeout-ms": 8000`, `"timeout-ms": 0`, "routes[0].timeout-ms"},
		{"attempts-over-budget", document, `"attempts": 3`, `"attempts": 4`, "routes[0].attempts"},
		{"resume-no-effect", document, `"streaming"`, `"idempotent"`, "routes[0].stream-resumption"},
		{"model-unpriced", document, `["small", "large"]`, `["small", "huge"]`, "routes[0].sizes[1]"},
		{"connections-below-slots", document, `"connection-limit": 50`, `"connection-limit": 4`, "services[0].connection-limit"},
		{"cold-rate", document, `"cold-per-s": 2`, `"cold-per-s": 0.1`, "services[0].cold-per-s"},
		{"limit-ignored", document, `"minimum": 2`, `"minimum": 9`, "services[0].scaling"},
		{"unknown-field", document, `"priority": 1, "sizes"`, `"prioritie": 1, "sizes"`, "routes[0].prioritie"},
		{"unknown-field", document, `"weight": 9`, `"weight": 9, "share": 1`, "routes[0].traffic-split[0].share"},
		{"unknown-field", document, `"cost": 0.1`, `"cost": 0.1, "prize": 1`, "services[0].engine.models[0].prize"},
		{"unknown-field", document, `"limits": {`, `"limit": 1, "limits": {`, "limit"},
		{"version-outdated", document, `"version": 7`, `"version": 6`, "version"},
		{"version-unchanged", document, "16384", "8192", "version"},
		{"limit-ignored", document, "16384", "-1", "limits.max-header-bytes"},
	}
	reported := map[declare.Code]bool{}
	for _, c := range cases {
		text := strings.Replace(c.file, c.old, c.new, 1)
		switch c.code {
		case "no-usable-version":
			text = strings.Replace(c.file, "name: small-1\nspec: {model: small, state: active", "name: small-1\nspec: {model: small, state: retired", 1)
			c.field = "from"
		case "step-never-reached":
			text += second + "Model\nname: idle\nspec: {service: llm}\n" + second + "Version\nname: idle-1\nspec: {model: idle, state: withdrawn, quality: 0.5}\n"
			text = strings.Replace(text, "models: [small]", "models: [small, idle]", 1)
		case "service-out":
			text += second + "FailureDomain\nname: south\nspec: {region: coast, state: out}\n"
		}
		store, args := memkv.New(), []string{"--settings", settings}
		if strings.HasPrefix(c.code, "version-") {
			putDocument(t, store, document)
			args = append(args, "--in-force")
		}
		code, out := runCheck(t, store, text, args...)
		i := slices.IndexFunc(out.Findings, func(f declare.Finding) bool { return string(f.Code) == c.code && f.Field == c.field })
		if code != ExitFailed || i < 0 {
			t.Errorf("%s: exit code %d, findings %v", c.code, code, out.Findings)
			continue
		}
		f := out.Findings[i]
		reported[f.Code] = true
		if f.Problem == "" || f.Want == "" || f.Example == "" || f.Severity == "" || f.Line == 0 && c.code != "no-domain-in-service" && c.code != "too-large" {
			t.Errorf("incomplete finding %+v", f)
		}
	}
	for _, r := range declare.Rules() {
		if !reported[r.Code] {
			t.Errorf("no case for rule %s", r.Code)
		}
	}
	for _, path := range []string{declaredExample, platformExample} { // the examples in findings are parts of these
		if code, out := runCheck(t, memkv.New(), readText(t, path)); code != ExitOK {
			t.Errorf("%s: exit code %d, %v", path, code, out.Findings)
		}
	}
}

// Guards against differences that are only of form, changes that are not shown, and exit codes that scripts can't rely on.
func TestCheckDifferencesAndExitCodes(t *testing.T) {
	store := memkv.New()
	document, declared := readText(t, platformExample), readText(t, declaredExample)
	if _, out := runCheck(t, store, `{"version":0,"routes":[]}`, "--in-force"); out.Warnings > 0 {
		t.Errorf("nothing was published, but %v", out.Findings)
	}
	putDocument(t, store, document)
	if code, out := run(t, store, "publish", "../examples/nogalera"); code != ExitOK {
		t.Fatal(out)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, []byte(strings.NewReplacer(`"weight": 9`, `"weight": 18`, `"weight": 1`, `"weight": 2`).Replace(document))); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		text    string
		args    []string
		code    int
		changes string
	}{
		{compact.String(), []string{"--in-force"}, ExitOK, ""},
		{strings.Replace(document, `"timeout-ms": 4000`, `"timeout-ms": 5000`, 1), []string{"--against", platformExample}, ExitOK, "~ Route/app: timeout: 4s -> 5s"},
		{strings.NewReplacer("16384", "8192", `"version": 7`, `"version": 8`).Replace(document), []string{"--in-force"}, ExitOK, "~ Limits/: max-header-bytes: 16384 -> 8192"},
		{strings.Replace(declared, "slots: 8", "slots: 9", 1), []string{"--against", declaredExample}, ExitOK, "~ Service/llm: limits.slots: 8 -> 9"},
		{declared, []string{"--against", platformExample}, ExitUsage, ""},
		{declared, []string{"--against", "no-such-file"}, ExitUsage, ""},
		{declared, []string{"--in-force", "--against", declaredExample}, ExitUsage, ""},
		{"{", nil, ExitFailed, ""},
	}
	for i, c := range cases {
		code, out := runCheck(t, store, c.text, c.args...)
		var got []string
		for _, ch := range out.Changes {
			got = append(got, ch.String())
		}
		if code != c.code || strings.Join(got, "\n") != c.changes {
			t.Errorf("case %d: exit code %d, changes %q; want %d, %q", i, code, got, c.code, c.changes)
		}
	}
	store.Faults.SetDown(true)
	if code, _ := runCheck(t, store, document, "--in-force"); code != ExitUsage {
		t.Errorf("store down: exit code %d", code)
	}
}

var (
	token  = regexp.MustCompile(`[A-Za-z0-9.\-]+|[][{},:]|"[^"]*"`)
	number = regexp.MustCompile(`\b[0-9.]+\b`)
)

// mutate replaces one to three tokens of text by another token or an unusual value. Half of the time, it only replaces numbers by
// numbers, so that enough texts remain valid.
func mutate(r *rand.Rand, text string) string {
	class, values := token, []string{"", "0", "-1", "1.5", "1e300", ".nan", "none", `""`, "[]", "null", "out", "retired"}
	if r.IntN(2) == 0 {
		class, values = number, []string{"0", "1", "2", "0.5"}
	}
	for range 1 + r.IntN(3) {
		places := class.FindAllStringIndex(text, -1)
		at, from := places[r.IntN(len(places))], places[r.IntN(len(places))]
		values := append(values, text[from[0]:from[1]], text[from[0]:from[1]])
		text = text[:at[0]] + values[r.IntN(len(values))] + text[at[1]:]
	}
	return text
}

// Guards against a configuration that the check accepts and a daemon refuses, or the other way round. Seed 1.
func TestCheckAgreesWithDaemons(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	document, declared := readText(t, platformExample), readText(t, declaredExample)
	documents := &platform.Documents{Callers: &platform.CallerProtocol{}}
	counts := map[string]int{}
	for range 1500 {
		text := mutate(r, document)
		_, _, _, err := documents.Set(map[string]kv.Entry{platform.ConfigKey: {Key: platform.ConfigKey, Value: []byte(text)}})
		cfg := checkDocument("stdin", []byte(text), nil)
		if refused := declare.HasErrors(cfg.findings); refused != (err != nil) || refused != (cfg.document == nil) {
			t.Fatalf("daemon: %v; check: %v\n%s", err, cfg.findings, text)
		}
		count(counts, "document", err)

		set, sources, parsing := declare.Parse("stdin", []byte(mutate(r, declared)))
		err = acceptSet(set)
		declaredCfg := checkDeclared(set, sources, nil)
		if refused := declare.HasErrors(declaredCfg.findings); refused != (err != nil) {
			t.Fatalf("daemon: %v; check: %v", err, declaredCfg.findings)
		}
		if len(parsing) == 0 { // what can't be parsed is never published
			count(counts, "declared", err)
		}
	}
	for _, k := range []string{"document accepted", "document refused", "declared accepted", "declared refused"} {
		if counts[k] < 100 {
			t.Errorf("%s: %d; the test needs at least 100", k, counts[k])
		}
	}
}

func count(counts map[string]int, what string, err error) {
	if err == nil {
		counts[what+" accepted"]++
	} else {
		counts[what+" refused"]++
	}
}

// acceptSet publishes and reads a set as daemons do.
func acceptSet(set object.Set) error {
	body, digest, err := declare.Encode(set)
	if err == nil {
		_, err = config.NewView(config.Revision{Number: 1, Digest: digest, Body: body})
	}
	return err
}
