package node_test

import (
	"fmt"
	"net/http"
	"testing"
)

// The node beside a target is stopped as planned while slow calls run at that
// target and more come. Every caller elsewhere gets its whole answer: what runs
// ends, and what comes goes to the other targets.
func TestAPlannedStopOfATargetsNodeFailsNoCall(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "khan-uul")
	f.declare(nodes...)
	l := startLoad(t, nodes[0], "/walls/1?sleep=400ms&size=2000", 12)
	l.more(t, 12)
	nodes[1].terminate()
	if code := nodes[1].exit(); code != 0 {
		t.Errorf("the stopped node ended with %d", code)
	}
	l.more(t, 12)
	for _, a := range l.end() {
		if !a.whole(2000) {
			t.Errorf("a call during a planned stop: %+v", a)
		}
	}
}

// A node is stopped as planned while its own callers wait for slow calls, some
// of which must not run twice. Each call in flight gets its whole answer. A
// call that comes later is refused as not run, or finds the port closed.
func TestAPlannedStopOfTheCallersNodeCutsOffNoCall(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "khan-uul")
	f.declare(nodes...)
	const calls = 16
	answers := make(chan answer, calls)
	for i := range calls {
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			answers <- call(client, nodes[0], "POST", "/sends?sleep=1500ms&size=700", fmt.Sprintf("slow-%d", i))
		}()
	}
	until(t, "all calls run", func() bool {
		ran := 0
		for _, n := range nodes {
			ran += len(n.runs())
		}
		return ran == calls
	}, processes(nodes)...)
	nodes[0].terminate()
	late := 0
	for range calls {
		if a := <-answers; !a.whole(700) {
			t.Errorf("a call in flight at a planned stop: %+v", a)
		}
	}
	for {
		select {
		case <-nodes[0].done:
			if code := nodes[0].cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the stopped node ended with %d", code)
			}
			return
		default:
		}
		key := fmt.Sprintf("late-%d", late)
		late++
		a := call(http.DefaultClient, nodes[0], "POST", "/sends?size=10", key)
		switch {
		case a.whole(10), a.err != nil:
		case a.outcome != "not-run":
			t.Errorf("a call to a stopping node: %+v", a)
		default:
			for _, n := range nodes {
				if n.runs()[key] != 0 {
					t.Errorf("%s was told not run, and ran", key)
				}
			}
		}
	}
}
