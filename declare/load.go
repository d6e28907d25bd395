package declare

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/bramleytrail/bramleytrail/object"
)

// MaxFileBytes bounds one declaration file. All declarations of a deployment with 18 versions and 100 teams take less
// than 100 KB.
const MaxFileBytes = 4 << 20

// Ref identifies a declared object.
type Ref struct {
	Kind object.Kind
	Name string
}

// envelope holds the fields that every document has.
type envelope struct {
	APIVersion string      `yaml:"apiVersion"`
	Kind       object.Kind `yaml:"kind"`
	Name       string      `yaml:"name"`
	Spec       ast.Node    `yaml:"spec"`
}

// Load reads every .yaml and .yml file below dir. Invalid content is returned as findings, all at once; the error means
// that the directory or a file can't be read.
func Load(dir string) (object.Set, Sources, []Finding, error) {
	l := loader{sources: Sources{}}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		ext := filepath.Ext(path)
		if d.IsDir() || (ext != ".yaml" && ext != ".yml") {
			return nil
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		l.addFile(rel, data)
		return nil
	})
	if err != nil {
		return object.Set{}, nil, nil, fmt.Errorf("read declarations in %s: %w", dir, err)
	}
	Sort(&l.set)
	return l.set, l.sources, l.findings, nil
}

// Parse reads one file's content, as Load does for each file of a directory.
func Parse(name string, data []byte) (object.Set, Sources, []Finding) {
	l := loader{sources: Sources{}}
	l.addFile(name, data)
	Sort(&l.set)
	return l.set, l.sources, l.findings
}

type loader struct {
	set      object.Set
	sources  Sources
	findings []Finding
}

func (l *loader) report(code Code, file string, line int, ref Ref, field, problem, want string) {
	f := NewFinding(code, ref, field, problem, want)
	f.File, f.Line, f.Example = file, line, example(ref.Kind, "")
	l.findings = append(l.findings, f)
}

// errorLine returns the line that a YAML error names, or otherwise.
func errorLine(err error, otherwise int) int {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil && ye.GetToken().Position != nil {
		return ye.GetToken().Position.Line
	}
	return otherwise
}

func (l *loader) addFile(name string, data []byte) {
	if len(data) > MaxFileBytes {
		l.report(CodeTooLarge, name, 0, Ref{}, "", fmt.Sprintf("file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		l.report(CodeSyntax, name, errorLine(err, 0), Ref{}, "", firstLine(err), "a valid YAML document")
		return
	}
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		l.addDocument(name, doc.Body)
	}
}

func (l *loader) addDocument(file string, body ast.Node) {
	var env envelope
	if err := yaml.NodeToValue(body, &env, yaml.Strict()); err != nil {
		l.report(CodeSyntax, file, errorLine(err, NodeLine(body)), Ref{}, "", firstLine(err), "the fields apiVersion, kind, name and spec")
		return
	}
	ref, src := Ref{env.Kind, env.Name}, Source{file, body}
	if env.APIVersion != object.APIVersion {
		l.report(CodeUnsupportedVersion, file, src.line("apiVersion"), ref, "apiVersion", fmt.Sprintf("%q is not supported", env.APIVersion), object.APIVersion)
		return
	}
	if !validName(env.Name) {
		l.report(CodeInvalidName, file, src.line("name"), ref, "name", fmt.Sprintf("%q is not a valid name", env.Name), "1 to 63 of a-z, 0-9, '-' and '.', first a letter or digit")
		return
	}
	if first, ok := l.sources[ref]; ok {
		l.report(CodeDuplicate, file, src.line("name"), ref, "name", "declared twice, first in "+first.File, "one declaration of each name and kind")
		return
	}
	l.sources[ref] = src
	l.addObject(src, ref, env.Spec)
}

func (l *loader) addObject(src Source, ref Ref, spec ast.Node) {
	file := src.File
	if spec == nil || spec.Type() == ast.NullType {
		l.report(CodeMissing, file, src.line("name"), ref, "spec", "is missing", "the fields of a "+string(ref.Kind))
		return
	}
	var err error
	switch ref.Kind {
	case object.KindFailureDomain:
		err = decodeSpec(spec, &l.set.FailureDomains, object.FailureDomain{Name: ref.Name, State: object.DomainIn})
	case object.KindService:
		err = decodeSpec(spec, &l.set.Services, object.Service{Name: ref.Name})
	case object.KindModel:
		err = decodeSpec(spec, &l.set.Models, object.Model{Name: ref.Name})
	case object.KindVersion:
		err = decodeSpec(spec, &l.set.Versions, object.Version{Name: ref.Name, State: object.VersionActive})
	case object.KindTeam:
		err = decodeSpec(spec, &l.set.Teams, object.Team{Name: ref.Name, Share: 1})
	case object.KindSessionPolicy:
		err = decodeSpec(spec, &l.set.SessionPolicies, object.SessionPolicy{Name: ref.Name, OnWithdrawn: object.WithdrawnMove})
	case object.KindCascade:
		err = decodeSpec(spec, &l.set.Cascades, object.Cascade{Name: ref.Name})
	case object.KindRollout:
		err = decodeSpec(spec, &l.set.Rollouts, object.Rollout{Name: ref.Name, Step: -1})
	default:
		l.report(CodeUnknownValue, file, src.line("kind"), ref, "kind", fmt.Sprintf("%q is unknown", ref.Kind), "one of "+kindList())
		return
	}
	if err != nil {
		l.report(CodeInvalidField, file, errorLine(err, src.line("spec")), ref, "spec", firstLine(err), "only the documented fields, each with its type")
	}
}

// decodeSpec decodes the fields of an object into v, which holds its defaults, and appends it to list. It does so even
// if a field is invalid, so that references to the object are not reported as well.
func decodeSpec[T any](node ast.Node, list *[]T, v T) error {
	err := yaml.NodeToValue(node, &v, yaml.Strict())
	*list = append(*list, v)
	return err
}

func kindList() string {
	return strings.Join([]string{
		string(object.KindFailureDomain), string(object.KindService), string(object.KindModel),
		string(object.KindVersion), string(object.KindTeam), string(object.KindSessionPolicy),
		string(object.KindCascade), string(object.KindRollout),
	}, ", ")
}

// firstLine returns the text of a YAML error without the source excerpt that the library appends.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

const maxNameLen = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameLen || name[0] == '-' || name[0] == '.' {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.' {
			return false
		}
	}
	return true
}

// Sort orders each list of the set by name, so that equal sets have equal encodings.
func Sort(s *object.Set) {
	slices.SortFunc(s.FailureDomains, func(a, b object.FailureDomain) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b object.Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Models, func(a, b object.Model) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Versions, func(a, b object.Version) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Teams, func(a, b object.Team) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.SessionPolicies, func(a, b object.SessionPolicy) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Cascades, func(a, b object.Cascade) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Rollouts, func(a, b object.Rollout) int { return strings.Compare(a.Name, b.Name) })
}
