package notice

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a message that does not arrive at each of the other daemons, or at its sender.
func TestSend(t *testing.T) {
	got := make(chan Message, 10)
	own := make(chan Message, 10)
	sender, err := Listen("127.0.0.1:0", func(m Message) { own <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	peers := []Peer{{"none", "a", "no address"}, {"self", "a", sender.Addr()}}
	for _, domain := range []string{"a", "b"} {
		x, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		peers = append(peers, Peer{domain + "1", domain, x.Addr()})
	}
	sender.SetPeers(peers)
	want := Message{Service: "s", Order: 7, Session: 1 << 63, For: 5 * time.Second}
	if err := errors.Join(sender.SendIn("a", want), sender.SendIn("b", want)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if m := <-got; !reflect.DeepEqual(m, want) {
			t.Errorf("got %+v", m)
		}
	}
	if err := errors.Join(sender.SendIn("c", want), sender.SendIn("b", Message{Service: "b"})); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Service != "b" {
		t.Errorf("got %+v", m)
	}
	if len(own) > 0 {
		t.Error("the sender got its own message")
	}
}

// Guards against changes of the store that are believed from an address that is no daemon's.
func TestChangesOfStrangers(t *testing.T) {
	got := make(chan Message, 10)
	receiver, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	var senders []*Exchange // the first one is a stranger
	for range 2 {
		x, err := Listen("127.0.0.1:0", func(Message) {})
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		x.SetPeers([]Peer{{"r", "a", receiver.Addr()}})
		senders = append(senders, x)
	}
	receiver.SetPeers([]Peer{{"s", "a", senders[1].Addr()}})
	for i, x := range senders {
		if err := x.SendIn("a", Message{Revision: 9, After: 8, Changes: []Change{{Key: "k", Value: []byte{byte(i)}, Revision: 9}}}); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-got; m.Revision != 9 || len(m.Changes) != 1 || m.Changes[0].Value[0] != 1 {
		t.Errorf("got %+v", m)
	}
}

// Guards against messages between failure domains that grow with the number of daemons (nac-hulling-large: 84 MB in 34 s).
func TestFewMessagesCrossADomainsBorder(t *testing.T) {
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
					t.Errorf("%s is not asked to pass the message on", name)
				}
				got <- name
			})
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			x.SetPeers([]Peer{{"s", "a", sender.Addr()}})
			peers = append(peers, Peer{name, domain, x.Addr()})
		}
	}
	slices.Reverse(peers) // the order of the list does not matter
	sender.SetPeers(peers)
	if err := sender.SendBeyond("a", Message{Service: "s"}); err != nil {
		t.Fatal(err)
	}
	var names []string
	for range 2 * Relays {
		names = append(names, <-got)
	}
	slices.Sort(names)
	if want := []string{"b00", "b01", "c00", "c01"}; !slices.Equal(names, want) || len(got) > 0 {
		t.Errorf("%v got the message and %d more, want %v", names, len(got), want)
	}
}

// Guards against a stranger whose message the daemons multiply.
func TestStrangersMessageIsNotPassedOn(t *testing.T) {
	got := make(chan Message, 10)
	receiver, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	stranger, err := Listen("127.0.0.1:0", func(Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.SetPeers([]Peer{{"r", "a", receiver.Addr()}})
	if err := errors.Join(stranger.SendBeyond("b", Message{Service: "relayed"}), stranger.SendIn("a", Message{Service: "plain"})); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Service != "plain" {
		t.Errorf("got %+v", m)
	}
}

// Guards against messages that are lost, doubled or out of order when they are sent together, and against a batch that does not fit
// in a datagram.
func TestMessagesAreSentTogether(t *testing.T) {
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
	sender.SetPeers([]Peer{{"r", "a", receiver.Addr()}})
	receiver.SetPeers([]Peer{{"s", "a", sender.Addr()}})
	for i := range messages {
		if err := sender.SendSoon("a", Message{Service: "service", Session: uint64(i + 1), From: "a daemon with a name of some length"}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range messages {
		if m := <-got; m.Session != uint64(i+1) {
			t.Fatalf("message %d arrived as number %d", m.Session, i+1)
		}
	}
}

// FuzzDecode guards against a panic on datagrams of others, and against what only other daemons may say.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 's', 0xa1, 'x'})
	for _, m := range []Message{{Service: "s", Relay: true}, {Revision: 2, After: 1}, {Batch: []Message{{Service: "s"}, {Service: "s", Relay: true}, {Batch: []Message{{Service: "s"}}}}}} {
		data, err := msgpack.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, peer := range []bool{true, false} {
			for _, m := range decode(data, peer) {
				if m.Service == "" && m.Revision == 0 && len(m.Estimates) == 0 || len(m.Batch) > 0 || !peer && (m.Revision > 0 || m.Relay || len(m.Estimates) > 0) {
					t.Errorf("peer %v: %+v", peer, m)
				}
			}
		}
	})
}
