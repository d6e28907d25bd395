package notice

import (
	"errors"
	"reflect"
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
	addrs := map[string]string{"no address": "a", sender.Addr(): "a"}
	for _, domain := range []string{"a", "b"} {
		x, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		addrs[x.Addr()] = domain
	}
	sender.SetPeers(addrs)
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
		x.SetPeers(map[string]string{receiver.Addr(): "a"})
		senders = append(senders, x)
	}
	receiver.SetPeers(map[string]string{senders[1].Addr(): "a"})
	for i, x := range senders {
		if err := x.Send(Message{Revision: 9, After: 8, Changes: []Change{{Key: "k", Value: []byte{byte(i)}, Revision: 9}}}); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-got; m.Revision != 9 || len(m.Changes) != 1 || m.Changes[0].Value[0] != 1 {
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
