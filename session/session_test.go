package session

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// Guards against tokens that callers forge, extend or cut.
func TestForgedTokens(t *testing.T) {
	s := NewSigner([]byte("0123456789abcdef"))
	want := Token{ID: "s-1", Team: "team", Issued: time.Unix(1000, 0).UTC(), Versions: []string{"small-1"}, Cache: &Cache{Endpoint: 1<<63 + 1, Tokens: 5}}
	value, err := s.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := s.Parse(value); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("token %+v, %v; want %+v", got, err, want)
	}
	payload, sig, _ := strings.Cut(strings.TrimPrefix(value, tokenPrefix), ".")
	other, err := NewSigner([]byte("another key 0000")).Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{other, tokenPrefix + payload, tokenPrefix + payload + ".", tokenPrefix + payload + "A." + sig, value + "A", tokenPrefix + strings.Repeat("A", maxTokenBytes), strings.Repeat("x", maxIDBytes+1)} {
		if _, err := s.Parse(bad); err == nil {
			t.Errorf("token %q is accepted", bad)
		}
	}
}

// FuzzParse guards against a panic, or an accepted token that the signer did not issue. Blanks around a value do not
// belong to it, as in any HTTP header.
func FuzzParse(f *testing.F) {
	s := NewSigner([]byte("0123456789abcdef"))
	f.Add("bt1.e30.AAAA")
	f.Add("my session")
	f.Fuzz(func(t *testing.T, value string) {
		tok, err := s.Parse(value)
		if err == nil && tok.ID != strings.TrimSpace(value) {
			t.Errorf("%q is accepted as %+v", value, tok)
		}
	})
}

// Guards against a share that reaches more or fewer sessions than declared.
func TestPointIsUniform(t *testing.T) {
	const n = 100_000
	below := 0
	for i := range n {
		p := Point(strings.Repeat("x", i%7) + time.Duration(i).String())
		if p < 0 || p >= 1 {
			t.Fatalf("point %g", p)
		}
		if p < 0.1 {
			below++
		}
	}
	if below < 9600 || below > 10_400 { // four standard deviations of a binomial count
		t.Errorf("%d of %d sessions are below 0.1", below, n)
	}
}
