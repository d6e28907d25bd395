package notice

import (
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/usage"
)

// sampleMessages has a message of each kind.
var sampleMessages = [kinds]Message{
	KindPhase:     {Service: "s", Order: kv.Revision{Number: 1}, Phase: "promoted"},
	KindChanges:   {From: "d", Revision: kv.Revision{Number: 2}, After: kv.Revision{Number: 1}, Changes: []Change{{Key: "servers/i-0123456789", Value: make([]byte, 200), Revision: kv.Revision{Number: 2}}}},
	KindSession:   {Service: "s", Order: kv.Revision{Number: 1}, Session: 1, InUseFor: time.Second},
	KindSuspect:   {From: "d", Suspect: true, Crashes: []poison.Record{{Fingerprint: 1, Crash: "i/1"}}},
	KindCrash:     {From: "d", Crashes: []poison.Record{{Fingerprint: 1, Crash: "i/1"}}},
	KindEvidence:  {From: "d", Service: "s", Order: kv.Revision{Number: 1}, Evidence: make([]byte, 500)},
	KindDuty:      {Duty: &Duty{From: "d", Usage: []usage.Window{{Number: 1, Counts: map[string]int{"team": 1}, Total: 1}}}},
	KindClear:     {From: "d", Minor: true, Crashes: []poison.Record{{Sound: true, Parts: []uint64{1}}}},
	KindIdle:      {Service: "s", Order: kv.Revision{Number: 1}, Session: 1, InUseFor: time.Second, Minor: true},
	KindEstimates: {From: "d", Estimates: []pool.Estimate{{Service: "s"}}},
	KindPrompt:    {Service: "s", Endpoint: "i", Work: time.Second},
}

// manyPeers returns daemons in failure domains.
func manyPeers(domains, each int, linkBytes int64) []Peer {
	var list []Peer
	for i := range domains * each {
		list = append(list, Peer{fmt.Sprintf("d%03d", i), fmt.Sprint(i % domains), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), linkBytes})
	}
	return list
}

// recorder is a connection that records what is sent.
type recorder struct {
	closed chan struct{}
	sizes  []int
}

func (r *recorder) ReadFromUDP([]byte) (int, *net.UDPAddr, error) {
	<-r.closed
	return 0, nil, net.ErrClosed
}

func (r *recorder) WriteToUDP(b []byte, _ *net.UDPAddr) (int, error) {
	r.sizes = append(r.sizes, len(b)+headerBytes)
	return len(b), nil
}

func (r *recorder) LocalAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(10, 9, 9, 9), Port: 1} }

func (r *recorder) Close() error { close(r.closed); return nil }

// Guards against kinds that are not told apart, so that they share a bound.
func TestKindOfMessages(t *testing.T) {
	for _, k := range Kinds() {
		m := sampleMessages[k]
		if m.Kind() != k || !m.valid() {
			t.Errorf("%v is of kind %v, valid %t", k, m.Kind(), m.valid())
		}
	}
}

// Guards against messages whose bytes grow with the daemons, requests or changes until they fill the link of a daemon or, added up, of
// those that receive them.
func TestBytesAreBounded(t *testing.T) {
	const span, pause = 5 * time.Second, 5 * time.Millisecond
	for _, daemons := range []int{1, 14, 60} { // of each of five failure domains
		for kind := range Kind(kinds) + 1 { // the last one stands for all together
			synctest.Test(t, func(t *testing.T) {
				conn := &recorder{closed: make(chan struct{})}
				bytes, dropped := map[Kind]int{}, 0
				x := New(conn, Spec{Handle: func(Message) {}, Domain: "0", LinkBytes: slowestLink,
					OnSend: func(k Kind, n int) { bytes[k] += n + headerBytes }, OnDrop: func(_ Kind, copies int) { dropped += copies }})
				x.SetPeers(manyPeers(5, daemons, slowestLink))
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pause) {
					for _, k := range Kinds() {
						if kind == k || kind == kinds {
							for range 8 {
								_ = x.SendAll("0", sampleMessages[k])
							}
						}
					}
				}
				x.Close() // nothing is sent from here on
				seconds, sum := (span + burst).Seconds(), 0
				for k, n := range bytes {
					sum += n
					if limit := bounds[k].share*slowestLink*seconds + MaxMessageBytes + burst.Seconds()*slowestLink; float64(n) > limit {
						t.Errorf("%d daemons: %d bytes of %v in %v, the limit is %.0f", daemons, n, k, span, limit)
					}
				}
				if limit := totalShare*slowestLink*seconds + MaxMessageBytes + burst.Seconds()*slowestLink; sum == 0 || float64(sum) > limit || daemons > 1 && dropped == 0 {
					t.Errorf("%d daemons: %d bytes in %v, the limit is %.0f; %d dropped", daemons, sum, span, limit, dropped)
				}
			})
		}
	}
}

