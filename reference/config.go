package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/object"
)

// objectKinds are the kinds of declared objects in the order of the page.
var objectKinds = []any{
	object.FailureDomain{}, object.Service{}, object.Model{}, object.Version{}, object.Team{}, object.SessionPolicy{},
	object.Cascade{}, object.Rollout{},
}

// packageDocs holds the doc comments of a package's types and fields, and the values of its string constants.
type packageDocs struct {
	typeDocs   map[string]string
	fieldDocs  map[string]string   // by "Type.Field"
	enumValues map[string][]string // by type name, in order of declaration
}

// parseDocs reads the doc comments and constants of Go source files.
func parseDocs(files ...string) (*packageDocs, error) {
	docs := &packageDocs{typeDocs: map[string]string{}, fieldDocs: map[string]string{}, enumValues: map[string][]string{}}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			return nil, fmt.Errorf("reference: parse source of declared objects: %w", err)
		}
		for _, d := range f.Decls {
			if g, ok := d.(*ast.GenDecl); ok {
				docs.addDecl(g)
			}
		}
	}
	return docs, nil
}

// addDecl adds the types of a declaration and its constants of a named type.
func (d *packageDocs) addDecl(g *ast.GenDecl) {
	for _, s := range g.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			d.typeDocs[s.Name.Name] = oneLine(g.Doc)
			if st, ok := s.Type.(*ast.StructType); ok {
				d.addFields(s.Name.Name, st)
			}
		case *ast.ValueSpec:
			if typ, ok := s.Type.(*ast.Ident); ok && len(s.Values) == 1 {
				if lit, ok := s.Values[0].(*ast.BasicLit); ok {
					d.enumValues[typ.Name] = append(d.enumValues[typ.Name], strings.Trim(lit.Value, `"`))
				}
			}
		}
	}
}

// addFields adds the fields of a struct type; the comment at the end of the line is used if there is no doc comment.
func (d *packageDocs) addFields(typ string, st *ast.StructType) {
	for _, f := range st.Fields.List {
		text := oneLine(f.Doc)
		if text == "" {
			text = oneLine(f.Comment)
		}
		for _, n := range f.Names {
			d.fieldDocs[typ+"."+n.Name] = text
		}
	}
}

// oneLine returns a comment's text with all white space replaced by single spaces, or "" without a comment.
func oneLine(g *ast.CommentGroup) string {
	if g == nil {
		return ""
	}
	return strings.Join(strings.Fields(g.Text()), " ")
}

// Configuration returns the page about declared objects as Markdown. The files are the Go source of package object; the error
// says which one can't be parsed.
func Configuration(files ...string) (string, error) {
	docs, err := parseDocs(files...)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# Configuration reference\n\n")
	b.WriteString("Generated from the types by `go generate ./reference`.\n\n")
	fmt.Fprintf(&b, "Each YAML document has the fields `apiVersion: %s`, `kind`, `name` and `spec`. A name has 1 to 63 of `a-z`, `0-9`,\n", object.APIVersion)
	b.WriteString("`-` and `.`, and starts with a letter or digit. Durations are written like `1500ms`, `2s` or `12h`. Unknown fields are\nfindings.\n")
	for _, k := range objectKinds {
		t := reflect.TypeOf(k)
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| field of spec | type | meaning |\n|---|---|---|\n", t.Name(), trimTypeName(docs.typeDocs[t.Name()]))
		docs.writeFields(&b, t, "")
	}
	writeFindings(&b)
	return b.String(), nil
}

const findingsIntro = `
## Check before publication

` + "`bramleyctl check DIR|FILE|-`" + ` checks declarations in YAML or, if the content is a JSON object, the operators' configuration of the
platform (` + "`op/config`" + `). It needs no daemon. ` + "`-`" + ` reads standard input. Each finding has a code, a severity, a file and line, a path, what
was expected and an example that works. ` + "`--against DIR|FILE`" + ` or ` + "`--in-force`" + ` (with ` + "`--store`" + `) also shows the differences by meaning.
` + "`--settings FILE`" + ` is a daemon's settings file, whose retry budget is compared with the attempts. ` + "`--format json`" + ` prints JSON. Exit
status: 0 nothing found, 1 findings, 2 the check could not run. Codes stay the same when texts change.

Daemons refuse a configuration with an error. They accept one with warnings.

| code | severity | meaning | example that has the finding |
|---|---|---|---|
`

// writeFindings writes the section about the check and its findings.
func writeFindings(b *strings.Builder) {
	b.WriteString(findingsIntro)
	for _, r := range declare.Rules() {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", r.Code, r.Severity, r.Meaning, strings.ReplaceAll(r.Example, "|", "\\|"))
	}
}

// writeFields writes a table row for each field of a struct type. Fields of nested structs follow with dotted names.
func (d *packageDocs) writeFields(b *strings.Builder, t reflect.Type, prefix string) {
	for f := range fieldsOf(t) {
		name := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			d.writeFields(b, f.Type, name+".")
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", name, d.typeName(f.Type), trimFieldName(f.Name, d.fieldDocs[t.Name()+"."+f.Name]))
	}
}

// fieldsOf iterates over the fields that appear in YAML.
func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			f := t.Field(i)
			if f.Tag.Get("yaml") != "-" && !yield(f) {
				return
			}
		}
	}
}

// typeName returns the type of a field in the words of the page; an enumeration is the list of its values.
func (d *packageDocs) typeName(t reflect.Type) string {
	if values := d.enumValues[t.Name()]; len(values) > 0 {
		return "`" + strings.Join(values, "`, `") + "`"
	}
	switch {
	case t.String() == "time.Duration":
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + d.typeName(t.Elem())
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.String:
		return "text"
	default:
		return "integer"
	}
}

// trimFieldName removes the field's name, and a verb after it, from the start of its doc comment.
func trimFieldName(name, doc string) string {
	for _, prefix := range []string{name + " is ", name + " are ", name + " says ", name + " "} {
		if rest, ok := strings.CutPrefix(doc, prefix); ok {
			return rest
		}
	}
	return doc
}

// trimTypeName turns a type's doc comment "Name is a thing." into "A thing." A comment in another form loses its first word; a
// single word is returned unchanged.
func trimTypeName(doc string) string {
	_, rest, ok := strings.Cut(doc, " ")
	if !ok {
		return doc
	}
	rest = strings.TrimPrefix(rest, "is ")
	return strings.ToUpper(rest[:1]) + rest[1:]
}
