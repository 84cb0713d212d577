package fleet

import (
	"net/netip"
	"testing"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Guards against nodes that forget which calls crash targets when they and the node beside
// a crashed target restart.
func TestTheReportOfACrashOutlastsARestartOfItsNode(t *testing.T) {
	t.Parallel()
	here, elsewhere := netip.MustParseAddrPort("127.0.0.1:7600"), netip.MustParseAddrPort("127.0.0.1:7601")
	for _, tt := range []struct {
		name    string
		early   bool // the announcement comes before the store is read
		address netip.AddrPort
		crash   string // of a target since the restart
		want    string
	}{
		{"announced after the read", false, here, "", "earlier"},
		{"announced before the read", true, here, "", "earlier"},
		{"another address", false, elsewhere, "", "earlier"},
		{"another address, announced before the read", true, elsewhere, "", "earlier"},
		{"a crash since", false, here, "later", "later"},
		{"a crash since, announced before the read", true, here, "later", "later"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			record := func(address netip.AddrPort, opts ...membership.RecordOption) membership.Record {
				return membership.NewRecord("n1", append([]membership.RecordOption{
					membership.Domain("a"), membership.Pool("quotes"), membership.Address(address), membership.ControlAddress(address),
				}, opts...)...)
			}
			h.store.put(entryKey("a", "n1"), encodeEntry(record(here, membership.Boot(5), membership.Seq(3),
				membership.InState(membership.Ready), membership.TargetID("before"), membership.Slots(12), membership.Crash("earlier"))))
			var heard []string
			f := New(h.store, h.clk, record(tt.address, membership.Boot(9)), configKey, decodeNumber,
				OnCrash(func(crash string) { heard = append(heard, crash) }))
			w := &entryWriter{f: f}
			readAndAnnounce(t, f, tt.early, func() { f.Announce(membership.Ready, "after", 12, tt.crash) })
			if err := w.reconcile(t.Context()); err != nil {
				t.Fatal(err)
			}
			v, _ := h.store.get(entryKey("a", "n1"))
			got, err := decodeEntry(v.Key(), v.Data())
			if err != nil || got.Crash() != tt.want || got.TargetID() != "after" {
				t.Errorf("the entry is %+v, error %v", got, err)
			}
			if len(heard) != 1 || heard[0] != "earlier" {
				t.Errorf("the node has heard of the crashes %q", heard)
			}
		})
	}
}
