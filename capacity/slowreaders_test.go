package capacity

import (
	"flag"
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
)

// slowReaders turns on a run of real time, which CI leaves out.
var slowReaders = flag.Duration("slow-readers", 0, "time for which TestSlowReaders keeps stalled streams; 0 for not at all")

const (
	stalledStreams = 400
	stalledTokens  = 4000
	// Bounds of the target for a stalled stream and for the 99th percentile of fast callers beside slow ones.
	maxStalledBytes = 64 << 10
	maxFastRatio    = 1.1
	// maxGrowth is the part by which memory may grow while the number of stalled streams stays the same.
	maxGrowth    = 0.05
	memoryPeriod = 5 * time.Second
)

// stall opens a stream and reads nothing.
func stall(addr, prompt string) (net.Conn, error) {
	const receiveBuffer = 4 << 10 // bytes; otherwise the system holds megabytes for a caller
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"messages":%s}`, stalledTokens, local.Messages(prompt))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", local.SampleKey, len(body), body)
	return conn, err
}

// live returns the bytes of live heap and of goroutine stacks of a daemon after a collection, and its resident memory.
func (f *testFleet) live(m *member) (live, resident float64) {
	f.t.Helper()
	if _, err := get(f.ctx, "http://"+m.operator+"/debug/pprof/heap?gc=1"); err != nil {
		f.t.Fatal(err)
	}
	values, err := metrics(f.ctx, m.operator)
	if err != nil {
		f.t.Fatal(err)
	}
	if resident, err = m.resident(); err != nil {
		f.t.Fatal(err)
	}
	return values["go_memstats_heap_alloc_bytes"] + values["go_memstats_stack_inuse_bytes"], resident
}

// Guards against memory that grows while callers read nothing, and against slow callers that delay fast ones. One of two
// daemons has stalled streams; fast requests go to both in turn, so that both meet the same load of the machine, and what
// the other daemon's memory grows by is not counted for the streams.
func TestSlowReaders(t *testing.T) {
	if *slowReaders == 0 {
		t.Skip("runs in real time; needs -slow-readers")
	}
	f, _ := latencyFleet(t)
	f.start("entry-2", local.SampleDomainB)
	slow, quiet := f.members[0], f.members[1]
	beforeSlow, residentBefore := f.live(slow)
	beforeQuiet, _ := f.live(quiet)
	for i := range stalledStreams {
		conn, err := stall(slow.caller, fmt.Sprintf("slow %d", i))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	f.wait("the engines stop generating", func() bool { return f.stalled() })
	var samples []float64
	var with, without []time.Duration
	end := time.Now().Add(*slowReaders)
	for next := time.Now(); time.Now().Before(end); {
		if !time.Now().Before(next) {
			live, resident := f.live(slow)
			other, _ := f.live(quiet)
			each := (live - beforeSlow - (other - beforeQuiet)) / stalledStreams
			samples = append(samples, each)
			t.Logf("%.0f B live a stream, without the growth of the other daemon by %.0f B; %.0f B resident a stream",
				each, other-beforeQuiet, (resident-residentBefore)/stalledStreams)
			next = next.Add(memoryPeriod)
		}
		for addr, times := range map[string]*[]time.Duration{slow.caller: &with, quiet.caller: &without} {
			took, err := firstToken(f.ctx, addr, "small", 1)
			if err != nil {
				t.Fatal(err)
			}
			*times = append(*times, took)
		}
	}
	f.checkMemory(samples)
	ratio := float64(quantile(with, 0.99)) / float64(quantile(without, 0.99))
	t.Logf("99th percentile of %d fast requests: %v beside stalled streams, %v without, ratio %.3f", len(with), quantile(with, 0.99), quantile(without, 0.99), ratio)
	if ratio > maxFastRatio {
		t.Errorf("stalled streams raise the 99th percentile by %.3f; the bound is %.1f", ratio, maxFastRatio)
	}
}

// stalled reports whether all stalled streams were started and gave up their endpoints.
func (f *testFleet) stalled() bool {
	started, running := 0, 0
	for _, e := range f.Engines {
		started += len(e.Runs())
		running += e.Running()
	}
	return started >= stalledStreams && running == 0
}

// checkMemory checks the bytes that a stalled stream holds. The figures vary from collection to collection, so that the
// mean of the last third is compared with that of the first.
func (f *testFleet) checkMemory(samples []float64) {
	f.t.Helper()
	if largest := slices.Max(samples); largest > maxStalledBytes {
		f.t.Errorf("a stalled stream holds %.0f bytes; want at most %d", largest, maxStalledBytes)
	}
	third := max(1, len(samples)/3)
	first, last := meanOf(samples[:third]), meanOf(samples[len(samples)-third:])
	f.t.Logf("%.0f B a stream in the first third, %.0f B in the last", first, last)
	if last > first*(1+maxGrowth) {
		f.t.Errorf("memory grew from %.0f to %.0f bytes a stream", first, last)
	}
}

func meanOf(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
