package httpkv

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/bramleytrail/bramleytrail/kv"
)

// maxRequestBytes bounds a request body. It leaves enough space for the largest value in base64.
const maxRequestBytes = 2 * kv.MaxValueBytes

// Handler returns a handler that serves store in the protocol of Client.
func Handler(store kv.Store) http.Handler {
	s := server{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", s.get)
	mux.HandleFunc("PUT /v1/keys/{key}", s.cas)
	mux.HandleFunc("DELETE /v1/keys/{key}", s.delete)
	mux.HandleFunc("GET /v1/list", s.list)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("POST /v1/leases", s.grant)
	mux.HandleFunc("POST /v1/leases/{id}", s.keepAlive)
	mux.HandleFunc("DELETE /v1/leases/{id}", s.revoke)
	return mux
}

type server struct{ store kv.Store }

func (s server) get(w http.ResponseWriter, r *http.Request) {
	e, err := s.store.Get(r.Context(), r.PathValue("key"))
	reply(w, e, err)
}

func (s server) cas(w http.ResponseWriter, r *http.Request) {
	var req casRequest
	if !decode(w, r, &req) {
		return
	}
	rev, err := s.store.CAS(r.Context(), r.PathValue("key"), req.Value, req.Previous, req.Lease)
	reply(w, revisionReply{rev}, err)
}

func (s server) delete(w http.ResponseWriter, r *http.Request) {
	prev, err := kv.ParseRevision(r.FormValue("previous"))
	if err != nil {
		http.Error(w, "bad revision", http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, s.store.Delete(r.Context(), r.PathValue("key"), prev))
}

func (s server) list(w http.ResponseWriter, r *http.Request) {
	limit, limitErr := strconv.Atoi(r.FormValue("limit"))
	size, sizeErr := strconv.Atoi(r.FormValue("bytes"))
	if limitErr != nil || sizeErr != nil {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	page, err := s.store.List(r.Context(), kv.Range{Prefix: r.FormValue("prefix"), From: r.FormValue("from"), MaxEntries: limit, MaxBytes: size})
	reply(w, page, err)
}

func (s server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := kv.ParseRevision(r.FormValue("after"))
	if err != nil {
		http.Error(w, "bad revision", http.StatusBadRequest)
		return
	}
	changes, err := s.store.Watch(r.Context(), r.FormValue("prefix"), after)
	reply(w, changes, err)
}

func (s server) grant(w http.ResponseWriter, r *http.Request) {
	var req leaseRequest
	if !decode(w, r, &req) {
		return
	}
	id, err := s.store.Grant(r.Context(), req.TTL)
	reply(w, leaseReply{id}, err)
}

func (s server) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, ok := parseLeaseID(w, r)
	if ok {
		reply(w, struct{}{}, s.store.KeepAlive(r.Context(), id))
	}
}

func (s server) revoke(w http.ResponseWriter, r *http.Request) {
	id, ok := parseLeaseID(w, r)
	if ok {
		reply(w, struct{}{}, s.store.Revoke(r.Context(), id))
	}
}

func parseLeaseID(w http.ResponseWriter, r *http.Request) (kv.LeaseID, bool) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, "bad lease", http.StatusBadRequest)
		return 0, false
	}
	return kv.LeaseID(id), true
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), errorStatus(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write fails only if the client has disconnected
}

// errorStatus is the inverse of statusError.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, kv.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, kv.ErrNoLease):
		return http.StatusGone
	case errors.Is(err, kv.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
