package fleet

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// fuzzMember returns the record of a node at a sequence number.
func fuzzMember(name string, seq uint64, slots int) membership.Record {
	address := netip.MustParseAddrPort("10.1.0.4:80")
	return membership.NewRecord(name, membership.Domain("d0"), membership.Pool("quotes"), membership.Address(address), membership.ControlAddress(address),
		membership.Boot(5), membership.Seq(seq), membership.InState(membership.Ready), membership.TargetID("i-"+name), membership.Slots(slots))
}

// addCuts adds a value to the corpus, the value cut at each place, and with each byte changed.
func addCuts(f *testing.F, whole []byte) {
	f.Helper()
	f.Add(whole)
	for i := range whole {
		f.Add(whole[:i])
		f.Add([]byte(string(whole[:i]) + "0" + string(whole[i+1:])))
	}
}

// Guards against an entry that lacks something and takes the place of a member's, or after which the
// member's next one doesn't count.
func FuzzEntry(f *testing.F) {
	whole := encodeEntry(fuzzMember("n2", 7, 12))
	addCuts(f, whole)
	for field := range strings.SplitSeq(strings.Trim(string(whole), "{}"), ",") {
		name, _, _ := strings.Cut(field, ":")
		for _, value := range []string{"null", `""`, "0", "-1", "1.5", "1e999", "[]", "{}", `"x"`} {
			f.Add([]byte(strings.Replace(string(whole), field, name+":"+value, 1)))
		}
		f.Add([]byte(strings.Replace(string(whole), field+",", "", 1)))
	}
	key := entryKey("d0", "n2")
	f.Fuzz(func(t *testing.T, b []byte) {
		fl := newSizedFleet("self", "d0")
		put := func(b []byte, revision uint64) { fl.applyValues([]platform.Value{platform.NewValue(key, b, revision)}) }
		put(whole, 10)
		before, _ := fl.view.member("n2")
		put(b, 11)
		got, err := decodeEntry(key, b)
		if err == nil {
			if got.Instance() != "n2" || got.Domain() != "d0" || !canBeCalled(got.Address()) || !canBeCalled(got.ControlAddress()) ||
				got.State() == membership.Ready && (got.TargetID() == "" || got.Pool() == "") {
				t.Errorf("%q is accepted as %+v", b, got)
			}
			return
		}
		if after, _ := fl.view.member("n2"); after != before {
			t.Errorf("after %q, refused with %v, the member is %+v, it was %+v", b, err, after, before)
		}
		put(encodeEntry(fuzzMember("n2", 8, 7)), 12)
		if after, _ := fl.view.member("n2"); after.Slots() != 7 {
			t.Errorf("after %q the member's next entry counts as %+v", b, after)
		}
	})
}

// Guards against progress that lacks something and changes a rollout's stage, or that can't be
// overwritten.
func FuzzProgress(f *testing.F) {
	whole := encodeProgress(rollout.NewProgress(5, startTime, startTime.Add(time.Second), []string{"v0"}, 0))
	addCuts(f, whole)
	f.Fuzz(func(t *testing.T, b []byte) {
		fl := newSizedFleet("self", "d0")
		WithRollouts(testRolloutCodec{}, func() float64 { return 0.1 })(fl)
		put := func(key string, b []byte, revision uint64) {
			fl.applyValues([]platform.Value{platform.NewValue(key, b, revision)})
		}
		put("order/quotes", []byte(`{"Version":"v2","Millis":9000}`), 5)
		put(progressPrefix+"quotes", whole, 6)
		before := fl.rollouts.all()["quotes"]
		put(progressPrefix+"quotes", b, 7)
		after := fl.rollouts.all()["quotes"]
		if _, err := decodeProgress(platform.NewValue(progressPrefix+"quotes", b, 7)); err != nil && after.Stage() != before.Stage() {
			t.Errorf("after %q, refused with %v, the stage is %s, it was %s", b, err, after.Stage(), before.Stage())
		}
		if got := after.Progress().Revision(); got != 7 {
			t.Errorf("after %q progress is written over revision %d", b, got)
		}
	})
}

// Guards against an answer to a pull that removes members which it does not say have left, says that
// there are no rollouts, or after which the next answer doesn't count.
func FuzzPullResponse(f *testing.F) {
	parent := newSizedFleet("n1", "d0")
	for i := range 3 {
		r := fuzzMember(fmt.Sprint("n", i+2), 7, 12)
		parent.applyValues([]platform.Value{platform.NewValue(entryKey("d0", r.Instance()), encodeEntry(r), uint64(i+2))})
	}
	wholeResponse, _ := parent.buildPullResponse(&fleetpb.PullRequest{Members: true})
	changes, _ := parent.buildPullResponse(&fleetpb.PullRequest{Members: true, Epoch: parent.epoch, Cursor: 1})
	for _, m := range []*fleetpb.PullResponse{wholeResponse, changes, {}, {StartingMs: 1}, {Epoch: 1, Whole: &fleetpb.WholeDomains{Domains: []string{"d0"}}}} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		addCuts(f, b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fl := newSizedFleet("self", "d0")
		from := fuzzMember("n1", 1, 12)
		apply := func(resp *fleetpb.PullResponse) error {
			if err := fl.applyPulledMembers(resp, from, 0); err != nil {
				return err
			}
			fl.mergeRollouts(resp.GetRollouts(), !resp.GetRolloutsUnknown())
			return nil
		}
		if err := apply(wholeResponse); err != nil {
			t.Fatal(err)
		}
		before := fl.Size()
		fl.rollouts.synced.Store(false)
		var resp fleetpb.PullResponse
		if proto.Unmarshal(b, &resp) != nil {
			return
		}
		if len(b) == 0 && !isEmptyPull(&resp, true) {
			t.Error("an empty response is that of a node")
		}
		if isEmptyPull(&resp, true) || resp.GetStartingMs() > 0 {
			return
		}
		if err := apply(&resp); err != nil && fl.Size() < before {
			t.Errorf("after %q, refused with %v, %d of %d members are left", b, err, fl.Size(), before)
		}
		next, _ := parent.buildPullResponse(&fleetpb.PullRequest{Members: true})
		if err := apply(next); err != nil || fl.Size() < before {
			t.Errorf("after %q and a whole response %d of %d members are known, error %v", b, fl.Size(), before, err)
		}
	})
}
