package selection

import "testing"

// Guards against a model without an endpoint, and against segments that overlap.
func TestSegmentsCoverAllEndpoints(t *testing.T) {
	for n := 2; n <= 12; n++ {
		for share := 0.01; share < 1; share += 0.07 {
			for position := range n {
				small := Segment{0, share, 2, 0}.Includes(position, n, false)
				large := Segment{share, 1, 2, 0}.Includes(position, n, false)
				if small == large {
					t.Errorf("endpoint %d of %d, boundary at %.2f: in the segment of the small model %v, of the large one %v", position, n, share, small, large)
				}
			}
			for _, longWork := range []float64{0.001, 0.3, 0.999} {
				for _, long := range []bool{true, false} {
					count := 0
					for position := range n {
						if (Segment{share, 1, 2, longWork}).Includes(position, n, long) {
							count++
						}
					}
					if count == 0 {
						t.Errorf("none of %d endpoints is in the segment of the large model: boundary at %.2f, long prompts %v with %.3f of the work", n, share, long, longWork)
					}
				}
			}
		}
	}
	if !(Segment{0.5, 1, 2, 0.5}).Includes(0, 1, true) {
		t.Error("the only endpoint is not in the segment")
	}
}

// Guards against segments whose endpoints have much more work each than the others. All long prompts once went to a
// single endpoint, and 146 of 3,078 draft requests failed in its queue.
func TestSegmentSizesFollowWork(t *testing.T) {
	const maxUtilization = 1.3 // multiple of the mean utilization
	for _, n := range []int{16, 60, 140, 840} {
		for _, from := range []float64{0, 0.25, 0.5} {
			for long := 0.1; long < 0.95; long += 0.1 {
				s := Segment{from, 1, 2, long}
				counts := map[bool]int{}
				for position := range n {
					for _, isLong := range []bool{true, false} {
						if s.Includes(position, n, isLong) {
							counts[isLong]++
						}
					}
				}
				mean := 1 / float64(counts[true]+counts[false])
				for isLong, work := range map[bool]float64{true: long, false: 1 - long} {
					utilization := work / float64(counts[isLong])
					if alone := counts[isLong] == 1 && work < 1.5*mean; utilization > maxUtilization*mean && !alone {
						t.Errorf("%d endpoints, segment from %.2f, long work %.1f: the %d endpoints for long prompts %v have %.2f times the mean utilization", n, from, long, counts[isLong], isLong, utilization/mean)
					}
				}
			}
		}
	}
}
