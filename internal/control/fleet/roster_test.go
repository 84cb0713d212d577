package fleet

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

func nodeOf(domain string, n int, state membership.State) membership.Record {
	return membership.NewRecord(fmt.Sprintf("%s-%d", domain, n), membership.Domain(domain), membership.InState(state))
}

// Sixty nodes of five failure domains: few of each read the configuration,
// whatever the order in which a node learnt of them, and those on their way out do
// not. Were a node to choose others than its neighbour does, one that nobody takes
// for a reader would fetch from nobody.
func TestFewNodesOfEachFailureDomainRead(t *testing.T) {
	t.Parallel()
	var members, back []membership.Record
	for _, domain := range []string{"a", "b", "c", "d", "e"} {
		for n := range 12 {
			state := membership.Ready
			if n < 3 {
				state = membership.Draining
			}
			members = append(members, nodeOf(domain, n, state))
		}
	}
	for _, m := range members {
		back = append([]membership.Record{m}, back...)
	}
	r, other := rosterOf(members, allRead), rosterOf(back, allRead)
	have := map[string]int{}
	for i, m := range r.readers {
		have[m.Domain()]++
		if m.State() != membership.Ready {
			t.Errorf("%s reads, which is %v", m.Instance(), m.State())
		}
		if got := other.rank(m.Instance()); got != i {
			t.Errorf("%s has rank %d, and %d in another order", m.Instance(), i, got)
		}
	}
	want := map[string]int{"a": readersPerDomain, "b": readersPerDomain, "c": readersPerDomain, "d": readersPerDomain, "e": readersPerDomain}
	if diff := cmp.Diff(want, have); diff != "" || !r.others {
		t.Errorf("readers by failure domain, others %v: %s", r.others, diff)
	}
}

// A small deployment, however its nodes are spread, few nodes in each failure
// domain, and a node that has just started and knows nobody: all read, and nothing
// is written for others.
func TestInASmallDeploymentAllRead(t *testing.T) {
	t.Parallel()
	var one, few []membership.Record
	for n := range allRead {
		one = append(one, nodeOf("a", n, membership.Ready))
	}
	for n := range 3 * allRead {
		few = append(few, nodeOf(fmt.Sprint(n/readersPerDomain), n, membership.Starting))
	}
	leaving := []membership.Record{nodeOf("a", 1, membership.Draining), nodeOf("a", 2, membership.Ready)}
	for _, members := range [][]membership.Record{one, one[:1], few, leaving, nil} {
		if r := rosterOf(members, allRead); len(r.readers) != len(members) || r.others {
			t.Errorf("of %d nodes %d read, others %v", len(members), len(r.readers), r.others)
		}
	}
	// One that leaves does not read where few do, so it has to be told.
	if r := rosterOf(leaving, 0); len(r.readers) != 1 || !r.others {
		t.Errorf("beside one that leaves %d read, others %v", len(r.readers), r.others)
	}
	if r := rosterOf(append(one, nodeOf("a", allRead, membership.Ready)), allRead); len(r.readers) != readersPerDomain || !r.others {
		t.Errorf("of one more %d read, others %v", len(r.readers), r.others)
	}
}

// The nodes of a failure domain spread over its readers, or one of them, perhaps
// behind a narrow link, would serve all.
func TestNodesBeginWithDifferentReaders(t *testing.T) {
	t.Parallel()
	var members []membership.Record
	for n := range 12 {
		members = append(members, nodeOf("a", n, membership.Ready), nodeOf("b", n, membership.Ready))
	}
	r := rosterOf(members, 0)
	first := map[string]int{}
	for _, m := range members {
		near, far := r.sources(m)
		for _, s := range near {
			if s.Domain() != m.Domain() || s.Instance() == m.Instance() {
				t.Errorf("%s takes %s for near", m.Instance(), s.Instance())
			}
		}
		if len(far) != readersPerDomain {
			t.Errorf("%s knows %d far readers", m.Instance(), len(far))
		}
		first[near[0].Instance()]++
	}
	if len(first) < readersPerDomain {
		t.Errorf("only %d readers are asked first: %v", len(first), first)
	}
}
