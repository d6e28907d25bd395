package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/entry"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/placement"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	maxDumpEndpoints = 200
	maxDumpRequests  = 50 // each of requests in flight and of ended ones
)

// State is the dump of a daemon's state. It contains no API keys, prompts or answers.
type State struct {
	ID               string            `json:"id"`
	Domain           string            `json:"domain"`
	Incarnation      string            `json:"incarnation"`
	Ready            bool              `json:"ready"`
	Leaving          bool              `json:"leaving"`
	Revision         uint64            `json:"revision"`
	Digest           string            `json:"digest"`
	HostListRevision uint64            `json:"hostListRevision"`
	Members          int               `json:"members"` // live entry hosts in the host list
	Watcher          bool              `json:"watcher"`
	Peers            []string          `json:"peers"`
	Documents        []peer.DocumentID `json:"documents"`
	InFlight         int               `json:"inFlight"`
	BillsHeld        int               `json:"billsHeld"`
	// BillsUncopied counts the held bills without a copy on another daemon, which would be lost with this one.
	BillsUncopied int                  `json:"billsUncopied"`
	CopiesHeld    int                  `json:"copiesHeld"`
	Endpoints     []pool.EndpointState `json:"endpoints"`
	// Running holds the requests in flight, oldest first, and Requests those that ended last.
	Running   []observe.RequestInFlight `json:"running"`
	Requests  []observe.Request         `json:"requests"`
	Decisions DecisionState             `json:"decisions"`
	// CacheMoves is nil if KV caches are not moved.
	CacheMoves *cachemove.State `json:"cacheMoves,omitempty"`
	// Placement holds the tables of the placement duties by failure domain. If this daemon holds a placement duty, the table of
	// its domain is as of the last tick.
	Placement map[string]placement.Table `json:"placement,omitempty"`
}

// State returns a dump of the daemon's state. Its size is bounded, whatever the number of endpoints and requests. It may be
// called concurrently after Start.
func (d *Daemon) State() State {
	now := time.Now()
	rev := d.config.Revision()
	held, uncopied := d.ledger.Held()
	s := State{
		ID: d.settings.ID, Domain: d.settings.Domain, Incarnation: d.incarnation, Ready: d.Ready(), Leaving: d.leaving.Load(),
		Revision: rev.Number, Digest: rev.Digest, Watcher: d.node.Watching(), Peers: d.node.Peers(), Documents: d.node.Documents(),
		InFlight: d.admit.InFlight(), BillsHeld: held, BillsUncopied: uncopied, CopiesHeld: d.billCopies.Held(),
		Endpoints: d.pool.Dump(now, maxDumpEndpoints), Running: d.inFlight.Oldest(maxDumpRequests, now), Requests: d.recentRequests.Last(maxDumpRequests),
		Decisions: d.decisions.state(), Placement: d.placement.dump(), CacheMoves: d.cacheMover.State(),
	}
	if l := d.docs.hostList.Load(); l != nil {
		s.HostListRevision = l.Revision
		s.Members = int(d.docs.liveEntryHosts.Load())
	}
	return s
}

// operatorServer serves metrics, state dumps and profiles on a separate port, which callers cannot reach.
type operatorServer struct {
	daemon *Daemon
	port   *entry.Port  // serves TCP sockets; nil if the daemon uses a Network
	server *http.Server // serves a Network; nil otherwise
	addr   string
}

func newOperatorServer(d *Daemon) *operatorServer { return &operatorServer{daemon: d} }

func (o *operatorServer) start(addr string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", o.metrics)
	mux.HandleFunc("GET /debug/state", o.state)
	mux.HandleFunc("GET /debug/requests/{id}", o.request)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	mux.HandleFunc("GET /debug/pprof/goroutine", pprof.Handler("goroutine").ServeHTTP)
	if o.daemon.network != nil {
		return o.serveOnNetwork(o.daemon.network, addr, mux)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for operators on %s: %w", addr, err)
	}
	o.port = entry.OpenPort(ln, mux, entry.PortConnections)
	o.addr = o.port.Addr()
	return nil
}

// serveOnNetwork serves the operators' port of a Network through net/http.
func (o *operatorServer) serveOnNetwork(n *Network, addr string, handler http.Handler) error {
	ln, err := n.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for operators on %s: %w", addr, err)
	}
	o.addr = ln.Addr().String()
	o.server = &http.Server{Handler: handler}
	go func() { _ = o.server.Serve(ln) }() // returns http.ErrServerClosed after Close
	return nil
}

func (o *operatorServer) stop() {
	if o.server != nil {
		_ = o.server.Close() // the process stops; nothing can be done about an error
		return
	}
	o.port.Close()
}

func (o *operatorServer) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.daemon.metrics.Write(w)
}

func (o *operatorServer) state(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.daemon.State())
}

func (o *operatorServer) request(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if req, ok := o.daemon.inFlight.Find(id, time.Now()); ok {
		writeJSON(w, req)
	} else if req, ok := o.daemon.recentRequests.Find(id); ok {
		writeJSON(w, req)
	} else {
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // a write fails only if the operator has disconnected
}

func (d *Daemon) registerGauges() {
	d.registerCallerGauges()
	d.metrics.Gauge("bramley_requests_in_flight", func() float64 { return float64(d.admit.InFlight()) })
	d.metrics.Gauge("bramley_bills_held", func() float64 { held, _ := d.ledger.Held(); return float64(held) })
	d.metrics.Gauge("bramley_bills_held_uncopied", func() float64 { _, uncopied := d.ledger.Held(); return float64(uncopied) })
	d.metrics.Gauge("bramley_bill_copies_held", func() float64 { return float64(d.billCopies.Held()) })
	d.metrics.Gauge("bramley_config_revision", func() float64 { return float64(d.config.Revision().Number) })
	d.metrics.Gauge("bramley_host_list_revision", func() float64 {
		if l := d.docs.hostList.Load(); l != nil {
			return float64(l.Revision)
		}
		return 0
	})
	d.metrics.Gauge("bramley_peers", func() float64 { return float64(len(d.node.Peers())) })
}
