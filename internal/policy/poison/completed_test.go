package poison

import "testing"

func TestCompletedCallsAreRememberedInTwoGenerations(t *testing.T) {
	t.Parallel()
	var c Completed
	if c.Contains(Fingerprint{1, 1}) {
		t.Error("an empty set contains a call")
	}
	const added = 3 * maxCompleted
	for i := range uint64(added) {
		c.Add(Call{Fingerprint{i, i}, Fingerprint{i, i}})
	}
	for i, want := range map[uint64]bool{added - 1: true, added - maxCompleted: true, added - 2*maxCompleted - 1: false, added: false} {
		if got := c.Contains(Fingerprint{i, i}); got != want {
			t.Errorf("call %d of %d: contained %v, want %v", i, added, got, want)
		}
	}
	if n := len(c.recent) + len(c.older); n > 2*maxCompleted {
		t.Errorf("%d calls are remembered", n)
	}
}
