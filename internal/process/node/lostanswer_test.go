package node_test

import (
	"path/filepath"
	"slices"
	"testing"
)

// The store takes the swap that puts a plan in force, and its answer is lost.
// The node looks the outcome up and says that the plan is in force. Where the
// store is out right after, nobody can look it up: the operator is told that
// the outcome is unknown, confirms again later and learns of the one version.
func TestALostAnswerToAConfirmIsResolvedOrCalledUnknown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "khan-uul")
	f.declare(nodes...)
	env := operator(anaToken, nodes...)
	plan := f.planEdit(nodes[0])
	f.fault(`{"lose_key":"banyanlug/head","lose_next":1}`)
	if got := decoded[confirmed](t, command(t, env, "confirm", "-json", plan).want(t, 0)); got.Version != 2 {
		t.Errorf("confirmed as version %d, want 2", got.Version)
	}
	f.holds(2, nodes...)

	plan = f.planEdit(nodes[0])
	f.fault(`{"lose_key":"banyanlug/head","lose_next":1,"down_after":true}`)
	if got := decoded[failed](t, command(t, env, "confirm", "-json", "-timeout", "40s", plan).want(t, 4)); got.Error.Type != "outcome_unknown" {
		t.Errorf("confirm: %+v, want type outcome_unknown", got)
	}
	f.fault(`{"down":false}`)
	for range 2 {
		if got := decoded[confirmed](t, command(t, env, "confirm", "-json", plan).want(t, 0)); got.Version != 3 {
			t.Errorf("confirmed as version %d, want 3", got.Version)
		}
	}
	f.holds(3, nodes...)
	history := decoded[struct {
		Versions []struct {
			Plan string `json:"plan"`
		} `json:"versions"`
	}](t, command(t, env, "history", "-json").want(t, 0))
	if len(history.Versions) != 3 || history.Versions[0].Plan != plan {
		t.Errorf("history: %+v, want three versions, the last by %s", history, plan)
	}
}

// Two operators change one pool at the same moment through different nodes.
// One plan is in force; the other operator is told so with exit code 3, the
// object and the version that changed it, and the plan never comes into force.
func TestOfTwoOperatorsWhoRaceOneWinsAndTheOtherLearnsWhy(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "khan-uul")
	f.declare(nodes...)
	plans := make([]string, 2)
	envs := [][]string{operator(anaToken, nodes[0]), operator(boToken, nodes[1])}
	for i, slots := range []string{"30", "35"} {
		path := f.file("race/"+slots+".yaml", "pools:\n  - {name: walls, service: walls, upstreams: 4, slots: "+slots+", promised: 20, connections: 200}\n")
		plans[i] = decoded[planned](t, command(t, envs[i], "plan", "-json", "-set", filepath.Clean(path)).want(t, 0)).ID
	}
	results := make([]result, 2)
	done := make(chan int)
	for i := range results {
		go func() {
			results[i] = command(t, envs[i], "confirm", "-json", plans[i])
			done <- i
		}()
	}
	<-done
	<-done
	codes := []int{results[0].code, results[1].code}
	slices.Sort(codes)
	if !slices.Equal(codes, []int{0, 3}) {
		t.Fatalf("exit codes %v, want 0 and 3: %+v", codes, results)
	}
	loser := slices.IndexFunc(results, func(r result) bool { return r.code == 3 })
	got := decoded[failed](t, results[loser]).Error
	if got.Type != "conflict" || len(got.Conflicts) != 1 || got.Conflicts[0].Object != "pool/walls" || got.Conflicts[0].Version != 2 {
		t.Errorf("the loser is told %+v", got)
	}
	command(t, envs[loser], "confirm", plans[loser]).want(t, 3)
	f.holds(2, nodes...)
	if got := decoded[failed](t, command(t, envs[loser], "abandon", "-json", plans[1-loser]).want(t, 1)); got.Error.Type != "in_force" {
		t.Errorf("abandon of a plan in force: %+v", got)
	}
	plan := f.planEdit(nodes[0])
	command(t, envs[0], "abandon", plan).want(t, 0)
	if got := decoded[failed](t, command(t, envs[1], "confirm", "-json", plan).want(t, 1)); got.Error.Type != "abandoned" {
		t.Errorf("confirm of an abandoned plan: %+v", got)
	}
	f.holds(2, nodes...)
}

// The node that an operator asked to confirm dies in the middle, with some of
// its writes done. The command asks the next node, which finds out what became
// of the plan or finishes it: the operator is told the one version it made, or
// that the outcome is unknown, and the plan makes one version.
func TestTheNodeThatConfirmsDiesAndThePlanMakesOneVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	nodes := f.instances("songino", "songino", "khan-uul")
	f.declare(nodes...)
	plan := f.planEdit(nodes[0])
	f.fault(`{"slow_ms":100}`)
	before := f.storeCalls("compare_and_swap")
	env := operator(anaToken, nodes...)
	done := make(chan result)
	go func() { done <- command(t, env, "confirm", "-json", "-timeout", "40s", plan) }()
	until(t, "the confirm writes", func() bool { return f.storeCalls("compare_and_swap") > before })
	nodes[0].kill()
	first := <-done
	if first.code != 0 && first.code != 4 {
		t.Errorf("the confirm ended with %d: %s", first.code, first.out)
	}
	f.fault(`{"slow_ms":0}`)
	if got := decoded[confirmed](t, command(t, env, "confirm", "-json", plan).want(t, 0)); got.Version != 2 {
		t.Errorf("confirmed as version %d, want 2", got.Version)
	}
	f.holds(2, nodes[1:]...)
	if v := f.change(nodes[1]); v != 3 {
		t.Errorf("the next plan made version %d, want 3", v)
	}
}
