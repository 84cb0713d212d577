package poison

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestCrashSurvivesEncodingAndParsing(t *testing.T) {
	t.Parallel()
	calls := []Call{NewCall(Description{Organisation: "a", Path: "/x"}), NewCall(Description{Organisation: "a", Path: "/y"})}
	marks := []Fingerprint{Description{Path: "/x"}.Mark()}
	for _, c := range []Crash{{}, {InFlight: calls}, {Marks: marks}, {InFlight: calls, Marks: marks}} {
		want := Crash{
			Process: Process{Instance: "i-1", Boot: 7}, At: time.UnixMilli(1_800_000_000_123), InFlight: c.InFlight, Marks: c.Marks,
		}
		got, ok := ParseCrash(want.String())
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(Fingerprint{})); !ok || diff != "" {
			t.Error(ok, diff)
		}
	}
}

// Guards against a malformed report that causes calls to be held back.
func TestMalformedCrashReportsAreRejected(t *testing.T) {
	t.Parallel()
	const callBytes = 2 * fingerprintBytes
	for _, text := range []string{
		"i-1/7/5//zz", "i-1/7/5//00", "i-1/7/5///", "i-1/7/5//" + strings.Repeat("00", fingerprintBytes*(maxReportedCalls+1)),
		"", "i-1", "i-1/7", "/7/", "i-1/x/", "i-1/7/zz", "i-1/7/00", "i-1/7/5/zz", "i-1/7/x/", "i-1/7/5/00", "i-1/x/5/", "/7/5/", "i-1/7/5/" + strings.Repeat("00", 16), "i-1/7/5/" + strings.Repeat("00", callBytes*(maxReportedCalls+1)),
	} {
		if c, ok := ParseCrash(text); ok {
			t.Errorf("%q is parsed as %v", text, c)
		}
	}
}

// Guards against a body that is known under another digest where it is streamed, and against a
// digest that is lost on the way between nodes.
func TestDigestsOfStreamedBodiesAreThoseOfBodiesInMemory(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, 16, 17, 240, 241, 1024, 1025, 100_000} {
		body := []byte(strings.Repeat("0123456789", size/10+1))[:size]
		var h BodyHash
		for rest := body; len(rest) > 0; rest = rest[min(len(rest), 7):] {
			_, _ = h.Write(rest[:min(len(rest), 7)])
		}
		if h.Digest() != Digest(body) {
			t.Errorf("%d bytes: the digests differ", size)
		}
		if f, ok := ParseFingerprint(Digest(body).Text()); !ok || f != Digest(body) {
			t.Errorf("%d bytes: %s is parsed as %v", size, Digest(body).Text(), f)
		}
	}
	for _, text := range []string{"", "0", strings.Repeat("0", 31), strings.Repeat("g", 32), strings.Repeat("0", 33)} {
		if _, ok := ParseFingerprint(text); ok {
			t.Errorf("%q is parsed", text)
		}
	}
}
