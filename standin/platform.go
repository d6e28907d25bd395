package standin

import (
	"net/http"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv/httpkv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/weight"
)

// Limits of the fake weight store. weightBytesPerLoad is the size of the weights of every version.
const (
	weightLoadsPerSecond = 1
	weightBurst          = 4
	weightBytesPerLoad   = 16 << 30
)

// Platform holds fakes of the platform's services: the key-value store, the host list, the weight store and the ratings. Tests
// inject faults through the fields.
type Platform struct {
	KV      *memkv.Store
	Hosts   *hostlist.Fake
	Weights *weight.Fake
	Ratings *rating.Fake
}

// NewPlatform returns a platform whose services hold no data.
func NewPlatform() *Platform {
	return &Platform{
		KV:      memkv.New(),
		Hosts:   hostlist.NewFake(),
		Weights: weight.NewFake(weightLoadsPerSecond, weightBurst, weightBytesPerLoad),
		Ratings: &rating.Fake{},
	}
}

// Handler returns an HTTP handler of all services.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", httpkv.Handler(p.KV))
	mux.Handle("/v1/hosts", hostlist.Handler(p.Hosts))
	mux.Handle("/v1/weights/", weight.Handler(p.Weights))
	mux.Handle("/v1/ratings", rating.Handler(p.Ratings))
	return mux
}
