package gateway

import (
	"encoding/json"
	"net/http"
)

// stateDump is the state of the process as shown to operators, encoded as JSON.
type stateDump struct {
	Daemon    string         `json:"daemon"`
	Domain    string         `json:"domain"`
	Ready     bool           `json:"ready"`
	Config    uint64         `json:"config"`
	StoreAge  float64        `json:"storeAgeSeconds"`
	Members   int            `json:"members"`
	Waiting   int            `json:"waiting"`
	Endpoints []endpointDump `json:"endpoints"`
}

// endpointDump is one endpoint in a stateDump.
type endpointDump struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Addr    string `json:"addr"`
	Release string `json:"release"`
	State   string `json:"state"`
}

// operatorHandler registers the gauges, and returns a handler that serves the metrics and the state of the process.
func (g *Gateway) operatorHandler() http.Handler {
	g.spec.Metrics.Gauge("bramley_config_version", func() float64 { return float64(g.config.Revision().Number) })
	g.spec.Metrics.Gauge("bramley_store_age_seconds", func() float64 { return g.view.age().Seconds() })
	g.spec.Metrics.Gauge("bramley_store_era", func() float64 { return float64(g.view.era.Load()) })
	g.spec.Metrics.Gauge("bramley_configuration_held", func() float64 {
		if g.view.minimum.isHolding() {
			return 1
		}
		return 0
	})
	g.spec.Metrics.Gauge("bramley_members", func() float64 { return float64(g.members()) })
	g.spec.Metrics.Gauge("bramley_waiting_requests", func() float64 { return float64(g.dispatch.Waiting()) })
	g.registerCallerGauges()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.spec.Metrics.Write(w) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.dump()); err != nil {
			g.log.WithError(err).Info("writing the state to the client failed")
		}
	})
	return mux
}

func (g *Gateway) dump() stateDump {
	d := stateDump{
		Daemon: g.spec.Name, Domain: g.spec.Domain, Ready: g.Ready(), Config: g.config.Revision().Number, StoreAge: g.view.age().Seconds(),
		Members: g.members(), Waiting: g.dispatch.Waiting(),
	}
	g.view.mu.Lock()
	defer g.view.mu.Unlock()
	for _, h := range g.view.endpoints {
		d.Endpoints = append(d.Endpoints, endpointDump{h.ID, h.Service, h.Domain, h.Addr, h.Release, string(h.State)})
	}
	return d
}
