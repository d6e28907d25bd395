package local

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
)

// badEndpoint is an endpoint of the sample's small model whose responses on one path have an invalid status but are valid otherwise. It gets
// its responses from an engine.
type badEndpoint struct {
	path, status string
	engine       string // address
	asked        atomic.Int32
}

const badEndpointID = "bad"

// startBadEndpoint starts the endpoint and adds it to the host list.
func startBadEndpoint(t *testing.T, d *Deployment, path, status string) *badEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	b := &badEndpoint{path: path, status: status, engine: d.servers[SampleSmall+"-"+SampleDomainA].Addr}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	d.Platform.Hosts.Put(hostlist.Host{
		ID: badEndpointID, Role: hostlist.RoleEndpoint, Domain: SampleDomainA, State: hostlist.StateLive, Addr: ln.Addr().String(), Service: SampleLLM, Versions: []string{SampleSmall},
	})
	return b
}

// serve answers one request and closes the connection.
func (b *badEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	up, err := net.Dial("tcp", b.engine)
	if err != nil {
		return
	}
	defer up.Close()
	req.Close = true
	r := bufio.NewReader(up)
	if req.Write(up) != nil {
		return
	}
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	if req.URL.Path == b.path {
		line = "HTTP/1.1 " + b.status + " Status\r\n"
		b.asked.Add(1)
	}
	_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(line), r))
}

// state returns the state of the endpoint at the first daemon.
func (b *badEndpoint) state(d *Deployment) (pool.EndpointState, bool) {
	list := d.Daemons[0].State().Endpoints
	i := slices.IndexFunc(list, func(e pool.EndpointState) bool { return e.ID == badEndpointID })
	if i < 0 {
		return pool.EndpointState{}, false
	}
	return list[i], true
}

// Guards against a health check with an invalid status that counts as a load report, so that the endpoint gets requests.
func TestInvalidStatusOfLoadReport(t *testing.T) {
	for _, status := range []string{"000", "099", "+20"} {
		t.Run(status, func(t *testing.T) {
			ctx, d := startSample(t, 1, fastEngine)
			b := startBadEndpoint(t, d, "/v1/load", status)
			if err := Wait(ctx, func() bool {
				e, ok := b.state(d)
				return ok && b.asked.Load() >= 3 && (e.Failures > 0 || e.Boot != "")
			}); err != nil {
				t.Fatal(err)
			}
			if e, _ := b.state(d); e.Boot != "" || !e.Ejected {
				t.Errorf("the endpoint's state is %+v; want it ejected, without a load report", e)
			}
		})
	}
}

// Guards against a stream with an invalid status that is passed on or skipped.
func TestInvalidStatusOfStream(t *testing.T) {
	for _, status := range []string{"000", "099", "+20"} {
		t.Run(status, func(t *testing.T) {
			ctx, d := startSample(t, 1, fastEngine)
			b := startBadEndpoint(t, d, "/v1/chat/completions", status)
			if err := d.WaitEndpoints(ctx, 7); err != nil {
				t.Fatal(err)
			}
			failed := func() bool {
				e, ok := b.state(d)
				return ok && e.Failures > 0
			}
			n := 0
			for ; n < 200 && !failed(); n++ {
				prompt := fmt.Sprint("prompt ", n)
				a, err := sampleClient(d, 0).Chat(ctx, ChatBody("small", prompt, true), nil)
				if err != nil {
					t.Fatal(err)
				}
				checkAnswer(t, a, prompt, 24)
			}
			if b.asked.Load() == 0 || !failed() {
				t.Errorf("after %d requests, the endpoint got %d; no failure of it was counted: %t", n, b.asked.Load(), !failed())
			}
		})
	}
}
