package declare

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

func loadExample(t *testing.T, name string) (object.Set, Sources) {
	t.Helper()
	set, sources, findings, err := Load(filepath.Join("..", "examples", name))
	if err != nil || len(findings) > 0 {
		t.Fatal(err, findings)
	}
	return set, sources
}

// Guards against a check that misses a mistake. Each case breaks one thing in a valid set and names the field that a
// finding must report.
func TestCheckFindsEachMistake(t *testing.T) {
	cases := []struct {
		name  string
		edit  func(*object.Set)
		field string // of the expected finding
	}{
		{"dangling service", func(s *object.Set) { s.Models[0].Service = "none" }, "service"},
		{"model on a plain service", func(s *object.Set) { s.Models[0].Service = "lotes-app" }, "service"},
		{"dangling domain", func(s *object.Set) { s.Services[0].FailureDomains[0] = "none" }, "failureDomains[0]"},
		{"unknown domain state", func(s *object.Set) { s.FailureDomains[0].State = "maybe" }, "state"},
		{"all domains out", func(s *object.Set) {
			for i := range s.FailureDomains {
				s.FailureDomains[i].State = object.DomainOut
			}
		}, "state"},
		{"cascade in a cascade", func(s *object.Set) { s.Cascades[0].Steps[0] = s.Cascades[1].Name }, "steps[0]"},
		{"cascade repeats a model", func(s *object.Set) { s.Cascades[0].Steps = []string{"nogal-medio", "nogal-medio"} }, "steps[1]"},
		{"retired reference", func(s *object.Set) { version(s, "nogal-medio-1").State = object.VersionRetired }, "models[1]"},
		{"quality out of reach", func(s *object.Set) { team(s, "sorting").QualityTarget = 0.99 }, "qualityTarget"},
		{"no active version", func(s *object.Set) { version(s, "nogal-medio-1").State = object.VersionWithdrawn }, "models"},
		{"not a number", func(s *object.Set) { version(s, "nogal-medio-1").Quality = nan() }, "quality"},
		{"price out of range", func(s *object.Set) { s.Versions[0].Prices.Output = -1 }, "prices.output"},
		{"cold slots above slots", func(s *object.Set) { s.Services[0].Limits.ColdSlots = 5000 }, "limits.coldSlots"},
		{"no timeout", func(s *object.Set) { s.Services[0].Timeouts.Progress = 0 }, "timeouts.progress"},
		{"key of two teams", func(s *object.Set) { s.Teams[1].KeyHashes = s.Teams[0].KeyHashes }, "keyHashes[0]"},
		{"key in the clear", func(s *object.Set) { s.Teams[0].KeyHashes[0] = "secret" }, "keyHashes[0]"},
		{"team without permissions", func(s *object.Set) { team(s, "transport").Models, team(s, "transport").Services = nil, nil }, "models"},
		{"cascade of a forbidden model", func(s *object.Set) { team(s, "sorting").Cascade = "contracts" }, "cascade"},
		{"dangling policy", func(s *object.Set) { s.Teams[0].SessionPolicy = "none" }, "sessionPolicy"},
		{"session without age", func(s *object.Set) { s.SessionPolicies[0].MaxAge = 0 }, "maxAge"},
		{"steps that descend", func(s *object.Set) { s.Rollouts[0].Steps = []float64{0.5, 0.1} }, "steps[1]"},
		{"step out of range", func(s *object.Set) { s.Rollouts[0].Step = 9 }, "step"},
		{"roll-out to itself", func(s *object.Set) { s.Rollouts[0].To = s.Rollouts[0].From }, "to"},
		{"roll-out across models", func(s *object.Set) { s.Rollouts[0].To = "nogal-medio-1" }, "to"},
		{"two roll-outs of a model", func(s *object.Set) {
			r := s.Rollouts[0]
			r.Name = "second"
			s.Rollouts = append(s.Rollouts, r)
		}, "model"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set, sources := loadExample(t, "nogalera")
			c.edit(&set)
			findings := Check(set, sources)
			if !slices.ContainsFunc(findings, func(f Finding) bool { return f.Field == c.field && f.Problem != "" && f.Want != "" }) {
				t.Errorf("findings %v; want one for field %s", findings, c.field)
			}
		})
	}
}

