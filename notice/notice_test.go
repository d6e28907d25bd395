package notice

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Guards against a message that misses one of the other daemons, or that is sent to its own sender.
func TestSend(t *testing.T) {
	got := make(chan Message, 10)
	own := make(chan Message, 10)
	sender, err := Listen("127.0.0.1:0", func(m Message) { own <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	peers := []Peer{{"none", "a", "no address", 0}, {"self", "a", sender.Addr(), 0}}
	for _, domain := range []string{"a", "b"} {
		x, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		peers = append(peers, Peer{domain + "1", domain, x.Addr(), 0})
	}
	sender.SetPeers(peers)
	want := Message{Service: "s", Order: kv.Revision{Number: 7}, Session: 1 << 63, InUseFor: 5 * time.Second}
	if err := errors.Join(sender.SendToDomain("a", want), sender.SendToDomain("b", want)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if m := <-got; !reflect.DeepEqual(m, want) {
			t.Errorf("got %+v", m)
		}
	}
	if err := errors.Join(sender.SendToDomain("c", want), sender.SendToDomain("b", Message{Service: "b"})); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Service != "b" {
		t.Errorf("got %+v", m)
	}
	if len(own) > 0 {
		t.Error("the sender received its own message")
	}
}

// Guards against store changes that are accepted from an address that is not a known daemon's.
func TestChangesOfStrangers(t *testing.T) {
	got := make(chan Message, 10)
	receiver, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	var senders []*Exchange // the first one is not a known peer
	for range 2 {
		x, err := Listen("127.0.0.1:0", func(Message) {})
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		x.SetPeers([]Peer{{"r", "a", receiver.Addr(), 0}})
		senders = append(senders, x)
	}
	receiver.SetPeers([]Peer{{"s", "a", senders[1].Addr(), 0}})
	for i, x := range senders {
		if err := x.SendToDomain("a", Message{Revision: kv.Revision{Number: 9}, After: kv.Revision{Number: 8}, Changes: []Change{{Key: "k", Value: []byte{byte(i)}, Revision: kv.Revision{Number: 9}}}}); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-got; m.Revision != (kv.Revision{Number: 9}) || len(m.Changes) != 1 || m.Changes[0].Value[0] != 1 {
		t.Errorf("got %+v", m)
	}
}

// Guards against traffic between failure domains that grows with the number of daemons. When each daemon was sent its own copy,
// 39 daemons in a domain caused 84 MB in 34 s.
func TestFewMessagesCrossDomains(t *testing.T) {
	const each = 39
	got := make(chan string, 5*each)
	sender, err := Listen("127.0.0.1:0", func(Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	var peers []Peer
	for _, domain := range []string{"a", "b", "c"} {
		for i := range each {
			name := fmt.Sprintf("%s%02d", domain, i)
			x, err := Listen("127.0.0.1:0", func(m Message) {
				if !m.Relay {
					t.Errorf("%s received a message without Relay", name)
				}
				got <- name
			})
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			x.SetPeers([]Peer{{"s", "a", sender.Addr(), 0}})
			peers = append(peers, Peer{name, domain, x.Addr(), 0})
		}
	}
	sender.SetPeers(peers)
	if err := sender.SendToOtherDomains("a", Message{Service: "s"}); err != nil {
		t.Fatal(err)
	}
	var names []string
	for range 2 * RelaysPerDomain {
		names = append(names, <-got)
	}
	slices.Sort(names)
	if names[0] == names[1] || names[1][0] != 'b' || names[2] == names[3] || names[2][0] != 'c' || len(got) > 0 {
		t.Errorf("received by %v and %d more, want two daemons of each other domain", names, len(got))
	}
}

// Guards against amplification: daemons must not relay a message from an address that is not a known daemon's.
func TestNonPeerMessageIsNotRelayed(t *testing.T) {
	got := make(chan Message, 10)
	receiver, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	nonPeer, err := Listen("127.0.0.1:0", func(Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer nonPeer.Close()
	nonPeer.SetPeers([]Peer{{"r", "a", receiver.Addr(), 0}})
	if err := errors.Join(nonPeer.SendToOtherDomains("b", Message{Service: "relayed"}), nonPeer.SendToDomain("a", Message{Service: "plain"})); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Service != "plain" {
		t.Errorf("got %+v", m)
	}
}

// Guards against messages that are lost, duplicated or reordered when they are sent as a batch, and against a batch that does not
// fit in a datagram.
func TestSendBatched(t *testing.T) {
	const messages = 500
	got := make(chan Message, 2*messages)
	receiver, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	sender, err := Listen("127.0.0.1:0", func(Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	sender.SetPeers([]Peer{{"r", "a", receiver.Addr(), 0}})
	receiver.SetPeers([]Peer{{"s", "a", sender.Addr(), 0}})
	for i := range messages {
		if err := sender.SendBatched("a", Message{Service: "service", Session: uint64(i + 1), From: "a daemon with a name of some length"}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range messages {
		if m := <-got; m.Session != uint64(i+1) {
			t.Fatalf("message %d was received as number %d", m.Session, i+1)
		}
	}
}

// FuzzDecode guards against a panic on arbitrary datagrams, and against accepting messages that only known daemons may send.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 's', 0xa1, 'x'})
	for _, m := range []Message{{Service: "s", Relay: true}, {Revision: kv.Revision{Number: 2}, After: kv.Revision{Number: 1}}, {Batch: []Message{{Service: "s"}, {Service: "s", Relay: true}, {Batch: []Message{{Service: "s"}}}}}} {
		data, err := msgpack.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, fromPeer := range []bool{true, false} {
			for _, m := range decode(data, fromPeer) {
				if m.Service == "" && m.Revision.IsZero() && len(m.Estimates) == 0 || len(m.Batch) > 0 || !fromPeer && (!m.Revision.IsZero() || m.Relay || len(m.Estimates) > 0) {
					t.Errorf("peer %v: %+v", fromPeer, m)
				}
			}
		}
	})
}

// Guards against a minimum that a stranger states, and against a new daemon whose question is not answered because it is a stranger.
func TestMinimumOfStrangers(t *testing.T) {
	got := make(chan Message, 10)
	answer := func(q Minimum) (Minimum, bool) {
		return Minimum{From: "old", Question: q.Question, Answered: true, Config: 5}, true
	}
	old, err := Open("127.0.0.1:0", Spec{Handle: func(Message) {}, AnswerMinimum: answer})
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	starting, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer starting.Close()
	stranger, err := Listen("127.0.0.1:0", func(Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	starting.SetPeers([]Peer{{"old", "a", old.Addr(), 0}})
	stranger.SetPeers([]Peer{{"starting", "a", starting.Addr(), 0}})
	if err := errors.Join(
		stranger.SendToPeer("starting", Message{Minimum: &Minimum{From: "old", Question: 7, Answered: true, Config: 9}}),
		starting.SendToPeer("old", Message{Minimum: &Minimum{From: "starting", Question: 7}}),
	); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Minimum == nil || m.Minimum.Config != 5 || m.Minimum.Question != 7 {
		t.Errorf("got %+v", m)
	}
}
