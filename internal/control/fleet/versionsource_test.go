package fleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// Guards against a version that is late because the nodes that have announced it are silent,
// and against reads of a version that a node has received and refused.
func TestAVersionThatNoNodeDeliversIsReadFromTheStore(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name          string
		silent, other int    // sources that don't answer, and that have another version
		other2        string // what the latter have as version 2, if anything
		version       uint64
		calls         int // of the store
	}{
		{name: "no source answers", silent: 3, version: 2, calls: 1},
		{name: "the sources that answer don't have it", silent: 1, other: 2, version: 2, calls: 1},
		{name: "it is refused", other: 1, other2: "none"},
		{name: "a source delivers it", silent: 1, other: 1, other2: "2", version: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.store.put(configKey, []byte("2"))
			f := New(h.store, h.clk, membership.NewRecord("self"), configKey, decodeNumber)
			defer f.pooledHTTP.CloseIdleConnections()
			var from []versionSource
			for i := range tc.silent + tc.other {
				other := New(newFakeStore(h.clk), h.clk, membership.NewRecord("other"), configKey, decodeNumber)
				if tc.other2 != "" {
					other.offer(2, compress([]byte(tc.other2)), 1, "a test")
				}
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if i < tc.silent {
						_, _ = io.Copy(io.Discard, r.Body)
						<-r.Context().Done()
						return
					}
					other.Handler().ServeHTTP(w, r)
				}))
				defer srv.Close()
				from = append(from, versionSource{peer: netip.MustParseAddrPort(srv.Listener.Addr().String())})
			}
			f.fetchVersion(t.Context(), from, 2)
			if v := f.Current().Version(); v != tc.version || h.store.calls != tc.calls {
				t.Errorf("version %d after %d calls of the store, want version %d after %d", v, h.store.calls, tc.version, tc.calls)
			}
		})
	}
}
