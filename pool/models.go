package pool

import (
	"strings"
	"sync"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// OtherModel is the name under which requests are counted for models that neither a route nor an endpoint names, beyond maxUnnamedModels.
// Callers choose the model, so that what is kept by name, and messages to other daemons, would otherwise grow with what they send.
const OtherModel = "other model"

const (
	// maxUnnamedModels is the number of models that are counted by their own names though no route or endpoint names them.
	// With the 18 models of the target deployment, the estimates of all fit into one message to other daemons.
	maxUnnamedModels = 16
	// maxModelName is the length in bytes up to which such a model is counted by its own name.
	maxModelName = 64
)

// unnamedModels holds the first models that callers have sent and neither a route nor an endpoint names. It is safe for concurrent use.
type unnamedModels struct {
	mu     sync.Mutex
	models map[modelKey]struct{}
}

// has reports whether a model is one of them, and adds it if there is room.
func (u *unnamedModels) has(k modelKey, add bool) bool {
	if len(k.model) > maxModelName {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.models[k]; ok {
		return true
	}
	if !add || len(u.models) >= maxUnnamedModels {
		return false
	}
	if u.models == nil {
		u.models = map[modelKey]struct{}{}
	}
	u.models[modelKey{k.service, strings.Clone(k.model)}] = struct{}{} // the model is a part of the caller's header section
	return true
}

// CountedModel returns the name under which requests for a model of a service are counted: its own if a route or an endpoint of the
// service names it or it is one of the first others, else OtherModel. It is empty for requests without a model.
func (p *Pool) CountedModel(service, model string) string {
	return p.countedModel(service, model, true)
}

// countedModel is CountedModel; add says that a new name may be counted by itself from now on.
func (p *Pool) countedModel(service, model string, add bool) string {
	if model == "" {
		return ""
	}
	if p.NamesModel(service, model) || p.unnamed.has(modelKey{service, model}, add) {
		return model
	}
	return OtherModel
}

// NamesModel reports whether a route or an endpoint of a service names a model.
func (p *Pool) NamesModel(service, model string) bool {
	_, ok := p.table.Load().models[modelKey{service, model}]
	return ok
}

// namedModels returns the models that routes and endpoints name. The caller holds p.mu.
func (p *Pool) namedModels() map[modelKey]struct{} {
	named := map[modelKey]struct{}{}
	for i := range p.view.Set.Routes {
		r := &p.view.Set.Routes[i]
		for _, b := range r.Backends {
			for _, m := range r.Models {
				named[modelKey{b.Service, m}] = struct{}{}
			}
		}
	}
	for name, svc := range p.view.Services {
		if svc.Routed == nil {
			continue
		}
		for m := range svc.Routed.Tariffs {
			named[modelKey{name, m}] = struct{}{}
		}
	}
	for _, h := range p.list.Hosts {
		if h.Role != hostlist.RoleEndpoint {
			continue
		}
		for _, m := range h.Models {
			named[modelKey{h.Service, m}] = struct{}{}
		}
	}
	return named
}
