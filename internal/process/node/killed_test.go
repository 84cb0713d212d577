package node_test

import (
	"fmt"
	"net/http"
	"testing"
)

// A target dies, then the node of another instance, while callers send calls
// that may be repeated. A caller sees its whole answer, or a refusal that
// names its type, and never half of an answer: calls under way at the dead are
// sent elsewhere. The node that comes back starts with the version it had.
func TestKillingATargetAndANodeUnderLoadLeavesWholeAnswersOrTypedRefusals(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "khan-uul", "khan-uul")
	f.declare(nodes...)
	l := startLoad(t, nodes[0], "/walls/1?sleep=3ms&size=5000", 6)
	l.more(t, 200)
	nodes[1].beside.kill()
	l.more(t, 300)
	nodes[2].kill()
	l.more(t, 300)
	version := f.change(nodes[0])
	f.holds(version, nodes[0], nodes[1], nodes[3])
	back := f.restart(nodes[2])
	if v := back.heldWhenReady(); v < version {
		t.Errorf("the node is ready with version %d, the fleet has %d", v, version)
	}
	l.more(t, 200)
	refused := map[string]int{}
	answers := l.end()
	for _, a := range answers {
		switch {
		case a.whole(5000):
		case a.typed():
			refused[a.refusal]++
		default:
			t.Errorf("neither whole nor typed: %+v", a)
		}
	}
	t.Logf("%d calls, refused: %v", len(answers), refused)
}

// The node of a target freezes under load with its connections open, which
// looks like a slow target. Calls under way at it end at their deadline with a
// refusal that names its type, at the latest; then it gets no more, and every
// caller has whole answers again while it is still frozen.
func TestFreezingATargetsNodeUnderLoadLeavesWholeAnswersOrTypedRefusals(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "songino")
	f.declare(nodes...)
	l := startLoad(t, nodes[0], "/quick/1?sleep=2ms&size=900", 6)
	l.more(t, 200)
	nodes[2].freeze()
	until(t, "the frozen node is given up", func() bool { return nodes[0].knowsOf(f, nodes[2]) == "" }, nodes[0].process)
	refused := map[string]int{}
	for _, a := range l.end() {
		switch {
		case a.whole(900):
		case a.typed():
			refused[a.refusal]++
		default:
			t.Errorf("neither whole nor typed: %+v", a)
		}
	}
	t.Logf("%d calls, refused: %v", len(l.end()), refused)
	for range 100 {
		if a := call(http.DefaultClient, nodes[0], "GET", "/quick/1?size=10", ""); !a.whole(10) {
			t.Errorf("a call after the frozen node was given up: %+v", a)
		}
	}
	nodes[2].wake()
}

// The node of a target dies while callers send calls that must not run twice.
// A caller that is told "not run" may send again elsewhere, so it must be
// true; a call that was under way at the dead node has an unknown outcome and
// is not sent to another target.
func TestKillingANodeUnderLoadRunsNoCallTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "songino")
	f.declare(nodes...)
	answers := make(map[string]answer)
	// The callers' node lives; the node of one target dies in mid-course.
	const calls = 400
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	type ended struct {
		key string
		answer
	}
	results := make(chan ended, calls)
	keys := make(chan string)
	for range 24 {
		go func() {
			for key := range keys {
				results <- ended{key, call(client, nodes[0], "POST", "/sends?sleep=40ms&size=300", key)}
			}
		}()
	}
	go func() {
		for i := range calls {
			keys <- fmt.Sprintf("send-%d", i)
		}
		close(keys)
	}()
	for range calls {
		r := <-results
		answers[r.key] = r.answer
		if len(answers) == calls/4 {
			// Some calls are then under way at the one that dies.
			until(t, "calls run beside the node", func() bool { return nodes[2].busy() >= 3 })
			nodes[2].kill()
		}
	}
	ran := map[string]int{}
	for _, n := range nodes {
		for key, times := range n.runs() {
			ran[key] += times
		}
	}
	outcomes := map[string]int{}
	for key, a := range answers {
		times := ran[key]
		switch {
		case times > 1:
			t.Errorf("%s ran %d times", key, times)
		case a.whole(300) && times != 1:
			t.Errorf("%s was answered and ran %d times", key, times)
		case !a.whole(300) && !a.typed():
			t.Errorf("%s: neither whole nor typed: %+v", key, a)
		case a.outcome == "not-run" && times != 0:
			t.Errorf("%s was told not run, and ran", key)
		}
		outcomes[a.refusal+" "+a.outcome]++
	}
	t.Logf("outcomes: %v", outcomes)
}

// The root of a failure domain dies, which watches the store and judges the
// silence of the others. The others need another root to learn of the next
// version; the dead one comes back with that version and not an older one.
func TestKillingTheRootLeavesTheOthersWithTheNextVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "songino", "songino")
	f.declare(nodes...)
	root, others := f.root(nodes...)
	root.kill()
	version := f.change(others[0])
	f.holds(version, others...)
	back := f.restart(root)
	if v := back.heldWhenReady(); v < version {
		t.Errorf("the dead root is back with version %d, the fleet has %d", v, version)
	}
	f.holds(f.change(back), append(others, back)...)
}
