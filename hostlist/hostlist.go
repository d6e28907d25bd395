// Package hostlist defines the interface to the platform's list of live and leaving hosts. The list lags behind.
package hostlist

import "context"

// Role says what a host runs.
type Role string

// Roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// State of a host.
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
}

// List is the host list at one revision.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Source gives the host list.
type Source interface {
	// List waits until the list's revision differs from known, or until a server-side time limit, and returns the list.
	List(ctx context.Context, known uint64) (List, error)
}
