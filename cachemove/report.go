package cachemove

import "time"

// Outcome says how a move ended, or why there was none.
type Outcome string

// Outcomes. Those from Moved to Cancelled are ends of moves that began; the others are reasons for not moving.
const (
	Moved           Outcome = "moved"
	ExportFailed    Outcome = "export_failed"
	ImportFailed    Outcome = "import_failed"
	CacheGone       Outcome = "cache_gone"       // the old endpoint has evicted the cache or has restarted
	Oversized       Outcome = "oversized"        // the export was larger than the bound
	TimedOut        Outcome = "timed_out"        // the time limit passed
	TargetRestarted Outcome = "target_restarted" // the new endpoint has started anew and is cold
	Cancelled       Outcome = "cancelled"        // the request ended

	NoPrevious    Outcome = "no_previous"    // no endpoint is known to hold the session's cache
	SameEndpoint  Outcome = "same_endpoint"  // the new endpoint holds it already
	OtherVersion  Outcome = "other_version"  // the cache is one of another version
	NotListed     Outcome = "not_listed"     // the old endpoint is not in the host list, or serves another service
	SourceDown    Outcome = "source_down"    // the old endpoint failed, or fell silent
	TargetFull    Outcome = "target_full"    // the slot is one of the last ones, or requests wait for it
	TooShort      Outcome = "too_short"      // too few tokens to gain anything
	TooManyMoves  Outcome = "too_many_moves" // in this daemon
	SourceBusy    Outcome = "source_busy"    // as many moves as allowed read from the old endpoint
	TooLarge      Outcome = "too_large"      // the estimated size exceeds the bound
	TooLong       Outcome = "too_long"       // the estimated time is not below the limit by the margin
	Unmeasured    Outcome = "unmeasured"     // a rate is not known yet
	Control       Outcome = "control"        // not moved to measure the prefill again
	PrefillFaster Outcome = "prefill_faster"
	NoTime        Outcome = "no_time" // too little time is left before the request's deadline
)

// Report describes what became of the KV cache of one request. It holds no part of the cache.
type Report struct {
	Outcome Outcome `json:"outcome"`
	Source  string  `json:"source,omitempty"` // endpoint
	Target  string  `json:"target,omitempty"` // endpoint
	Trial   bool    `json:"trial,omitempty"`  // made to measure
	Tokens  int64   `json:"tokens,omitempty"` // in the cache, estimated
	Bytes   int64   `json:"bytes,omitempty"`  // read from the source
	// Prefill and Move are the estimates that were compared, 0 if there were none.
	Prefill time.Duration `json:"prefillNs,omitempty"`
	Move    time.Duration `json:"moveNs,omitempty"`
	Took    time.Duration `json:"tookNs,omitempty"`
	Detail  string        `json:"detail,omitempty"` // error

	begun bool
}

// Begun reports whether a move began, so that time has passed.
func (r *Report) Begun() bool { return r.begun }

// fresh reports whether the endpoint has to process the whole prompt, as far as is known: the session's cache is
// elsewhere and was not moved.
func (r *Report) fresh() bool {
	switch r.Outcome {
	case NoPrevious, SameEndpoint, Moved, OtherVersion, TargetRestarted:
		return false
	default:
		return true
	}
}
