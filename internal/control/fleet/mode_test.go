package fleet

import (
	"context"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
)

// A node on a narrow link follows a row of changes. It goes on watching while
// changes come one by one, and reads the newest alone where they come faster than
// the link carries them, and after each watch that failed: its answer may have been
// too long, much may have been written, or the store may be silent still.
func TestHowANodeGetsWhatChanges(t *testing.T) {
	t.Parallel()
	late := &platform.UnavailableError{Op: platform.KindWatch, Err: context.DeadlineExceeded}
	cut := &platform.UnavailableError{Op: platform.KindWatch, Err: context.Canceled}
	gone := &platform.CompactedError{After: 3}
	for _, c := range []struct {
		what string
		in   mode
		a    answer
		want mode
	}{
		{"the first reading", reading, answer{versions: 1}, watching},
		{"the first reading fails", reading, answer{err: cut}, reading},
		{"the first reading outlasts its call", reading, answer{err: late}, reading},
		{"nothing new", watching, answer{}, watching},
		{"one version", watching, answer{versions: 1}, watching},
		{"two versions", watching, answer{versions: 2}, catching},
		{"the history has gone", watching, answer{err: gone}, reading},
		{"a watch is cut", watching, answer{err: cut}, catching},
		{"a watch outlasts its time", watching, answer{err: late}, catching},
		{"the row goes on", catching, answer{versions: 1}, catching},
		{"the row has ended", catching, answer{}, watching},
		{"a reading fails in a row", catching, answer{err: cut}, catching},
		{"a reading outlasts its call in a row", catching, answer{err: late}, catching},
	} {
		if got := c.in.next(c.a); got != c.want {
			t.Errorf("%s: mode %d, want %d", c.what, got, c.want)
		}
	}
}

// The store is asked again at once only where nothing came: versions every few
// milliseconds would else cost each node as many calls, and changes of members
// as many answers.
func TestHowLongTheStoreIsLeftAlone(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		what    string
		in      mode
		changes int
		a       answer
		want    time.Duration
	}{
		{"nothing new", watching, 0, answer{}, 0},
		{"the first reading", reading, 1, answer{versions: 1}, 0},
		{"a failed call has its own pause", watching, 0, answer{err: context.Canceled}, 0},
		{"a member changed", watching, 1, answer{}, watchPause},
		{"a version came", watching, 1, answer{versions: 1}, versionPause},
		{"a row of versions came", watching, 4, answer{versions: 4}, watchPause},
		{"the row goes on", catching, 1, answer{versions: 1}, watchPause},
	} {
		if got := c.in.pause(c.changes, c.a); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}
