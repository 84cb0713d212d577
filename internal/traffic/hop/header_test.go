package hop

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

func TestStripRemovesConnectionAndSystemHeaders(t *testing.T) {
	t.Parallel()
	h := http.Header{
		"Connection": {"close, X-Internal , Idempotency-Key"}, "X-Internal": {"1"}, "Keep-Alive": {"5"},
		"Te": {"trailers"}, "Trailer": {"X"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"websocket"},
		"Proxy-Authorization": {"x"}, "Proxy-Connection": {"x"}, "Content-Length": {"3"}, "Expect": {"100-continue"},
		"Banyanlug-Class": {"paying"}, "Banyanlug-Outcome": {"not-run"}, "Banyanlug-Anything": {"1"},
		"Idempotency-Key": {"k"}, "Accept": {"*/*"},
	}
	Strip(h)
	if diff := cmp.Diff(http.Header{"Idempotency-Key": {"k"}, "Accept": {"*/*"}}, h); diff != "" {
		t.Error(diff)
	}
}

func TestMetaRoundTripsAndInvalidFieldsAreRejected(t *testing.T) {
	t.Parallel()
	rt := snapshot.NewRoute("bind", "/bind", "binding", "bindings", snapshot.Idempotent())
	want := NewMeta(Remaining(1500*time.Millisecond), Attempt(2), Depth(3), ForOrganisation("harbour", snapshot.Paying), ForRoute(rt), TargetRate(52.25, true), FromOverloaded(), Level(3), ForBody(NewBuffered(make([]byte, ReplayBytes+1))))
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	if err := NewRequest("GET", "/", "a", http.Header{}, None{}, WithMeta(want)).writeHead(w, "", false); err != nil {
		t.Fatal(err)
	}
	_ = w.Flush()
	r, err := http.ReadRequest(bufio.NewReader(&b))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadMeta(r.Header)
	if err != nil || got != want {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
	complete := r.Header.Get(MetaHeader)
	// A level that is unknown here must not lead to a refusal nor to another order.
	if m, err := ReadMeta(http.Header{MetaHeader: {strings.Replace(complete, "s=3", "s=9", 1)}}); err != nil || m.Level() != 0 {
		t.Errorf("level %d, %v", m.Level(), err)
	}
	for _, text := range []string{
		"", "x", strings.Replace(complete, "ms=1500", "ms=0", 1), strings.Replace(complete, "n=2", "n=-1", 1),
		strings.Replace(complete, "d=3", "d=33", 1), strings.Replace(complete, "d=3", "", 1),
		strings.Replace(complete, "paying", "royal", 1), strings.Replace(complete, "o=harbour", "", 1),
		strings.Replace(complete, "p=bindings", "p=", 1), strings.Replace(complete, "x=any", "x=sometimes", 1),
	} {
		var bad *HeaderError
		if _, err := ReadMeta(http.Header{MetaHeader: {text}}); !errors.As(err, &bad) {
			t.Errorf("ReadMeta(%q): %v", text, err)
		}
	}
}

// Names and priorities that a platform assigns must reach the target's node unchanged, and
// add no field or header.
func TestMetaCarriesAnyNameAndPriority(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"a b", "a=b", "100%", "%41", "Ā\u2028\t", "a\r\nX: 1", strings.Repeat("n", 300)} {
		rt := snapshot.NewRoute(name, "/bind", name, name, snapshot.Priority(1_000_000))
		want := NewMeta(Remaining(maxRemaining), ForOrganisation(name, snapshot.Trial), ForRoute(rt), ToInstance(name), FromOrigin(name), Priority(1_000_000_000_000))
		var b bytes.Buffer
		w := bufio.NewWriter(&b)
		want.write(w)
		_ = w.Flush()
		text := strings.TrimSuffix(strings.TrimPrefix(b.String(), MetaHeader+": "), "\r\n")
		got, err := ReadMeta(http.Header{MetaHeader: {text}})
		if err != nil || got != want || strings.ContainsAny(text, "\r\n") {
			t.Errorf("%q becomes %+v, %v", text, got, err)
		}
	}
}

// A caller that would wait longer than any call lasts must not be refused.
func TestCallersDeadlineIsLimited(t *testing.T) {
	t.Parallel()
	names := NewHeaderNames()
	for text, want := range map[string]time.Duration{
		"1": time.Millisecond, "7200000": 2 * time.Hour, "9223372036854775807": maxRemaining, "99999999999999999999": maxRemaining,
		"0": 0, "-1": 0, "-99999999999999999999": 0, "1.5": 0, "soon": 0,
	} {
		got, ok, err := names.Deadline(http.Header{DeadlineHeader: {text}})
		if got != want || ok != (want > 0) || (err == nil) != ok {
			t.Errorf("%q is %v, %v, %v", text, got, ok, err)
		}
	}
}

// A changed value, or one sealed with another fleet's key, must not open as another
// context.
func TestOpenRejectsChangedAndForeignSeals(t *testing.T) {
	t.Parallel()
	s := NewSealer("key")
	p := NewParent(NewMeta(ForOrganisation("harbour", snapshot.Trial), Depth(4), Attempt(3)), time.UnixMilli(1_800_000_000_000))
	sealed := s.Seal(p)
	got, err := s.Open(sealed)
	if err != nil || got != p {
		t.Errorf("%+v, %v, want %+v", got, err, p)
	}
	for i := range sealed {
		b := []byte(sealed)
		b[i] ^= 1
		if got, err := s.Open(string(b)); err == nil && got != p {
			t.Errorf("with byte %d changed, it opens as %+v", i, got)
		}
	}
	for _, other := range []string{"", "x", sealed[1:], sealed + "AAAA", NewSealer("other").Seal(p)} {
		if _, err := s.Open(other); err == nil {
			t.Errorf("the invalid value %q opens", other)
		}
	}
}

func TestTokensOfTheCurrentAndOlderKeysVerify(t *testing.T) {
	t.Parallel()
	c := NewCredential("new", "old")
	for token, want := range map[string]bool{
		NewCredential("new").token: true, NewCredential("old").token: true,
		NewCredential("other").token: false, "new": false, "": false,
	} {
		if got := c.Verify(token); got != want {
			t.Errorf("Verify(%q) = %v", token, got)
		}
	}
}
