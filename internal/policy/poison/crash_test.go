package poison

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestCrashSurvivesEncodingAndParsing(t *testing.T) {
	t.Parallel()
	want := Crash{
		Process: Process{Instance: "i-1", Boot: 7}, At: time.UnixMilli(1_800_000_000_123),
		InFlight: []Call{
			NewCall(Description{Organisation: "a", Path: "/x"}), NewCall(Description{Organisation: "a", Path: "/y"}),
		},
	}
	got, ok := ParseCrash(want.String())
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(Fingerprint{})); !ok || diff != "" {
		t.Error(ok, diff)
	}
}

// Guards against a malformed report that causes calls to be held back.
func TestMalformedCrashReportsAreRejected(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"", "i-1", "i-1/7", "/7/", "i-1/x/", "i-1/7/zz", "i-1/7/00", "i-1/7/5/zz", "i-1/7/x/", "i-1/7/5/00", "i-1/x/5/", "/7/5/", "i-1/7/5/" + strings.Repeat("00", 16), "i-1/7/5/" + strings.Repeat("00", callBytes*(maxReportedCalls+1)),
	} {
		if c, ok := ParseCrash(text); ok {
			t.Errorf("%q is parsed as %v", text, c)
		}
	}
}
