package rollout

import (
	"encoding/binary"
	"errors"
	"math/bits"
)

const (
	// windowSeconds bounds the seconds that a daemon keeps for its next report. Older calls count by the totals only.
	windowSeconds = 60
	// maxPackedSeconds bounds the packed seconds of a pair in bytes. The holder of the duty receives 37 reports a second
	// from 370 daemons, and its control traffic may be 5 KB a second. A second with one call takes 2 bytes.
	maxPackedSeconds = 12
	// secondFields is the number of counts in a Second.
	secondFields = 6
)

// errSeconds is returned for packed seconds that can't be read.
var errSeconds = errors.New("malformed counts by second")

// Second counts the calls of both versions that ended in one second.
type Second struct {
	At       int64 // Unix time
	From, To Counts
}

// window keeps the counts of the last seconds, at the index of the second modulo its length.
type window [windowSeconds]struct {
	at     int64
	counts Counts
}

// add counts a call. A second that has left the window is not counted.
func (w *window) add(at int64, one Counts) {
	slot := &w[uint64(at)%windowSeconds]
	if slot.at > at {
		return
	}
	if slot.at < at {
		slot.at, slot.counts = at, Counts{}
	}
	slot.counts.add(one)
}

// sum returns the counts of one second.
func (w *window) sum(at int64) Counts {
	if slot := &w[uint64(at)%windowSeconds]; slot.at == at {
		return slot.counts
	}
	return Counts{}
}

// packSeconds encodes the seconds up to through, newest first. Neighbouring seconds are joined, at the newest of them,
// until the result fits in maxPackedSeconds. Those of the new version are joined last, since their times tell which failures
// belong to one burst. If nothing fits, because there are very many calls, the totals must do.
func packSeconds(list []Second, through int64) []byte {
	for _, both := range []bool{false, true} {
		for width := int64(1); width < 2*windowSeconds; width *= 2 {
			if packed := appendSeconds(nil, joinSeconds(list, through, width, both), through); len(packed) <= maxPackedSeconds {
				return packed
			}
		}
	}
	return nil
}

// joinSeconds adds up the seconds of each stretch of the given width, of the old version only or of both. The list and
// the result are newest first.
func joinSeconds(list []Second, through, width int64, both bool) []Second {
	var out []Second
	add := func(s Second) {
		if n := len(out); n > 0 && out[n-1].At == s.At {
			out[n-1].From.add(s.From)
			out[n-1].To.add(s.To)
			return
		}
		out = append(out, s)
	}
	newest, stretch := 0, int64(-1) // index and number of the current stretch
	for _, s := range list {
		joined := through - (through-s.At)/width*width
		switch {
		case both:
			s.At = joined
			add(s)
		case joined == stretch:
			out[newest].From.add(s.From)
			if s.To != (Counts{}) {
				add(Second{At: s.At, To: s.To})
			}
		default:
			stretch = joined
			add(Second{At: joined, From: s.From})
			newest = len(out) - 1
			if s.To != (Counts{}) {
				add(Second{At: s.At, To: s.To})
			}
		}
	}
	return out
}

// appendSeconds writes for each second the distance to the one before, with a mask of the counts that are not zero, and
// those counts, all as variable-length integers.
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

// unpackSeconds decodes what packSeconds returns.
func unpackSeconds(data []byte, through int64) ([]Second, error) {
	var out []Second
	for at := through; len(data) > 0; {
		head, n := binary.Uvarint(data)
		if n <= 0 || head>>secondFields > windowSeconds || len(out) == windowSeconds {
			return nil, errSeconds
		}
		data = data[n:]
		at -= int64(head >> secondFields)
		var fields [secondFields]uint64
		for mask := head & (1<<secondFields - 1); mask > 0; mask &= mask - 1 {
			if fields[bits.TrailingZeros64(mask)], n = binary.Uvarint(data); n <= 0 {
				return nil, errSeconds
			}
			data = data[n:]
		}
		out = append(out, Second{
			At: at, From: Counts{fields[0], fields[1], fields[2]}, To: Counts{fields[3], fields[4], fields[5]},
		})
	}
	return out, nil
}
