package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

const (
	// maxEvidenceBytes limits a report on one rollout and the reply to it, with their headers. The daemon that evaluates
	// rollouts receives 37 reports a second from 370 daemons, which is 4.6 KB of its 5 KB/s of control traffic.
	maxEvidenceBytes = 125
)

// Guards against reports on rollouts that exceed the control traffic of the daemon that evaluates them. The size must
// not grow with the number of calls.
func TestEvidenceSize(t *testing.T) {
	for _, calls := range []int{1, 10, 100, 1000} { // per second and version
		c := rollout.NewCounter()
		c.SetRollouts([]object.Rollout{{Name: "r", From: "m-1", To: "m-2"}})
		var out bytes.Buffer
		enc := gob.NewEncoder(&out)
		start := time.Unix(1_900_000_000, 0)
		size := 0
		for i := range 100 {
			now := start.Add(time.Duration(i) * time.Second)
			if i%10 == 0 {
				out.Reset()
				e := c.Evidence("0123456789", now.Unix()-11, now)
				encode(t, enc, &rpc.Request{ServiceMethod: serviceName + ".Evidence", Seq: 1 << 20})
				encode(t, enc, EvidenceArgs{e})
				encode(t, enc, &rpc.Response{ServiceMethod: serviceName + ".Evidence", Seq: 1 << 20})
				encode(t, enc, Empty{})
				size = out.Len()
			}
			for n := range calls {
				for _, v := range []string{"m-1", "m-2"} {
					c.Add(uint64(n), rollout.Call{At: now, Version: v, Failed: n%5 == 0, FirstByte: time.Duration(n%7) * time.Second})
				}
			}
		}
		t.Logf("%d calls a second: report and reply of %d bytes", calls, size)
		if size > maxEvidenceBytes {
			t.Errorf("%d calls a second: report and reply of %d bytes, at most %d are allowed", calls, size, maxEvidenceBytes)
		}
	}
}

func encode(t *testing.T, enc *gob.Encoder, v any) {
	t.Helper()
	if err := enc.Encode(v); err != nil {
		t.Fatal(err)
	}
}

// maxAnswersBytes limits a report on the answers of 30 s and the reply to it, to 18 B/s from each daemon.
const maxAnswersBytes = 18 * 30

// Guards against reports on answers that exceed a few bytes a second, in a small deployment and at the highest rate of
// answers of a daemon.
func TestAnswersSize(t *testing.T) {
	for _, answers := range []int{12, 540} { // in 30 s
		var out bytes.Buffer
		enc := gob.NewEncoder(&out)
		size := 0
		for range 3 { // the first message of a stream is larger, as gob describes the types in it
			var c quality.Collector
			for i := range answers {
				c.Add(fmt.Sprint(i), fmt.Sprintf("kind-of-request-%d", i%3), fmt.Sprintf("model-%d-1", i%2), 0.5+float64(i%40)/100)
			}
			out.Reset()
			encode(t, enc, &rpc.Request{ServiceMethod: serviceName + ".Answers", Seq: 1 << 20})
			encode(t, enc, AnswersArgs{c.Take()})
			encode(t, enc, &rpc.Response{ServiceMethod: serviceName + ".Answers", Seq: 1 << 20})
			encode(t, enc, Empty{})
			size = out.Len()
		}
		t.Logf("%d answers: report and reply of %d bytes", answers, size)
		if size > maxAnswersBytes {
			t.Errorf("%d answers: report and reply of %d bytes, at most %d are allowed", answers, size, maxAnswersBytes)
		}
	}
}
