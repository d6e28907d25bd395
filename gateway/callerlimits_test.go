package gateway

import "testing"

// Guards against limits on callers that use more than the machine has, or that refuse callers on a usual one.
func TestCallerLimitsFitTheMachine(t *testing.T) {
	for _, tc := range []struct {
		mb, descriptors       int
		connections, inFlight int // at least
	}{{64, 600, 250, 110}, {134, 4100, 2500, 1100}, {136, 0, 2500, 1500}, {536, 4100, 2500, 1100}, {536, 20000, 3000, 1500}, {16, 200, 16, 8}} {
		memory := int64(tc.mb) << 20
		l := callerLimitsFor(memory, tc.descriptors)
		if l.connections < tc.connections || l.inFlight < tc.inFlight {
			t.Errorf("%d MB, %d descriptors: %d connections, %d in flight", tc.mb, tc.descriptors, l.connections, l.inFlight)
		}
		if used := l.connections + l.inFlight; tc.descriptors > unusedDescriptors && used > tc.descriptors-unusedDescriptors {
			t.Errorf("%d of %d descriptors used", used, tc.descriptors)
		}
		if l.intake.Bodies >= l.intake.Memory || l.intake.Memory >= memory/2 {
			t.Errorf("%d MB: %+v", tc.mb, l.intake)
		}
	}
}
