package fleet

import (
	"testing"
	"time"
)

// Each change of a member answers the watches of all nodes. In a small deployment
// they ask again at once; the more nodes there are, the longer each waits for
// further changes, so that the calls of all together grow by far less than the
// square of the nodes. The readers keep their pace whatever the size.
func TestNodesThatOnlyFollowMembersCallLessTheMoreThereAre(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		nodes int
		want  pace
	}{
		{1, pace{watch: 1}},
		{allRead, pace{watch: 1}},
		{48, pace{watch: 2, pause: 576 * time.Millisecond}},
		{60, pace{watch: 2.5, pause: 720 * time.Millisecond}},
		{4200, pace{watch: slowestWatch, pause: memberPauseMost}},
	} {
		if got := paceOf(c.nodes); got != c.want {
			t.Errorf("%d nodes: %+v, want %+v", c.nodes, got, c.want)
		}
	}
	f := &Fleet{view: &view{}}
	f.view.size.Store(60)
	if got := f.pace(everything); got != paceOf(1) {
		t.Errorf("a reader among 60 nodes: %+v", got)
	}
	if got := f.pace(ownPrefix); got != paceOf(60) {
		t.Errorf("another node among 60: %+v", got)
	}
}