func nan() float64 { zero := 0.0; return zero / zero }

func team(s *object.Set, name string) *object.Team {
	return &s.Teams[slices.IndexFunc(s.Teams, func(t object.Team) bool { return t.Name == name })]
}

func version(s *object.Set, name string) *object.Version {
	return &s.Versions[slices.IndexFunc(s.Versions, func(v object.Version) bool { return v.Name == name })]
}

// Guards against a report that stops at the first mistake or does not name the file and object of each.
func TestAllFindingsAtOnce(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	head := "apiVersion: bramleytrail/v1\n"
	write("a.yaml", head+"kind: Model\nname: m\nspec: {service: none}\n---\n"+head+"kind: Model\nname: m\nspec: {service: none}\n")
	write("b.yaml", head+"kind: Team\nname: t\nspec: {modells: [m]}\n---\n"+head+"kind: Chair\nname: c\nspec: {}\n")
	write("c.yml", "apiVersion: v0\nkind: Model\nname: x\nspec: {}\n---\n"+head+"kind: Model\nname: Bad Name\nspec: {}\n")
	write("d.yaml", "a: [")
	_, sources, findings, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(sources) == 0 {
		t.Error("no source file is recorded for the loaded objects")
	}
	for _, want := range []string{"a.yaml: Model/m: name: declared twice", "b.yaml: Team/t: spec: ", "b.yaml: Chair/c: kind: ", "c.yml: Model/x: apiVersion: ", "c.yml: Model/Bad Name: name: ", "d.yaml: /: "} {
		if !slices.ContainsFunc(findings, func(f Finding) bool { return strings.HasPrefix(f.String(), want) }) {
			t.Errorf("no finding starts with %q in %v", want, findings)
		}
	}
}

// Guards against a published form that loses or changes declared values, and against one that exceeds MaxEncodedBytes.
func TestEncodeRoundTripAndLimit(t *testing.T) {
	for _, name := range []string{"nogalera", "driftwood"} {
		set, _ := loadExample(t, name)
		body, digest, err := Encode(set)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(body)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(set, got); len(changes) > 0 {
			t.Errorf("%s: set differs after encoding and decoding: %v", name, changes)
		}
		if _, again, _ := Encode(got); again != digest {
			t.Errorf("%s: digest %s after a round trip, want %s", name, again, digest)
		}
	}
	var large object.Set
	for i := range 40_000 {
		large.Teams = append(large.Teams, object.Team{Name: fmt.Sprintf("t%d", i), KeyHashes: []string{Digest([]byte{byte(i), byte(i >> 8)})}})
	}
	_, _, err := Encode(large)
	if e := new(result.Error); !errors.As(err, &e) || e.Code != result.ConfigTooLarge {
		t.Errorf("error %v; want config_too_large", err)
	}
}

// Guards against a diff that omits a changed, added or removed object.
func TestDiff(t *testing.T) {
	a, _ := loadExample(t, "driftwood")
	b, _ := loadExample(t, "driftwood")
	b.FailureDomains[0].State = object.DomainOut
	b.Teams = b.Teams[1:]
	b.SessionPolicies = append(b.SessionPolicies, object.SessionPolicy{Name: "new", MaxAge: time.Hour})
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	want := []string{`~ FailureDomain/brunswick: state: "in" -> "out"`, "+ SessionPolicy/new", "- Team/captions"}
	if !slices.Equal(got, want) {
		t.Errorf("diff %v; want %v", got, want)
	}
}

// FuzzParse guards against declarations that make the parser panic or hang, and against valid sets that can't be
// encoded.
func FuzzParse(f *testing.F) {
	for _, dir := range []string{"nogalera", "driftwood"} {
		files, err := filepath.Glob(filepath.Join("..", "examples", dir, "*.yaml"))
		if err != nil || len(files) == 0 {
			f.Fatal(err, files)
		}
		for _, name := range files {
			data, err := os.ReadFile(name)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Add([]byte("apiVersion: bramleytrail/v1\nkind: Team\nname: t\nspec: &a {models: *a}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, sources, findings := Parse("fuzz.yaml", data)
		if findings = append(findings, Check(set, sources)...); len(findings) == 0 {
			if _, _, err := Encode(set); err != nil {
				t.Error(err)
			}
		}
	})
}
