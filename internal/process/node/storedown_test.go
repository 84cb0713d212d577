package node_test

import (
	"net/http"
	"testing"
)

// The platform's store is out. Callers see nothing of it; a node that starts
// has the version from its peers before it is ready. An operator's plan fails
// as not done, and a confirm as of unknown outcome, since an earlier confirm
// of the same plan may have succeeded. Once the store is back, the same
// confirm settles it and nothing is lost.
func TestWithTheStoreDownCallsGoOnAndPlansAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "khan-uul")
	f.declare(nodes...)
	pending := f.planEdit(nodes[0])
	f.fault(`{"down":true}`)
	for _, n := range nodes {
		for range 20 {
			if a := call(http.DefaultClient, n, "GET", "/walls/1?size=64", ""); !a.whole(64) {
				t.Errorf("a call through %s with the store down: %+v", n.name, a)
			}
		}
	}
	nodes[1].kill()
	back := f.restart(nodes[1], "-seeds", nodes[0].Peers)
	if v := back.heldWhenReady(); v != 1 {
		t.Errorf("ready with version %d, want 1 from its peers", v)
	}
	if a := call(http.DefaultClient, back, "GET", "/walls/1?size=64", ""); !a.whole(64) {
		t.Errorf("a call through the node that started: %+v", a)
	}
	env := operator(anaToken, nodes[0])
	path := f.file("other.yaml", edit(90))
	if got := decoded[failed](t, command(t, env, "plan", "-json", "-set", path).want(t, 1)); got.Error.Type != "unavailable" {
		t.Errorf("plan: %+v, want type unavailable", got)
	}
	if got := decoded[failed](t, command(t, env, "confirm", "-json", pending).want(t, 4)); got.Error.Type != "outcome_unknown" {
		t.Errorf("confirm: %+v, want type outcome_unknown", got)
	}
	f.fault(`{"down":false}`)
	var r result
	until(t, "the store is back", func() bool {
		r = command(t, env, "confirm", "-json", pending)
		return r.code == 0
	})
	if got := decoded[confirmed](t, r); got.Version != 2 {
		t.Errorf("confirmed as version %d, want 2", got.Version)
	}
	f.holds(2, nodes[0], back, nodes[2])
}
