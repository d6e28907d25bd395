package duty

import "time"

// Reason says why a holder may not call the platform now; it is empty if it may.
type Reason string

// Reasons.
const (
	NotHeld     Reason = "not held"
	OtherEra    Reason = "store restored" // since the duty was acquired
	NotRecorded Reason = "not recorded"   // the stored record does not name this term yet
	Waiting     Reason = "earlier lease"  // an earlier holder may have acted within the last lease duration
	Expiring    Reason = "lease expires"  // before a call would certainly have arrived
)

// Limits are the settings of a deployment that bound when a holder may act.
type Limits struct {
	Lease time.Duration // time to live of the lease
	// Slack is the time after a thaw of the host within which calls that it makes are not judged. It is subtracted from the lease as
	// a margin for the way of the call.
	Slack time.Duration
	Call  time.Duration // time limit of a call of the platform
}

// Term is what is known of the term of a holder. All times are of one clock, see BootTime.
type Term struct {
	Token    uint64    // 0 if the duty is not held
	Acquired time.Time // when the holder learned that it holds the duty
	Expires  time.Time // end of the lease, counted from before its last renewal was sent
	// Recorded says that the stored record names this term as the last one. Continues says that the record named the same host as
	// the holder before, in the era of this term.
	Recorded, Continues bool
}

// Check decides whether a call may be sent at a time, and returns the reason if not. era is the highest era of the store that the
// daemon has seen.
//
// A holder waits for a full lease duration after it has acquired the duty, so that the holder before can't act any more and two changes
// of the holder are never closer than that. This is not necessary if the holder before was the same host: its lease has ended by its own
// clock, since the store ended it only after that.
func (t Term) Check(now time.Time, era uint64, l Limits) Reason {
	switch {
	case t.Token == 0:
		return NotHeld
	case Era(t.Token) != era:
		return OtherEra
	case !now.Add(l.Call + l.Slack).Before(t.Expires):
		return Expiring
	case !t.Recorded:
		return NotRecorded
	case !t.Continues && now.Before(t.Acquired.Add(l.Lease)):
		return Waiting
	}
	return ""
}
