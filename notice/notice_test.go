package notice

import (
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
	addrs := []string{"no address", sender.Addr()}
	for range 2 {
		x, err := Listen("127.0.0.1:0", func(m Message) { got <- m })
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		addrs = append(addrs, x.Addr())
	}
	sender.SetPeers(addrs)
	want := Message{Service: "s", Order: 7, Session: 1 << 63, For: 5 * time.Second}
	if err := sender.Send(want); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if m := <-got; m != want {
			t.Errorf("got %+v", m)
		}
	}
	if len(own) > 0 {
		t.Error("the sender got its own message")
	}
}

// FuzzDecode guards against a panic on datagrams of others.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 's', 0xa1, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := decode(data); ok && m.Service == "" {
			t.Errorf("%+v", m)
		}
	})
}
