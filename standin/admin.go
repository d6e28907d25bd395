package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/object"
)

// maxAdminBody bounds the body of an administrative request.
const maxAdminBody = 64 << 20

// HostChange puts and removes hosts in one revision of the host list.
type HostChange struct {
	Put    []hostlist.Host `json:"put,omitempty"`
	Remove []string        `json:"remove,omitempty"`
}

// Outage says which of the platform's services are down.
type Outage struct {
	Store bool `json:"store"`
	Hosts bool `json:"hosts"`
}

// EndpointChange changes the timing of all model endpoints.
type EndpointChange struct {
	TokenDelay time.Duration `json:"tokenDelayNs"`
	Answer     int64         `json:"answer"` // tokens of an answer
}

// Admin is the administrative HTTP interface of a stand-in process, for tests and measurements.
type Admin struct {
	Platform *Platform
	Calls    *Calls
	Engines  []*Engine
	Listed   []hostlist.Host // entries of this process's endpoints
}

// Handler serves the interface.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/endpoints", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, a.Listed) })
	mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, a.Platform.Hosts.Snapshot()) })
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, a.Calls.ByCaller()) })
	mux.HandleFunc("POST /admin/hosts", a.changeHosts)
	mux.HandleFunc("POST /admin/publish", a.publish)
	mux.HandleFunc("POST /admin/outage", a.outage)
	mux.HandleFunc("POST /admin/endpoints", a.changeEndpoints)
	return mux
}

func decodeAdmin(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody)).Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("bad request: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func (a *Admin) changeHosts(w http.ResponseWriter, r *http.Request) {
	var c HostChange
	if decodeAdmin(w, r, &c) {
		a.Platform.Hosts.Update(c.Put, c.Remove)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *Admin) outage(w http.ResponseWriter, r *http.Request) {
	var o Outage
	if decodeAdmin(w, r, &o) {
		a.Platform.KV.Faults.SetDown(o.Store)
		a.Platform.Hosts.SetDown(o.Hosts)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *Admin) changeEndpoints(w http.ResponseWriter, r *http.Request) {
	var c EndpointChange
	if !decodeAdmin(w, r, &c) {
		return
	}
	for _, e := range a.Engines {
		e.set(func() { e.spec.TokenDelay, e.spec.Answer = c.TokenDelay, c.Answer })
	}
	w.WriteHeader(http.StatusNoContent)
}

// publish stores the set in the body as the next revision and replies with the revision without its body.
func (a *Admin) publish(w http.ResponseWriter, r *http.Request) {
	var set object.Set
	if !decodeAdmin(w, r, &set) {
		return
	}
	rev, err := a.store(r, set)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	rev.Body = nil
	replyJSON(w, rev)
}

func (a *Admin) store(r *http.Request, set object.Set) (config.Revision, error) {
	var last config.Revision
	stored, err := a.Platform.KV.Get(r.Context(), config.Key)
	if err == nil {
		last, err = config.UnmarshalRevision(stored.Value)
	}
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return last, err
	}
	body, digest, err := declare.Encode(set)
	if err != nil {
		return last, err
	}
	rev := config.Revision{Number: last.Number + 1, Digest: digest, Publisher: "stand-in", Published: time.Now().UTC(), Body: body}
	data, err := rev.Marshal()
	if err != nil {
		return rev, err
	}
	_, err = a.Platform.KV.CAS(r.Context(), config.Key, data, stored.Revision, 0)
	return rev, err
}