// Guards against phases of a release and changes of the store that wait behind messages of less importance.
func TestImportantMessagesAreSentFirst(t *testing.T) {
	var o outbox
	now := time.Now()
	o.setBase(slowestLink, now)
	to := newPeers(manyPeers(1, 60, slowestLink), "").in("0")
	order := []Kind{KindPrompt, KindEstimates, KindIdle, KindClear, KindDuty, KindEvidence, KindCrash, KindSuspect, KindSession, KindChanges, KindPhase}
	for range 20 {
		for _, k := range order {
			o.add(sampleMessages[k], make([]byte, 100), to, now)
		}
	}
	sent := map[Kind]int{}
	for d, ok, wait := o.next(now); ok || wait > 0; d, ok, wait = o.next(now) {
		if !ok {
			now = now.Add(wait)
			continue
		}
		sent[d.kind]++
		for earlier := range d.kind {
			if k := &o.kinds[earlier]; len(k.queue) > 0 && k.wait(now) == 0 {
				t.Fatalf("%v is sent while %v waits", d.kind, earlier)
			}
		}
	}
	for _, k := range Kinds() {
		if want := 20 * len(to); sent[k] != want {
			t.Errorf("%d datagrams of %v, want %d", sent[k], k, want)
		}
	}
}

// Guards against times in messages that do not count while these wait, so that a poll is deferred for too long or a crash looks later.
func TestTimesCountWhileMessagesWait(t *testing.T) {
	var o outbox
	start := time.Now()
	o.setBase(slowestLink, start)
	to := newPeers(manyPeers(1, 2, 0), "").in("0")
	wait := 300 * time.Millisecond
	for kind, m := range map[Kind]Message{
		KindChanges: {Revision: kv.Revision{Number: 2}, After: kv.Revision{Number: 1}, Age: time.Second},
		KindCrash:   {From: "d", Crashes: []poison.Record{{Fingerprint: 1, Crash: "i/1", Ago: time.Second}}},
		KindDuty:    {Duty: &Duty{From: "d", Waited: time.Second}},
	} {
		data, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		o.add(m, data, to[:1], start)
		d, ok, _ := o.next(start.Add(wait))
		list := decode(d.data, true)
		if !ok || len(list) != 1 {
			t.Fatalf("%v: %v", kind, list)
		}
		got := list[0].Age
		switch kind {
		case KindCrash:
			got = list[0].Crashes[0].Ago
		case KindDuty:
			got = list[0].Duty.Waited
		}
		if got != time.Second+wait {
			t.Errorf("%v: %v after %v, want %v", kind, got, wait, time.Second+wait)
		}
	}
}

// Guards against a message that waits for the bound of another kind, and against times of relayed messages that go below zero.
func TestMessageWaitsForItsOwnBoundOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := map[Kind]int{}
		conn := &recorder{closed: make(chan struct{})}
		x := New(conn, Spec{Handle: func(Message) {}, Domain: "0", LinkBytes: slowestLink, OnSend: func(k Kind, _ int) { sent[k]++ }})
		defer x.Close()
		x.SetPeers(manyPeers(1, 40, slowestLink))
		for range 400 {
			_ = x.SendToDomain("0", sampleMessages[KindPrompt])
		}
		time.Sleep(90 * time.Millisecond)
		phase := sampleMessages[KindPhase]
		phase.Age = time.Millisecond
		if err := x.SendBatched("0", phase); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if err := x.SendBatched("0", phase); err != nil {
			t.Fatal(err)
		}
		time.Sleep(batchDelay)
		synctest.Wait()
		if sent[KindPhase] != 40 {
			t.Errorf("%d datagrams of a phase, want 40", sent[KindPhase])
		}
		if data, err := encode(phase.delayed(time.Second)); err != nil || len(decode(data, true)) != 1 {
			t.Errorf("delayed message is not valid: %v", err)
		}
	})
}

// Guards against relays that are always the same daemons, whatever their links bear.
func TestRelaysAreDrawnByBandwidth(t *testing.T) {
	peers := manyPeers(2, 10, slowestLink)
	for i := range peers {
		if i/2 == 3 {
			peers[i].LinkBytes = 20 * slowestLink // one in each domain
		}
	}
	p, random := newPeers(peers, ""), mathrand.New(mathrand.NewPCG(1, 2))
	counts := map[string]int{}
	const rounds = 2000
	for range rounds {
		drawn := p.relays("0", random.Float64)
		if len(drawn) != RelaysPerDomain || drawn[0].String() == drawn[1].String() {
			t.Fatalf("relays %v", drawn)
		}
		for _, a := range drawn {
			counts[a.String()]++
		}
	}
	if len(counts) != 10 {
		t.Errorf("%d daemons relay, want all 10 of the other domain", len(counts))
	}
	for addr, n := range counts {
		fast := addr == peers[7].Addr
		if fast && n < rounds*9/10 || !fast && (n < rounds/30 || n > rounds/5) {
			t.Errorf("%s relays %d of %d messages, fast %t", addr, n, rounds, fast)
		}
	}
}
