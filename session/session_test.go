package session

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// Guards against the acceptance of tokens that are forged, extended, truncated or too long.
func TestForgedTokens(t *testing.T) {
	s := NewSigner([]byte("0123456789abcdef"))
	want := Token{ID: "s-1", Team: "team", Issued: time.Unix(1000, 0).UTC(), Versions: []string{"small-1"}, Cache: &CacheLocation{Endpoint: 1<<63 + 1, Tokens: 5}}
	value, err := s.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := s.Parse(value); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed token %+v, error %v; want %+v", got, err, want)
	}
	payload, sig, _ := strings.Cut(strings.TrimPrefix(value, tokenPrefix), ".")
	other, err := NewSigner([]byte("another key 0000")).Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{other, tokenPrefix + payload, tokenPrefix + payload + ".", tokenPrefix + payload + "A." + sig, value + "A", tokenPrefix + strings.Repeat("A", maxTokenBytes), strings.Repeat("x", maxIDBytes+1)} {
		if _, err := s.Parse(bad); err == nil {
			t.Errorf("invalid token %q was accepted", bad)
		}
	}
}

// Guards against a panic, and against an accepted token that the signer did not issue. Spaces around a value are not part
// of it, as in any HTTP header.
func FuzzParse(f *testing.F) {
	s := NewSigner([]byte("0123456789abcdef"))
	f.Add("bt1.e30.AAAA")
	f.Add("my session")
	f.Fuzz(func(t *testing.T, value string) {
		tok, err := s.Parse(value)
		if err == nil && tok.ID != strings.TrimSpace(value) {
			t.Errorf("%q was accepted as %+v", value, tok)
		}
	})
}

// Guards against a share that reaches more or fewer sessions than declared.
func TestUnitHashIsUniform(t *testing.T) {
	const n = 100_000
	below := 0
	for i := range n {
		h := UnitHash(strings.Repeat("x", i%7) + time.Duration(i).String())
		if h < 0 || h >= 1 {
			t.Fatalf("hash %g is outside [0, 1)", h)
		}
		if h < 0.1 {
			below++
		}
	}
	if below < 9600 || below > 10_400 { // four standard deviations of a binomial count
		t.Errorf("the hashes of %d of %d sessions are below 0.1, want 10000±400", below, n)
	}
}
