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

// maxAdminBodyBytes limits the body of an admin request.
const maxAdminBodyBytes = 64 << 20

// HostChange is the body of POST /admin/hosts. It adds, replaces and removes hosts in one revision of the host list.
type HostChange struct {
	Put    []hostlist.Host `json:"put,omitempty"`    // hosts to add or replace
	Remove []string        `json:"remove,omitempty"` // IDs of hosts
}

// Outage is the body of POST /admin/outage. It states which of the platform's services are down from now on.
type Outage struct {
	Store bool `json:"store"` // key-value store
	Hosts bool `json:"hosts"` // host list
}

// EndpointChange is the body of POST /admin/endpoints. It sets the length and the speed of the answers of all model endpoints.
type EndpointChange struct {
	TokenDelay   time.Duration `json:"tokenDelayNs"` // time between tokens
	AnswerTokens int64         `json:"answer"`       // tokens of an answer unless the request's limit is smaller; 0 for defaultAnswerTokens
}

// Admin is the administrative HTTP interface of a stand-in process. Tests and measurements use it to change the host list, to
// publish a configuration and to inject outages. Set its fields before the first request.
type Admin struct {
	Platform      *Platform
	Calls         *CallCounter
	Engines       []*Engine
	EndpointHosts []hostlist.Host // host list entries of this process's endpoints
}

// Handler returns a handler of the paths below /admin/.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/endpoints", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, a.EndpointHosts) })
	mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, a.Platform.Hosts.Snapshot()) })
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, a.Calls.ByCaller()) })
	mux.HandleFunc("POST /admin/hosts", a.changeHosts)
	mux.HandleFunc("POST /admin/publish", a.publish)
	mux.HandleFunc("POST /admin/outage", a.setOutage)
	mux.HandleFunc("POST /admin/endpoints", a.changeEndpoints)
	return mux
}

// decodeBody decodes the JSON body of an admin request into v. If that fails, it replies with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes)).Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("bad request: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func (a *Admin) changeHosts(w http.ResponseWriter, r *http.Request) {
	var c HostChange
	if decodeBody(w, r, &c) {
		a.Platform.Hosts.Update(c.Put, c.Remove)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *Admin) setOutage(w http.ResponseWriter, r *http.Request) {
	var o Outage
	if decodeBody(w, r, &o) {
		a.Platform.KV.Faults.SetDown(o.Store)
		a.Platform.Hosts.SetDown(o.Hosts)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *Admin) changeEndpoints(w http.ResponseWriter, r *http.Request) {
	var c EndpointChange
	if !decodeBody(w, r, &c) {
		return
	}
	for _, e := range a.Engines {
		e.update(func() { e.spec.TokenDelay, e.spec.AnswerTokens = c.TokenDelay, c.AnswerTokens })
	}
	w.WriteHeader(http.StatusNoContent)
}

// publish stores the set of objects in the request's body as the next configuration revision, without validation. It replies
// with the revision's metadata.
func (a *Admin) publish(w http.ResponseWriter, r *http.Request) {
	var set object.Set
	if !decodeBody(w, r, &set) {
		return
	}
	rev, err := a.storeRevision(r, set)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	rev.Body = nil
	replyJSON(w, rev)
}

// storeRevision writes a set as the revision after the stored one. It fails with kv.ErrConflict if another publication comes
// in between.
func (a *Admin) storeRevision(r *http.Request, set object.Set) (config.Revision, error) {
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
