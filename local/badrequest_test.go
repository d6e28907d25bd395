package local

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against rejections that a client can't interpret: each must have its HTTP status, its numeric result code, the
// header that tells whether the request ran, and the JSON error object that clients of the protocol expect.
func TestBadRequests(t *testing.T) {
	ctx, d := startSample(t, 1, fastEngine)
	valid := ChatBody("small", "hello", false)
	chat, release := "/v1/chat/completions", "/v1/services/lots/release"
	cases := []struct {
		method, path string
		body         []byte
		header       map[string]string
		code         result.Code
	}{
		{http.MethodPost, chat, []byte("{"), nil, result.BadRequest},
		{http.MethodPost, chat, []byte(`{"messages":[]}`), nil, result.BadRequest},
		{http.MethodPost, chat, []byte(`{"messages":[1],"max_tokens":-1}`), nil, result.BadRequest},
		{http.MethodPost, chat, []byte(`{"stream":true,"messages":[]}`), nil, result.BadRequest},
		{http.MethodPost, chat, []byte(`{"messages":["` + strings.Repeat("x", 40_000) + `"]}`), nil, result.BadRequest},
		{http.MethodPost, chat, ChatBody("unknown", "hello", true), nil, result.ModelNotAllowed},
		{http.MethodPost, chat, valid, map[string]string{"Authorization": "Bearer wrong"}, result.Unauthenticated},
		{http.MethodPost, chat, valid, map[string]string{identify.HeaderDeadline: "soon"}, result.BadRequest},
		{http.MethodPost, chat, valid, map[string]string{identify.HeaderSession: "bt1.forged"}, result.BadSession},
		{http.MethodPost, chat, valid, map[string]string{identify.HeaderRepeatable: "no"}, result.KeyRequired},
		{http.MethodPost, release, []byte("lot"), nil, result.KeyRequired},
		{http.MethodPost, "/v1/services/unknown/x", nil, nil, result.UnknownService},
	}
	for _, c := range cases {
		a, err := sampleClient(d, 0).Call(ctx, c.method, c.path, c.body, c.header)
		if err != nil {
			t.Fatal(err)
		}
		var body struct {
			Error struct{ Message, Type, Code string }
		}
		if err := json.Unmarshal([]byte(a.Text), &body); err != nil {
			t.Errorf("%s %.40s: body %q: %v", c.path, c.body, a.Text, err)
		}
		info := c.code.Info()
		if a.Status != info.Status || a.Header.Get(relay.HeaderCode) != strconv.Itoa(int(c.code)) || a.Header.Get(relay.HeaderRan) != "no" ||
			body.Error.Code != info.Name || body.Error.Type != info.Type || body.Error.Message == "" {
			t.Errorf("%s %.40s: status %d, code %s, ran %q, error %+v; want %d %s", c.path, c.body, a.Status,
				a.Header.Get(relay.HeaderCode), a.Header.Get(relay.HeaderRan), body.Error, int(c.code), info.Name)
		}
	}
	for _, e := range d.Engines {
		if n := len(e.Runs()); n > 0 {
			t.Errorf("an engine ran %d invalid requests; want 0", n)
		}
	}
	drainAll(ctx, t, d)
}
