package declare

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/object"
)

// Finding is one problem in the declared objects: where it is, what is wrong and what is expected instead.
type Finding struct {
	File    string      `json:"file,omitempty"`
	Kind    object.Kind `json:"kind,omitempty"`
	Name    string      `json:"name,omitempty"`
	Field   string      `json:"field,omitempty"`
	Problem string      `json:"problem"`
	Want    string      `json:"want"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s/%s: %s: %s; want %s", f.File, f.Kind, f.Name, f.Field, f.Problem, f.Want)
}
