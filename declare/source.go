package declare

import (
	_ "embed" // for the example
	"strings"
	"sync"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/bramleytrail/bramleytrail/object"
)

// Source is the place of an object's declaration.
type Source struct {
	File string
	body ast.Node
}

// Sources maps each object to its declaration.
type Sources map[Ref]Source

// line returns the line of a field in the document, or of the closest one that contains it; 0 if the document is unknown.
func (s Source) line(field string) int {
	if s.body == nil {
		return 0
	}
	for _, path := range []string{"$.spec." + field, "$." + field} {
		if n := find(s.body, path); n != nil {
			return NodeLine(n)
		}
	}
	if i := strings.LastIndexAny(field, ".["); i >= 0 {
		return s.line(field[:i])
	}
	if n := find(s.body, "$.name"); n != nil {
		return NodeLine(n)
	}
	return NodeLine(s.body)
}

func find(body ast.Node, path string) ast.Node {
	p, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	n, err := p.FilterNode(body)
	if err != nil {
		return nil
	}
	return n
}

// NodeLine returns the line on which a node begins, or 0 if it is unknown.
func NodeLine(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

//go:embed example.yaml
var exampleText string

// examples holds the first document of each kind in example.yaml. All documents form a valid set.
var examples = sync.OnceValue(func() map[object.Kind]ast.Node {
	m := map[object.Kind]ast.Node{}
	file, err := parser.ParseBytes([]byte(exampleText), 0)
	if err != nil {
		return m // findings then have no example; a test guards against it
	}
	for _, doc := range file.Docs {
		if n := find(doc.Body, "$.kind"); n != nil && m[object.Kind(n.String())] == nil {
			m[object.Kind(n.String())] = doc.Body
		}
	}
	return m
})

// example returns a valid declaration of a kind's field, or of the whole object if the field is empty, unknown or written on
// several lines.
func example(kind object.Kind, field string) string {
	body, ok := examples()[kind]
	if !ok {
		body = examples()[object.KindFailureDomain]
	}
	field, _, _ = strings.Cut(field, "[")
	if field != "" {
		if n := find(body, "$.spec."+field); n != nil && !strings.Contains(strings.TrimSpace(n.String()), "\n") {
			parts := strings.Split(field, ".")
			return strings.Join(parts, ": {") + ": " + strings.TrimSpace(n.String()) + strings.Repeat("}", len(parts)-1)
		}
	}
	return body.String()
}

// Document finds values of a JSON document by their paths, such as routes[2].host.
type Document struct{ body ast.Node }

// NewDocument returns a document that finds nothing if data can't be parsed.
func NewDocument(data []byte) Document {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return Document{}
	}
	return Document{file.Docs[0].Body}
}

// Line returns the line of the value at a path, or of the closest one that contains it; 0 if there is none.
func (d Document) Line(path string) int {
	for d.body != nil && path != "" {
		if n := find(d.body, "$."+path); n != nil {
			return NodeLine(n)
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return NodeLine(d.body)
}

// Text returns the value at a path on one line, or "" if there is none.
func (d Document) Text(path string) string {
	if d.body == nil {
		return ""
	}
	n := find(d.body, "$."+path)
	if n == nil {
		return ""
	}
	return strings.Join(strings.Fields(n.String()), " ")
}

// FieldLine returns the line of a field of the object at a path, which is empty for the whole document, or of the object if it is not found.
// Unlike Line, it takes any name.
func (d Document) FieldLine(object, field string) int {
	n := d.body
	if n != nil && object != "" {
		n = find(d.body, "$."+object)
	}
	var values []*ast.MappingValueNode
	switch v := n.(type) {
	case *ast.MappingNode:
		values = v.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{v}
	}
	for _, v := range values {
		if v.Key.GetToken().Value == field {
			return NodeLine(v.Key)
		}
	}
	return d.Line(object)
}
