package daemon

import (
	"maps"
	"slices"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/placement"
)

// placementFleets returns the input of the placement executor: one fleet for each service under placement in this daemon's
// failure domain. It returns nil until there are a configuration and a host list.
func (d *Daemon) placementFleets() []placement.Fleet {
	view, list := d.config.View(), d.docs.hostList.Load()
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

// liveDomains returns the sorted names of the failure domains in service that have live endpoints of a service.
func liveDomains(view *config.View, svc *object.Service, hosts []hostlist.Host) []string {
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.Role == hostlist.RoleEndpoint && h.Service == svc.Name && h.State == hostlist.StateLive && view.DomainInService(h.Domain) {
			seen[h.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// demands returns the demand for each version of a service: the requests that run in the other failure domains, and what
// rollouts and adapters add to them.
func (d *Daemon) demands(view *config.View, svc *object.Service, tables map[string]placement.Table) []placement.Demand {
	remote, local := map[string]int{}, map[string]int{}
	for domain, t := range tables {
		for v, s := range t.Versions {
			if domain == d.settings.Domain {
				local[v] = s.Running
			} else if d.placement.countsDemandOf(view, domain) {
				remote[v] += s.Running
			}
		}
	}
	d.raiseRolloutDemand(view, remote, local)
	wanted := wantedVersions(view)
	base := map[string]string{}
	for name, v := range view.Versions {
		if v.AdapterOf == "" {
			continue
		}
		base[name] = v.AdapterOf
		if wanted[name] { // requests for an adapter run on replicas of its base version
			wanted[v.AdapterOf] = true
			remote[v.AdapterOf] += remote[name] + local[name]
		}
	}
	var out []placement.Demand
	for _, v := range view.Set.Versions {
		if view.Models[v.Model].Service == svc.Name {
			out = append(out, placement.Demand{Version: v.Name, Running: remote[v.Name], Wanted: wanted[v.Name], Base: base[v.Name]})
		}
	}
	return out
}

// wantedVersions returns, for each version by name, whether it is active and a team may use its model.
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

// raiseRolloutDemand raises the demand for the new version of each rollout that is not halted to its share in the next step,
// so that its replicas are ready before that step begins.
func (d *Daemon) raiseRolloutDemand(view *config.View, remote, local map[string]int) {
	for i := range view.Set.Rollouts {
		r := &view.Set.Rollouts[i]
		step, halted := d.decisions.rollouts.Step(r)
		if halted {
			continue
		}
		share := r.Steps[min(step+1, len(r.Steps)-1)]
		total := remote[r.From] + remote[r.To] + local[r.From] + local[r.To]
		remote[r.To] = max(remote[r.To], int(share*float64(total))-local[r.To])
	}
}

// updatePlacedRollouts records the rollouts whose new version has the replicas that it needs in each failure domain. A rollout
// that was recorded once stays so even if replicas are lost, because sessions are already pinned to the new version.
func (d *Daemon) updatePlacedRollouts(view *config.View, tables map[string]placement.Table) {
	previous := d.placement.placedRollouts.Load()
	placed := map[string]bool{}
	for i := range view.Set.Rollouts {
		r := &view.Set.Rollouts[i]
		key := r.Name + "/" + r.To
		placed[key] = previous != nil && (*previous)[key] || d.isPlacedEverywhere(view, r, tables)
	}
	d.placement.placedRollouts.Store(&placed)
}

// isPlacedEverywhere reports whether the new version of a rollout has at least one ready replica, and as many as it needs, in
// each live failure domain of its service. It returns false if there is no such domain or no host list.
func (d *Daemon) isPlacedEverywhere(view *config.View, r *object.Rollout, tables map[string]placement.Table) bool {
	list := d.docs.hostList.Load()
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

// placementGatedSteps implements choose.RolloutSteps. If the service is under placement, it delays the first step of a rollout
// until the new version has the replicas that it needs.
type placementGatedSteps struct{ daemon *Daemon }

// Step implements choose.RolloutSteps. It returns -1 while the rollout waits for replicas.
func (p placementGatedSteps) Step(r *object.Rollout) (step int, halted bool) {
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
	if placed := d.placement.placedRollouts.Load(); placed != nil && (*placed)[r.Name+"/"+r.To] {
		return step, halted
	}
	return -1, false
}
