package rollout

import (
	"encoding/binary"
	"errors"
	"math/bits"
)

const (
	// windowSeconds is the number of seconds for which a daemon keeps counts by second for its next report. Older calls are
	// reported in the totals only.
	windowSeconds = 60
	// maxPackedSeconds bounds the packed seconds of a pair, in bytes. The holder of the rollout duty receives 37 reports a
	// second from 370 daemons within a limit of 5 KB/s for control traffic. A second with one call takes 2 bytes.
	maxPackedSeconds = 12
	// secondFields is the number of counts in a Second.
	secondFields = 6
)

// errMalformedSeconds is returned for packed seconds that can't be decoded.
var errMalformedSeconds = errors.New("decode packed seconds: malformed data")

// Second holds the counts of the calls of both versions that ended in one second.
type Second struct {
	At       int64 // Unix time
	From, To Counts
}

// window is a ring buffer with the counts of the last windowSeconds seconds, indexed by the Unix time modulo its length.
type window [windowSeconds]struct {
	at     int64
	counts Counts
}

// add adds counts to a second. It ignores seconds that have left the window.
func (w *window) add(at int64, increment Counts) {
	slot := &w[uint64(at)%windowSeconds]
	if slot.at > at {
		return
	}
	if slot.at < at {
		slot.at, slot.counts = at, Counts{}
	}
	slot.counts.add(increment)
}

// countsAt returns the counts of one second, or zero if it is not in the window.
func (w *window) countsAt(at int64) Counts {
	if slot := &w[uint64(at)%windowSeconds]; slot.at == at {
		return slot.counts
	}
	return Counts{}
}

// packSeconds encodes the seconds up to through, newest first. If the result exceeds maxPackedSeconds, it merges adjacent
// seconds into the newest of them, in ever wider intervals. Seconds of the new version are merged last, because their
// times show which failures belong to one burst. It returns nil if nothing fits, which takes very many calls; the receiver
// then has the totals only.
func packSeconds(list []Second, through int64) []byte {
	for _, both := range []bool{false, true} {
		for width := int64(1); width < 2*windowSeconds; width *= 2 {
			if packed := appendSeconds(nil, mergeSeconds(list, through, width, both), through); len(packed) <= maxPackedSeconds {
				return packed
			}
		}
	}
	return nil
}

// mergeSeconds adds up the seconds in each interval of the given width in seconds, of the old version only or of both
// versions. The list and the result are newest first.
func mergeSeconds(list []Second, through, width int64, both bool) []Second {
	var out []Second
	add := func(s Second) {
		if n := len(out); n > 0 && out[n-1].At == s.At {
			out[n-1].From.add(s.From)
			out[n-1].To.add(s.To)
			return
		}
		out = append(out, s)
	}
	newest, interval := 0, int64(-1) // index in out, and newest second, of the current interval
	for _, s := range list {
		mergedAt := through - (through-s.At)/width*width
		switch {
		case both:
			s.At = mergedAt
			add(s)
		case mergedAt == interval:
			out[newest].From.add(s.From)
			if s.To != (Counts{}) {
				add(Second{At: s.At, To: s.To})
			}
		default:
			interval = mergedAt
			add(Second{At: mergedAt, From: s.From})
			newest = len(out) - 1
			if s.To != (Counts{}) {
				add(Second{At: s.At, To: s.To})
			}
		}
	}
	return out
}

// appendSeconds appends for each second its distance to the one before, shifted and combined with a bit mask of the
// non-zero counts, and then these counts, all as variable-length integers.
func appendSeconds(data []byte, list []Second, through int64) []byte {
	previous := through
	for _, s := range list {
		fields := [secondFields]uint64{s.From.Answers, s.From.Errors, s.From.Slow, s.To.Answers, s.To.Errors, s.To.Slow}
		mask := uint64(0)
		for i, f := range fields {
			if f > 0 {
				mask |= 1 << i
			}
		}
		data = binary.AppendUvarint(data, uint64(previous-s.At)<<secondFields|mask)
		for _, f := range fields {
			if f > 0 {
				data = binary.AppendUvarint(data, f)
			}
		}
		previous = s.At
	}
	return data
}

// unpackSeconds decodes the result of packSeconds. Any malformed input gives errMalformedSeconds.
func unpackSeconds(data []byte, through int64) ([]Second, error) {
	var out []Second
	for at := through; len(data) > 0; {
		head, n := binary.Uvarint(data)
		if n <= 0 || head>>secondFields > windowSeconds || len(out) == windowSeconds {
			return nil, errMalformedSeconds
		}
		data = data[n:]
		at -= int64(head >> secondFields)
		var fields [secondFields]uint64
		for mask := head & (1<<secondFields - 1); mask > 0; mask &= mask - 1 {
			if fields[bits.TrailingZeros64(mask)], n = binary.Uvarint(data); n <= 0 {
				return nil, errMalformedSeconds
			}
			data = data[n:]
		}
		out = append(out, Second{
			At: at, From: Counts{fields[0], fields[1], fields[2]}, To: Counts{fields[3], fields[4], fields[5]},
		})
	}
	return out, nil
}
