package standin

import (
	"net/http"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv/httpkv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/weight"
)

// Weight store limits of the fake platform.
const (
	weightLoadsPerSecond = 1
	weightBurst          = 4
	weightBytes          = 16 << 30
)

// Platform is a fake of the platform's services behind one HTTP handler.
type Platform struct {
	KV      *memkv.Store
	Hosts   *hostlist.Fake
	Weights *weight.Fake
	Ratings *rating.Fake
}

// NewPlatform returns a platform with empty services.
func NewPlatform() *Platform {
	return &Platform{
		KV:      memkv.New(),
		Hosts:   hostlist.NewFake(),
		Weights: weight.NewFake(weightLoadsPerSecond, weightBurst, weightBytes),
		Ratings: &rating.Fake{},
	}
}

// Handler serves all services of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", httpkv.Handler(p.KV))
	mux.Handle("/v1/hosts", hostlist.Handler(p.Hosts))
	mux.Handle("/v1/weights/", weight.Handler(p.Weights))
	mux.Handle("/v1/ratings", rating.Handler(p.Ratings))
	return mux
}
