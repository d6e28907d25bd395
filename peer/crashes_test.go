package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/poison"
)

// Guards against crash records that fill the links of daemons when a failure domain is lost, and against a request that goes on crashing
// endpoints because its records are lost among them.
func TestCrashRecordsLeaveLinkToRequests(t *testing.T) {
	const linkBytes, records, fingerprint = 10_000_000 / 8, 3000, 1 << 40
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, 3)
		defer c.close()
		time.Sleep(20 * time.Second)
		for i := range records {
			r := poison.Record{Fingerprint: uint64(i + 1), Crash: fmt.Sprintf("i-%d/1789000000000", i%30), Request: uint64(i), Parts: []uint64{uint64(i), uint64(i + 1), uint64(i + 2)}}
			go c.nodes[i%2].ReportCrash(r)
		}
		for i := range poison.MaxCrashes {
			time.AfterFunc(time.Duration(i+1)*200*time.Millisecond, func() {
				c.nodes[3*i+2].ReportCrash(poison.Record{Fingerprint: fingerprint, Crash: fmt.Sprintf("endpoint/%d", i)})
			})
		}
		for range 4 {
			before := make([]int, len(c.hosts))
			for i, h := range c.hosts {
				before[i] = c.net.Traffic(h.Addr).Bytes
			}
			time.Sleep(time.Second)
			for i, h := range c.hosts {
				if sent := c.net.Traffic(h.Addr).Bytes - before[i]; sent > linkBytes/2 {
					t.Errorf("%s sent %d bytes in a second, a link of 10 Mbit/s carries %d", h.ID, sent, linkBytes)
				}
			}
		}
		for i, table := range c.tables {
			if !table.Refused(fingerprint, time.Now()) {
				t.Errorf("daemon %d does not refuse a request that crashed %d endpoints", i, poison.MaxCrashes)
			}
		}
	})
}
