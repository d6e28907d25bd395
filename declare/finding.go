package declare

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bramleytrail/bramleytrail/object"
)

// Finding is one problem in the declared objects: where it is, what is wrong and what is expected instead.
type Finding struct {
	Code     Code        `json:"code"`
	Severity Severity    `json:"severity"`
	File     string      `json:"file,omitempty"`
	Line     int         `json:"line,omitempty"` // 0 if unknown
	Kind     object.Kind `json:"kind,omitempty"`
	Name     string      `json:"name,omitempty"`
	Index    int         `json:"-"` // of the object in its list of the set, for findings of CheckRoutes and WarnRoutes
	Field    string      `json:"field,omitempty"`
	Problem  string      `json:"problem"`
	Want     string      `json:"want"`
	Example  string      `json:"example,omitempty"` // valid declaration of the field or the object
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s/%s: %s: %s; want %s", f.File, f.Kind, f.Name, f.Field, f.Problem, f.Want)
}

// SortFindings orders findings by file, line, object and field.
func SortFindings(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Field, b.Field))
	})
}
