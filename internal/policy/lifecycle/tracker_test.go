package lifecycle

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// words are what a node hears of its target, one a word: id:born:sequence, with
// a D for one that drains; bye:id; no:id for a refused connection.
func play(t *testing.T, words string) Target {
	t.Helper()
	tr := NewTracker()
	for word := range strings.FieldsSeq(words) {
		f := strings.Split(word, ":")
		switch f[0] {
		case "bye":
			tr.Leave(f[1])
		case "no":
			tr.Refused(f[1])
		default:
			opts := []HeartbeatOption{Born(digit(f[1])), Sequence(digit(strings.TrimSuffix(f[2], "D"))), Slots(12)}
			if strings.HasSuffix(f[2], "D") {
				opts = append(opts, Draining())
			}
			tr.Hear(NewHeartbeat(f[0], opts...))
		}
	}
	return tr.Target()
}

func digit(s string) uint64 { return uint64(s[0] - '0') }

// A target is replaced, restarts or leaves while words about it are delayed and
// overtake each other. If an old word counted, its node would pass calls on to a
// process that is ending, or keep a living one from them.
func TestWhatIsBelieved(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, words, want string }{
		{"nothing before the first word", "", " unknown"},
		{"a heartbeat opens", "a:1:1", "a serving"},
		{"draining closes", "a:1:1 a:1:2D", "a leaving"},
		{"a goodbye without draining closes", "a:1:1 bye:a", "a leaving"},
		{"a heartbeat that was overtaken by draining does not open", "a:1:3D a:1:2", "a leaving"},
		{"nor does one that was overtaken by the goodbye", "a:1:1 bye:a a:1:2", "a leaving"},
		{"a target that was draining at a node's start stays closed", "a:1:5D", "a leaving"},
		{"one that had said goodbye to the process before stays closed", "bye:a a:0:9", " unknown"},
		{"a successor opens", "a:1:9D b:2:1", "b serving"},
		{"a heartbeat of the one before, held up by a cut, does not count", "a:1:1 b:2:1 a:1:2", "b serving"},
		{"nor does its draining", "a:1:1 b:2:1 a:1:2D", "b serving"},
		{"nor its goodbye", "a:1:1 b:2:1 bye:a", "b serving"},
		{"a new start under the old id opens, its count begun anew", "a:1:9 a:2:1", "a serving"},
		{"also after it had left", "a:1:9D a:2:1", "a serving"},
		{"and a heartbeat of the start before does not count", "a:1:9 a:2:1 a:1:9D", "a serving"},
		{"a refused connection closes", "a:1:1 no:a", "a down"},
		{"the next heartbeat opens again", "a:1:1 no:a a:1:2", "a serving"},
		{"one sent before the crash does not", "a:1:2 no:a a:1:1", "a down"},
		{"a refusal for another process changes nothing", "a:1:1 b:2:1 no:a", "b serving"},
		{"a refusal does not hide that it leaves", "a:1:1D no:a", "a leaving"},
		{"a successor that tells no start opens", "a:0:5 b:0:1", "b serving"},
		{"and the one before it, once left, does not come back", "a:0:5 bye:a b:0:1 a:0:6", "b serving"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			got := play(t, tc.words)
			if diff := cmp.Diff(tc.want, got.ID()+" "+got.Phase().String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
