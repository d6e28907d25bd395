package cachemove

import "time"

// Outcome says how a move ended, or why there was none.
type Outcome string

// The outcomes. Those from Moved to Cancelled are results of moves that started; the others are reasons for not moving.
const (
	Moved           Outcome = "moved"
	ExportFailed    Outcome = "export_failed"
	ImportFailed    Outcome = "import_failed"
	CacheGone       Outcome = "cache_gone"       // the old endpoint has evicted the cache or has restarted
	Oversized       Outcome = "oversized"        // the export was larger than the size limit
	TimedOut        Outcome = "timed_out"        // the time limit passed
	TargetRestarted Outcome = "target_restarted" // the new endpoint has restarted and is cold
	Cancelled       Outcome = "cancelled"        // the request ended

	NoPrevious    Outcome = "no_previous"    // no endpoint is known to hold the session's cache
	SameEndpoint  Outcome = "same_endpoint"  // the new endpoint holds it already
	OtherVersion  Outcome = "other_version"  // the cache belongs to another version
	NotListed     Outcome = "not_listed"     // the old endpoint is not in the host list, or serves another service
	SourceDown    Outcome = "source_down"    // the old endpoint failed or is unresponsive
	TargetFull    Outcome = "target_full"    // few slots are free at the new endpoint, or requests wait for capacity
	TooShort      Outcome = "too_short"      // too few tokens to gain anything
	TooManyMoves  Outcome = "too_many_moves" // in this daemon
	SourceBusy    Outcome = "source_busy"    // the old endpoint already has the allowed number of moves
	TooLarge      Outcome = "too_large"      // the estimated size exceeds the size limit
	TooLong       Outcome = "too_long"       // the estimated time plus Margin exceeds the time limit
	Unmeasured    Outcome = "unmeasured"     // a rate is not known yet
	Control       Outcome = "control"        // not moved, to measure the prefill again
	PrefillFaster Outcome = "prefill_faster" // the move does not save enough time
	NoTime        Outcome = "no_time"        // too little time is left before the request's deadline
)

// Report describes whether and how the KV cache of one request was moved. It contains nothing of the cache itself.
type Report struct {
	Outcome Outcome `json:"outcome"`
	Source  string  `json:"source,omitempty"` // endpoint
	Target  string  `json:"target,omitempty"` // endpoint
	Trial   bool    `json:"trial,omitempty"`  // made to measure the rate of moves
	Tokens  int64   `json:"tokens,omitempty"` // in the cache, estimated
	Bytes   int64   `json:"bytes,omitempty"`  // exported by the source
	// Prefill and Move are the compared estimates of the time; 0 if there were none.
	Prefill time.Duration `json:"prefillNs,omitempty"`
	Move    time.Duration `json:"moveNs,omitempty"`
	Took    time.Duration `json:"tookNs,omitempty"`
	Detail  string        `json:"detail,omitempty"` // error text

	started bool
}

// Started reports whether a move was started, so that time has passed since the reservation.
func (r *Report) Started() bool { return r.started }

// needsFullPrefill reports whether the endpoint has to process the whole prompt, as far as is known: the session's cache is
// at another endpoint and was not moved.
func (r *Report) needsFullPrefill() bool {
	switch r.Outcome {
	case NoPrevious, SameEndpoint, Moved, OtherVersion, TargetRestarted:
		return false
	default:
		return true
	}
}
