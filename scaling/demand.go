// Package scaling decides how many endpoints a service needs in each failure domain.
package scaling

import "time"

// Demand is what one daemon observed of a service's load on the endpoints of one failure domain in the last second.
type Demand struct {
	Service  string `msgpack:"s"`
	Domain   string `msgpack:"d"`           // failure domain of the endpoints
	InFlight int    `msgpack:"i,omitempty"` // requests at endpoints now
	Waiting  int    `msgpack:"w,omitempty"` // requests that wait for capacity now
	Arrived  int    `msgpack:"a,omitempty"` // requests in the last second
	Refused  int    `msgpack:"r,omitempty"` // requests refused for lack of capacity in the last second
	Late     int    `msgpack:"l,omitempty"` // answers that began after their target in the last second
}

// Report is the demand that one daemon reported to the holder of the scaling duty.
type Report struct {
	Daemon  string
	Domain  string    // failure domain of the daemon
	At      time.Time // when the report was received
	Demands []Demand
}
