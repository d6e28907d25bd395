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
	// maxEvidenceBytes bounds a report of one roll-out and the reply to it, with their headers. The holder receives 37 a
	// second from 370 daemons, which is 4.6 KB of the 5 KB of control traffic that a daemon may have.
	maxEvidenceBytes = 125
)

// Guards against reports that exceed the control traffic of the holder, with few and with many calls.
func TestEvidenceSize(t *testing.T) {
	for _, calls := range []int{1, 10, 100, 1000} { // a second, of each version
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
		t.Logf("%d calls a second: %d bytes", calls, size)
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

// maxAnswersBytes bounds a report of answers and the reply to it at the target: 18 B a second from each daemon.
const maxAnswersBytes = 18 * 30

// Guards against reports of answers that exceed a few bytes a second, at a small deployment and at the limit of answers.
func TestAnswersSize(t *testing.T) {
	for _, answers := range []int{12, 540} { // in 30 s
		var out bytes.Buffer
		enc := gob.NewEncoder(&out)
		size := 0
		for range 3 { // the first one describes the types
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
		t.Logf("%d answers: %d bytes", answers, size)
		if size > maxAnswersBytes {
			t.Errorf("%d answers: report and reply of %d bytes, at most %d are allowed", answers, size, maxAnswersBytes)
		}
	}
}
