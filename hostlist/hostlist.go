// Package hostlist defines the interface to the platform's list of live and leaving hosts. The list is eventually
// consistent: it lags behind the real state of the hosts.
package hostlist

import (
	"context"
	"time"
)

// Role is the kind of process that a host runs.
type Role string

// Roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// State is the state of a host in its lifecycle.
type State string

// States of a host. A leaving host receives no new work.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	Domain string `json:"domain"`
	Rack   string `json:"rack,omitempty"`
	State  State  `json:"state"`
	// Addr is the peer address of an entry host, or the HTTP address of an endpoint.
	Addr string `json:"addr"`
	// Service and Versions describe an endpoint; Versions is empty for plain services.
	Service  string   `json:"service,omitempty"`
	Versions []string `json:"versions,omitempty"`
	// The fields below describe an endpoint that is reached through routes.

	// Release is the version of its software.
	Release string `json:"release,omitempty"`
	// Models are the models that it serves; nil if it does not report them.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests that it runs at a time; 0 if it does not report it.
	Slots int `json:"slots,omitempty"`
	// ColdUntil is the time until which the endpoint is cold; zero if it is warm.
	ColdUntil time.Time `json:"coldUntil,omitzero"`
	// Started is the start time of its process, which distinguishes a restarted process with the same ID.
	Started int64 `json:"started,omitempty"`
}

// List is the host list at one revision.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Source provides the host list.
type Source interface {
	// List waits until the list's revision differs from known, or until a server-side time limit, and returns the list.
	// Its revision equals known if the time limit ended the wait.
	List(ctx context.Context, known uint64) (List, error)
}
