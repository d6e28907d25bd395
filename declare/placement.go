package declare

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/object"
)

// maxVersionsPerEndpoint bounds the versions that an endpoint holds at once.
const maxVersionsPerEndpoint = 64

// checkPlacement reports placement on a plain service or with an invalid number of versions per endpoint.
func (c *checker) checkPlacement(ref Ref, s object.Service) {
	p := s.Placement
	if !p.Enabled {
		return
	}
	if s.Type != object.ServiceModel {
		c.report(CodeWrongType, ref, "placement.enabled", fmt.Sprintf("the service has type %s", s.Type), "a service of type model")
	}
	c.checkRange(ref, "placement.versionsPerEndpoint", int64(p.VersionsPerEndpoint), 1, maxVersionsPerEndpoint)
}

// checkAdapter reports an adapter whose base version is not declared, is itself an adapter or belongs to another
// service.
func (c *checker) checkAdapter(ref Ref, v object.Version) {
	if v.AdapterOf == "" {
		return
	}
	base, ok := c.index.versions[v.AdapterOf]
	switch {
	case !ok:
		c.report(CodeNotDeclared, ref, "adapterOf", fmt.Sprintf("version %q is not declared", v.AdapterOf), "a declared version")
	case base.AdapterOf != "":
		c.report(CodeWrongType, ref, "adapterOf", fmt.Sprintf("version %q is an adapter", v.AdapterOf), "a version with weights of its own")
	case c.index.models[base.Model].Service != c.index.models[v.Model].Service:
		c.report(CodeWrongType, ref, "adapterOf", fmt.Sprintf("version %q belongs to another service", v.AdapterOf), "a version of the same service")
	}
}
