package notice

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
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
	if err := sender.Send(want); err != nil {
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
		if err := x.Send(Message{Revision: 9, After: 8, Changes: []Change{{Key: "k", Value: []byte{byte(i)}, Revision: 9}}}); err != nil {
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
	if err := errors.Join(stranger.SendBeyond("b", Message{Service: "relayed"}), stranger.Send(Message{Service: "plain"})); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Service != "plain" {
		t.Errorf("got %+v", m)
	}
}

// FuzzDecode guards against a panic on datagrams of others.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 's', 0xa1, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := decode(data); ok && m.Service == "" && m.Revision == 0 {
			t.Errorf("%+v", m)
		}
	})
}
