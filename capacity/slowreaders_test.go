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

// slowReaders enables TestSlowReaders, which runs in real time and is left out of CI.
var slowReaders = flag.Duration("slow-readers", 0, "time for which TestSlowReaders keeps stalled streams; 0 for not at all")

const (
	stalledStreams = 400
	stalledTokens  = 4000
	// Limits of the target: bytes held by a stalled stream, and ratio of the 99th percentiles of fast requests with and without
	// stalled streams at the same daemon.
	maxStalledBytes = 64 << 10
	maxFastRatio    = 1.1
	// maxGrowth is the fraction by which memory may grow while the number of stalled streams is constant.
	maxGrowth    = 0.05
	memoryPeriod = 5 * time.Second // between two memory samples
)

// openStalledStream sends a streaming chat request to addr and reads nothing from the connection, which the caller closes.
func openStalledStream(addr, prompt string) (net.Conn, error) {
	const receiveBuffer = 4 << 10 // bytes; by default the kernel buffers megabytes per connection
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"messages":%s}`, stalledTokens, local.MessagesJSON(prompt))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", local.SampleKey, len(body), body)
	return conn, err
}

// memory returns the bytes of live heap and goroutine stacks of a daemon after a garbage collection, and its resident bytes.
func (f *testFleet) memory(m *member) (liveBytes, residentBytes float64) {
	f.t.Helper()
	if _, err := httpGet(f.ctx, "http://"+m.operatorAddr+"/debug/pprof/heap?gc=1"); err != nil {
		f.t.Fatal(err)
	}
	values, err := readMetrics(f.ctx, m.operatorAddr)
	if err != nil {
		f.t.Fatal(err)
	}
	if residentBytes, err = m.residentBytes(); err != nil {
		f.t.Fatal(err)
	}
	return values["go_memstats_heap_alloc_bytes"] + values["go_memstats_stack_inuse_bytes"], residentBytes
}

// Guards against memory that grows while callers do not read their streams, and against stalled callers that delay fast ones.
// One of two daemons has the stalled streams. Fast requests alternate between both, so that both see the same load of the
// machine, and the growth of the other daemon's memory is subtracted.
func TestSlowReaders(t *testing.T) {
	if *slowReaders == 0 {
		t.Skip("runs in real time; needs -slow-readers")
	}
	f, _ := newLatencyFleet(t)
	f.start("entry-2", local.SampleDomainB)
	slow, reference := f.members[0], f.members[1]
	beforeSlow, residentBefore := f.memory(slow)
	beforeReference, _ := f.memory(reference)
	for i := range stalledStreams {
		conn, err := openStalledStream(slow.callerAddr, fmt.Sprintf("slow %d", i))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	f.wait("the engines stop generating", func() bool { return f.allStalled() })
	var samples []float64
	var with, without []time.Duration
	end := time.Now().Add(*slowReaders)
	for next := time.Now(); time.Now().Before(end); {
		if !time.Now().Before(next) {
			live, resident := f.memory(slow)
			other, _ := f.memory(reference)
			each := (live - beforeSlow - (other - beforeReference)) / stalledStreams
			samples = append(samples, each)
			t.Logf("per stream: %.0f B live, after subtracting %.0f B growth of the other daemon; %.0f B resident",
				each, other-beforeReference, (resident-residentBefore)/stalledStreams)
			next = next.Add(memoryPeriod)
		}
		for addr, times := range map[string]*[]time.Duration{slow.callerAddr: &with, reference.callerAddr: &without} {
			took, err := firstToken(f.ctx, addr, "small", 1)
			if err != nil {
				t.Fatal(err)
			}
			*times = append(*times, took)
		}
	}
	f.checkMemory(samples)
	ratio := float64(quantile(with, 0.99)) / float64(quantile(without, 0.99))
	t.Logf("99th percentile of %d fast requests: %v with stalled streams, %v without, ratio %.3f", len(with), quantile(with, 0.99), quantile(without, 0.99), ratio)
	if ratio > maxFastRatio {
		t.Errorf("stalled streams raise the 99th percentile to %.3f times its value without them, want at most %.1f times", ratio, maxFastRatio)
	}
}

// allStalled reports whether the engines have started all stalled streams and none is running any more.
func (f *testFleet) allStalled() bool {
	started, running := 0, 0
	for _, e := range f.Engines {
		started += len(e.Runs())
		running += e.Running()
	}
	return started >= stalledStreams && running == 0
}

// checkMemory checks samples of the bytes that a stalled stream holds against maxStalledBytes and maxGrowth. The samples vary
// from one garbage collection to the next, so it compares the means of the first and the last third.
func (f *testFleet) checkMemory(samples []float64) {
	f.t.Helper()
	if largest := slices.Max(samples); largest > maxStalledBytes {
		f.t.Errorf("a stalled stream holds %.0f bytes; want at most %d", largest, maxStalledBytes)
	}
	third := max(1, len(samples)/3)
	first, last := average(samples[:third]), average(samples[len(samples)-third:])
	f.t.Logf("mean memory per stream: %.0f B in the first third, %.0f B in the last", first, last)
	if last > first*(1+maxGrowth) {
		f.t.Errorf("memory per stalled stream grew from %.0f to %.0f bytes", first, last)
	}
}

func average(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
