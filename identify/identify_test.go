package identify

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

const testKey = "key-1"

func testView(t *testing.T, limits object.TeamLimits) *config.View {
	t.Helper()
	second := object.Team{Name: "other", KeyHashes: []string{config.HashKey("key-2")}, Services: []string{"s"}, Share: 1,
		Limits: object.TeamLimits{RequestsPerSecond: 1, Burst: 1, Concurrent: 1, MaxTokens: 1}}
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "d", Region: "r", State: object.DomainIn}},
		Services: []object.Service{{Name: "s", Type: object.ServicePlain, FailureDomains: []string{"d"},
			Limits: object.EndpointLimits{Slots: 1, ColdSlots: 1}, Timeouts: object.Timeouts{FirstByte: 1, Progress: 1}}},
		Teams: []object.Team{{Name: "team", KeyHashes: []string{config.HashKey(testKey)}, Services: []string{"s"}, Priority: 5, Share: 1, Limits: limits}, second},
	}
	body, digest, err := declare.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	view, err := config.NewView(config.Revision{Number: 1, Digest: digest, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func header(pairs ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer " + testKey}}
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.OK
}

var ampleLimits = object.TeamLimits{RequestsPerSecond: 1000, Burst: 1000, Concurrent: 1000, MaxTokens: 100}

// Guards against invalid headers that are accepted, and against headers that give a caller another team's session or a
// priority above its own team's.
func TestHeaders(t *testing.T) {
	view := testView(t, ampleLimits)
	signer := session.NewSigner([]byte("0123456789abcdef"))
	otherTeamToken, err := signer.Encode(session.Token{ID: "x", Team: "other"})
	if err != nil {
		t.Fatal(err)
	}
	f := New(Spec{Signer: signer, Members: func() int { return 1 }})
	now := time.Unix(1000, 0)
	cases := []struct {
		header http.Header
		want   result.Code
	}{
		{header(), result.OK},
		{http.Header{}, result.Unauthenticated},
		{http.Header{"Authorization": {"Bearer wrong"}}, result.Unauthenticated},
		{http.Header{"Authorization": {"Basic " + testKey}}, result.Unauthenticated},
		{header(HeaderSession, "my-session"), result.OK},
		{header(HeaderSession, otherTeamToken), result.BadSession},
		{header(HeaderSession, otherTeamToken+"x"), result.BadSession},
		{header(HeaderRepeatable, "maybe"), result.BadRequest},
		{header(HeaderDeadline, "-1"), result.BadRequest},
		{header(HeaderDeadline, "soon"), result.BadRequest},
		{header(HeaderPriority, "10"), result.BadRequest},
		{header(HeaderIdempotencyKey, string(make([]byte, maxIdempotencyKeyBytes+1))), result.BadRequest},
	}
	for _, c := range cases {
		out, err := f.Do(view, c.header, now)
		if codeOf(err) != c.want {
			t.Errorf("%v: %v, want %v", c.header, err, c.want)
		}
		if out != nil {
			out.Release()
		}
	}
	out, err := f.Do(view, header(HeaderPriority, "9", HeaderDeadline, "250"), now)
	if err != nil || out.Priority != 5 || !out.Deadline.Equal(now.Add(250*time.Millisecond)) {
		t.Errorf("priority 9 of a team with 5, deadline in 250 ms: %+v, %v", out, err)
	}
}

// Guards against a deployment in which every daemon applies the whole of a team's limits, and against in-flight
// requests that are never released or released twice.
func TestLimitsAreShared(t *testing.T) {
	const daemons = 4
	view := testView(t, object.TeamLimits{RequestsPerSecond: 40, Burst: 8, Concurrent: 12, MaxTokens: 1})
	now := time.Unix(1000, 0)
	admitted := 0
	var held []*Output
	filters := make([]*Filter, daemons)
	for i := range filters {
		filters[i] = New(Spec{Signer: session.NewSigner(nil), Members: func() int { return daemons }})
	}
	tryAll := func() {
		for _, f := range filters {
			for range 20 {
				if out, err := f.Do(view, header(), now); err == nil {
					admitted++
					held = append(held, out)
				}
			}
		}
	}
	tryAll()
	if admitted != 8 {
		t.Errorf("%d requests admitted at once, the team's burst is 8", admitted)
	}
	now = now.Add(time.Second)
	tryAll()
	if admitted != 12 {
		t.Errorf("%d requests in flight, the team's limit is 12", admitted)
	}
	for _, o := range held {
		o.Release()
		o.Release()
	}
	now = now.Add(time.Second)
	admitted, held = 0, nil
	tryAll()
	if admitted != 8 {
		t.Errorf("%d requests admitted after all were released, want the burst of 8", admitted)
	}
}
