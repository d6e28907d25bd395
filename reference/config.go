package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/bramleytrail/bramleytrail/object"
)

// kinds are the declared objects in the order of the page.
var kinds = []any{
	object.FailureDomain{}, object.Service{}, object.Model{}, object.Version{}, object.Team{}, object.SessionPolicy{},
	object.Cascade{}, object.Rollout{},
}

// comments holds the doc comments of a package's types and fields.
type comments struct {
	types  map[string]string
	fields map[string]string // "Type.Field"
	values map[string][]string
}

// readComments parses the files of a package.
func readComments(files ...string) (*comments, error) {
	c := &comments{types: map[string]string{}, fields: map[string]string{}, values: map[string][]string{}}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			return nil, fmt.Errorf("reference: %w", err)
		}
		for _, d := range f.Decls {
			if g, ok := d.(*ast.GenDecl); ok {
				c.addDecl(g)
			}
		}
	}
	return c, nil
}

func (c *comments) addDecl(g *ast.GenDecl) {
	for _, s := range g.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			c.types[s.Name.Name] = oneLine(g.Doc)
			if st, ok := s.Type.(*ast.StructType); ok {
				c.addFields(s.Name.Name, st)
			}
		case *ast.ValueSpec:
			if typ, ok := s.Type.(*ast.Ident); ok && len(s.Values) == 1 {
				if lit, ok := s.Values[0].(*ast.BasicLit); ok {
					c.values[typ.Name] = append(c.values[typ.Name], strings.Trim(lit.Value, `"`))
				}
			}
		}
	}
}

func (c *comments) addFields(typ string, st *ast.StructType) {
	for _, f := range st.Fields.List {
		text := oneLine(f.Doc)
		if text == "" {
			text = oneLine(f.Comment)
		}
		for _, n := range f.Names {
			c.fields[typ+"."+n.Name] = text
		}
	}
}

func oneLine(g *ast.CommentGroup) string {
	if g == nil {
		return ""
	}
	return strings.Join(strings.Fields(g.Text()), " ")
}

// Configuration returns the page on declared objects. The files hold the source of package object.
func Configuration(files ...string) (string, error) {
	c, err := readComments(files...)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# Configuration reference\n\n")
	b.WriteString("Generated from the types by `go generate ./reference`.\n\n")
	fmt.Fprintf(&b, "Each YAML document has the fields `apiVersion: %s`, `kind`, `name` and `spec`. A name has 1 to 63 of `a-z`, `0-9`,\n", object.APIVersion)
	b.WriteString("`-` and `.`, and starts with a letter or digit. Durations are written like `1500ms`, `2s` or `12h`. Unknown fields are\nfindings.\n")
	for _, k := range kinds {
		t := reflect.TypeOf(k)
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| field of spec | type | meaning |\n|---|---|---|\n", t.Name(), sentence(c.types[t.Name()]))
		c.writeFields(&b, t, "")
	}
	return b.String(), nil
}

func (c *comments) writeFields(b *strings.Builder, t reflect.Type, prefix string) {
	for f := range fieldsOf(t) {
		name := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			c.writeFields(b, f.Type, name+".")
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", name, c.typeName(f.Type), clause(f.Name, c.fields[t.Name()+"."+f.Name]))
	}
}

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

func (c *comments) typeName(t reflect.Type) string {
	if values := c.values[t.Name()]; len(values) > 0 {
		return "`" + strings.Join(values, "`, `") + "`"
	}
	switch {
	case t.String() == "time.Duration":
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + c.typeName(t.Elem())
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

// clause drops the name at the start of a field's doc comment.
func clause(name, doc string) string {
	for _, prefix := range []string{name + " is ", name + " are ", name + " says ", name + " "} {
		if rest, ok := strings.CutPrefix(doc, prefix); ok {
			return rest
		}
	}
	return doc
}

// sentence turns a doc comment "Name is a thing." into "A thing." as far as its form allows.
func sentence(doc string) string {
	_, rest, ok := strings.Cut(doc, " ")
	if !ok {
		return doc
	}
	rest = strings.TrimPrefix(rest, "is ")
	return strings.ToUpper(rest[:1]) + rest[1:]
}
