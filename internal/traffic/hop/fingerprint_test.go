package hop

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// The sender buffers or streams a body as its caller frames it, and the target's node as the
// sender does; both must find the same call.
func TestACallIsIdentifiedByWhatIsKnownOfItsBody(t *testing.T) {
	t.Parallel()
	r := httptest.NewRequest("POST", "/claims?n=1", nil)
	m := NewMeta(FromOrigin("quoting"))
	long, longer := NewStream(strings.NewReader(""), ReplayBytes+1, nil), NewStream(strings.NewReader(""), ReplayBytes+2, nil)
	for _, tc := range []struct {
		name string
		a, b Body
		same bool
	}{
		{"no body and an empty one", None{}, NewBuffered(nil), true},
		{"the same bytes", NewBuffered([]byte("x")), NewBuffered([]byte("x")), true},
		{"other bytes", NewBuffered([]byte("x")), NewBuffered([]byte("y")), false},
		{"streams of the same length", long, NewStream(nil, ReplayBytes+1, nil), true},
		{"streams of other lengths", long, longer, false},
		{"a stream and no body", long, None{}, false},
	} {
		if same := Identify(m, r, tc.a) == Identify(m, r, tc.b); same != tc.same {
			t.Errorf("%s: the same call %v, want %v", tc.name, same, tc.same)
		}
	}
}
