package fleet

import (
	"fmt"
	"testing"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Guards against a large version that comes from a relay behind a narrow link while a node
// with a wide link has it, against the loss of the parent as the next choice, and against
// small versions that all nodes fetch from the few wide ones.
func TestLargeVersionsComeFromWideLinks(t *testing.T) {
	t.Parallel()
	const last = 21
	const name = "self1" // a node whose parent has other children
	f := newSizedFleet(name, "d0")
	var members []memberEntry
	link := func(r membership.Record, mbps int) memberEntry {
		return memberEntry{membership.NewRecord(r.Instance(), membership.Domain("d0"), membership.ControlAddress(r.ControlAddress()),
			membership.Boot(1), membership.Seq(1), membership.InState(membership.Ready), membership.LinkMbps(mbps)), 1}
	}
	for i := range last {
		mbps := 10
		if i < 2 {
			mbps = 200
		}
		members = append(members, link(sizedMember(i, 1), mbps))
	}
	self := link(membership.NewRecord(name), 10)
	f.own.base, f.own.self = self.record, self.record
	f.applyMembers(append(members, self))
	for _, tc := range []struct {
		bytes     uint32
		fromRoots bool
	}{{150_000, true}, {60_000, true}, {2_000, false}} {
		parents := f.position().Parents()
		narrow := parents[0]
		for _, r := range parents {
			if r.LinkMbps() == 10 {
				narrow = r
			}
		}
		sources := f.versionSources(f.position(), narrow, tc.bytes)
		wide := map[string]bool{fmt.Sprint(members[0].record.ControlAddress()): true, fmt.Sprint(members[1].record.ControlAddress()): true}
		first := sources[0].peer
		if wide[first.String()] != tc.fromRoots {
			t.Errorf("%d bytes are fetched from %v first", tc.bytes, first)
		}
		parentIndex := 0
		if tc.fromRoots {
			parentIndex = 1
		}
		if sources[parentIndex].peer != narrow.ControlAddress() {
			t.Errorf("%d bytes: %v is not followed by the parent %v", tc.bytes, sources, narrow.ControlAddress())
		}
		if len(sources) != len(parents) {
			t.Errorf("%d sources of %d parents", len(sources), len(parents))
		}
	}
}
