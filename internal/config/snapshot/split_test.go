package snapshot

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func sharedRoute(shares ...Share) Route {
	return NewRoute("quote", "/quote/", "old", "old", Priority(2), TargetLatency(200*time.Millisecond), Split(shares...))
}

func servicesAndPools(names ...string) []Object {
	var out []Object
	for _, n := range names {
		out = append(out, NewService(n), NewPool(n, n))
	}
	return out
}

func TestAShareGetsItsWeight(t *testing.T) {
	t.Parallel()
	rt := sharedRoute(NewShare("old", "old", 90), NewShare("none", "none", 0), NewShare("new", "new", 10))
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	const calls = 100_000
	for range calls {
		got[rt.Toward(rng.Float64()).Pool()]++
	}
	if got["none"] != 0 || got["new"] < calls*9/100 || got["new"] > calls*11/100 || got["old"]+got["new"] != calls {
		t.Errorf("calls by pool: %v", got)
	}
}

func TestASharedRouteSurvivesEncoding(t *testing.T) {
	t.Parallel()
	want := sharedRoute(NewShare("old", "old", 90), NewShare("new", "new", 10))
	b, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(Route{}, Share{}), cmp.Comparer(func(a, b []string) bool { return len(a) == len(b) })); diff != "" {
		t.Error(diff)
	}
}

// A version with a share that leads nowhere must not come into force in part.
func TestFaultsOfShares(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		shares []Share
		want   error
	}{
		{"a pool that is not there", []Share{NewShare("old", "gone", 1)}, &DanglingError{}},
		{"a pool of another service", []Share{NewShare("old", "new", 1)}, &ValueError{}},
		{"no weight at all", []Share{NewShare("old", "old", 0), NewShare("new", "new", 0)}, &ValueError{}},
		{"a weight below zero", []Share{NewShare("old", "old", 2), NewShare("new", "new", -1)}, &ValueError{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			_, err := Assemble(1, append(servicesAndPools("old", "new"), sharedRoute(tc.shares...)))
			var all *CheckError
			if !errors.As(err, &all) {
				t.Fatalf("assembled with %v", err)
			}
			found := false
			for _, f := range all.Faults {
				switch tc.want.(type) {
				case *DanglingError:
					var d *DanglingError
					found = found || errors.As(f, &d)
				default:
					var v *ValueError
					found = found || errors.As(f, &v)
				}
			}
			if !found {
				t.Errorf("faults: %v", all.Faults)
			}
		})
	}
}

func TestAssembleRefusesOneNameTwice(t *testing.T) {
	t.Parallel()
	var overlap *OverlapError
	if _, err := Assemble(1, append(servicesAndPools("a"), NewService("a"))); !errors.As(err, &overlap) {
		t.Errorf("assembled with %v", err)
	}
}
