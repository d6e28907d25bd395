package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the host was started, as a time after the Unix epoch. Unlike the monotonic clock, it advances while
// the host is suspended; unlike the time of day, it never jumps.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil { // the kernel has had this clock since 2.6.39
		panic("duty: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
