package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Guards against a team whose requests fail everywhere and that uses up the retries of the others: the retry budget of a service is one for
// all teams.
func TestOneTeamLeavesRetriesToOthers(t *testing.T) {
	f, in := routedFilter(t, routerFunc(func(context.Context, string, *engine.RoutedRequest) (*engine.RoutedResponse, error) {
		return &engine.RoutedResponse{Status: http.StatusInternalServerError, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1}, nil
	}))
	// send reports whether the failure of a request's first attempt could be retried. All attempts fail.
	send := func(team string) (retried bool) {
		in := in
		in.Team = team
		x := f.NewExchange(context.Background(), in)
		for {
			answer, err := x.Do("m", 0)
			if err != nil {
				return retried
			}
			if !answer.Retry() {
				answer.CountRun()
				answer.Close()
				return retried
			}
			retried = true
		}
	}
	const others, crowd = 20, 2000
	for range others {
		send("others")
	}
	for range crowd {
		send("crowd")
	}
	retried := 0
	for range others {
		if send("others") {
			retried++
		}
		for range 10 {
			send("crowd")
		}
	}
	if retried < others {
		t.Errorf("beside a team whose requests all fail, %d of %d failed requests of another team are retried; without it all are", retried, others)
	}
}
