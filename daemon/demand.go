package daemon

import (
	"maps"
	"slices"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/placement"
)

// fleets describes the services under placement in this daemon's failure domain.
func (d *Daemon) fleets() []placement.Fleet {
	view, list := d.config.View(), d.docs.list.Load()
	if view == nil || list == nil {
		return nil
	}
	tables := d.placement.snapshot()
	var out []placement.Fleet
	for _, svc := range d.placedServices(d.settings.Domain) {
		f := placement.Fleet{
			Service: svc.Name, Slots: svc.Limits.Slots, VersionsPerEndpoint: svc.Placement.VersionsPerEndpoint, Role: svc.Placement.Role,
			Demands: d.demands(view, svc, tables), Domains: len(liveDomains(view, svc, list.Hosts)),
		}
		if !svc.ChecksFencing {
			f.OneAtATime, f.SpareReplicas = true, 1
		}
		if svc.AuthenticatesOrders {
			f.OrderToken = d.settings.OrderToken
		}
		for _, h := range list.Hosts {
			if h.Role == hostlist.RoleEndpoint && h.Service == svc.Name && h.Domain == d.settings.Domain && h.State == hostlist.StateLive {
				f.Endpoints = append(f.Endpoints, placement.Target{ID: h.ID, Addr: h.Addr})
			}
		}
		out = append(out, f)
	}
	return out
}

// liveDomains returns the failure domains in service that have live endpoints of a service.
func liveDomains(view *config.View, svc *object.Service, hosts []hostlist.Host) []string {
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.Role == hostlist.RoleEndpoint && h.Service == svc.Name && h.State == hostlist.StateLive && view.DomainIn(h.Domain) {
			seen[h.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// demands returns the demand for each version of a service in the other failure domains.
func (d *Daemon) demands(view *config.View, svc *object.Service, tables map[string]placement.Table) []placement.Demand {
	others, own := map[string]int{}, map[string]int{}
	for domain, t := range tables {
		for v, s := range t.Versions {
			if domain == d.settings.Domain {
				own[v] = s.Running
			} else if d.placement.counts(view, domain) {
				others[v] += s.Running
			}
		}
	}
	d.expectRollouts(view, others, own)
	wanted := wantedVersions(view)
	base := map[string]string{}
	for name, v := range view.Versions {
		if v.AdapterOf == "" {
			continue
		}
		base[name] = v.AdapterOf
		if wanted[name] { // an adapter needs replicas of its base
			wanted[v.AdapterOf] = true
			others[v.AdapterOf] += others[name] + own[name]
		}
	}
	var out []placement.Demand
	for _, v := range view.Set.Versions {
		if view.Models[v.Model].Service == svc.Name {
			out = append(out, placement.Demand{Version: v.Name, Running: others[v.Name], Wanted: wanted[v.Name], Base: base[v.Name]})
		}
	}
	return out
}

// wantedVersions returns the active versions of models that a team may use.
func wantedVersions(view *config.View) map[string]bool {
	models := map[string]bool{}
	for _, t := range view.Set.Teams {
		for _, m := range t.Models {
			models[m] = true
		}
	}
	wanted := map[string]bool{}
	for name, v := range view.Versions {
		wanted[name] = v.State == object.VersionActive && models[v.Model]
	}
	return wanted
}

// expectRollouts raises the demand for the new version of each roll-out to its share in the step after the one in force,
// so that its replicas are ready before that step.
func (d *Daemon) expectRollouts(view *config.View, others, own map[string]int) {
	for i := range view.Set.Rollouts {
		r := &view.Set.Rollouts[i]
		step, halted := d.decisions.rollouts.Step(r)
		if halted {
			continue
		}
		share := r.Steps[min(step+1, len(r.Steps)-1)]
		total := others[r.From] + others[r.To] + own[r.From] + own[r.To]
		others[r.To] = max(others[r.To], int(share*float64(total))-own[r.To])
	}
}

// openRollouts notes the roll-outs whose new version has the replicas that it needs in each failure domain. A roll-out
// that is open stays open, because its sessions are pinned.
func (d *Daemon) openRollouts(view *config.View, tables map[string]placement.Table) {
	before := d.placement.open.Load()
	open := map[string]bool{}
	for i := range view.Set.Rollouts {
		r := &view.Set.Rollouts[i]
		key := r.Name + "/" + r.To
		open[key] = before != nil && (*before)[key] || d.placedEverywhere(view, r, tables)
	}
	d.placement.open.Store(&open)
}

func (d *Daemon) placedEverywhere(view *config.View, r *object.Rollout, tables map[string]placement.Table) bool {
	list := d.docs.list.Load()
	if list == nil {
		return false
	}
	domains := liveDomains(view, view.Services[view.Models[r.Model].Service], list.Hosts)
	for _, domain := range domains {
		if s := tables[domain].Versions[r.To]; s.Ready == 0 || s.Ready < s.Need {
			return false
		}
	}
	return len(domains) > 0
}

// placedSteps holds the first step of a roll-out back until its new version has its endpoints, if its service is under
// placement.
type placedSteps struct{ daemon *Daemon }

// Step implements choose.Steps.
func (p placedSteps) Step(r *object.Rollout) (step int, halted bool) {
	d := p.daemon
	step, halted = d.decisions.rollouts.Step(r)
	view := d.config.View()
	if halted || step < 0 || view == nil {
		return step, halted
	}
	m := view.Models[r.Model]
	if m == nil || view.Services[m.Service] == nil || !view.Services[m.Service].Placement.Enabled {
		return step, halted
	}
	if open := d.placement.open.Load(); open != nil && (*open)[r.Name+"/"+r.To] {
		return step, halted
	}
	return -1, false
}
