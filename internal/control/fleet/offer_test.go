package fleet

import (
	"context"
	"testing"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/policy/version"
)

// slowDecoder decodes versions from 2 on only once released.
func slowDecoder(released <-chan struct{}) Decoder {
	return func(b []byte) (*snapshot.Snapshot, error) {
		if string(b) != "1" {
			<-released
		}
		return decodeNumber(b)
	}
}

// startWithSlowDecoder starts seven nodes; the one that ranks second, which other nodes pull
// from, decodes versions from 2 on only once released.
func startWithSlowDecoder(t *testing.T) (h *harness, slow string, released chan struct{}) {
	h, released = newHarness(t), make(chan struct{})
	h.startWithLink("a", "n1", 1, h.store, 1000)
	h.decode = slowDecoder(released)
	h.startWithLink("a", "n2", 2, h.store, 200)
	h.decode = decodeNumber
	for i, n := range sevenNodes[2:] {
		h.startWithLink("a", n, uint64(i+3), h.store, 10)
	}
	h.waitForStart(sevenNodes...)
	h.eventually("the widest links rank first", func() bool {
		return h.nodes["n1"].position().Rank() == 0 && h.nodes["n2"].position().Rank() == 1
	})
	return h, "n2", released
}

// Guards against a version that waits at each level of the tree for the node there to decode
// it, and against one that is compressed again or served in part.
func TestAVersionIsPassedOnBeforeItIsActive(t *testing.T) {
	t.Parallel()
	h, slow, released := startWithSlowDecoder(t)
	h.store.put(configKey, []byte("2"))
	view := func() *fleetpb.ViewResponse {
		resp, err := h.nodes[slow].View(context.Background(), &fleetpb.ViewRequest{Version: 1})
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	h.eventually("it serves version 2", func() bool { return view().GetVersion() == 2 })
	if b, err := decompress(view().GetConfiguration()); err != nil || string(b) != "2" {
		t.Errorf("it serves %q, %v", b, err)
	}
	pull, err := h.nodes[slow].Pull(context.Background(), &fleetpb.PullRequest{Version: 1})
	if err != nil || pull.GetVersion() != 2 || pull.GetVersionBytes() == 0 {
		t.Errorf("a pull announces version %d of %d bytes, %v", pull.GetVersion(), pull.GetVersionBytes(), err)
	}
	h.waitForVersionOn(2, without(sevenNodes, slow)...)
	if v := h.nodes[slow].Current().Version(); v != 1 {
		t.Errorf("version %d is active before it is decoded", v)
	}
	close(released)
	h.waitForVersion(slow, 2)
}

// A parent fails while it passes a version on that it has not decoded yet. Its children must
// get the version from others, and no node may go back.
func TestAParentThatFailsWhileItPassesAVersionOn(t *testing.T) {
	t.Parallel()
	for _, stops := range []bool{false, true} {
		h, slow, released := startWithSlowDecoder(t)
		h.store.put(configKey, []byte("2"))
		h.eventually("it has the bytes of version 2", func() bool { v, _ := h.nodes[slow].newest(); return v == 2 })
		h.nodes[slow].stalled.Store(true)
		if stops {
			close(released)
			h.nodes[slow].stop()
		}
		others := without(sevenNodes, slow)
		h.waitForVersionOn(2, others...)
		h.store.put(configKey, []byte("3"))
		h.waitForVersionOn(3, others...)
		if !stops {
			close(released)
		}
	}
}

// Guards against a version that a node refuses and still announces, against one that is
// applied in part, and against nodes that can't go on from the earlier version.
func TestAVersionThatDoesNotDecodeIsWithdrawn(t *testing.T) {
	t.Parallel()
	h, released := newHarness(t), make(chan struct{})
	h.decode = slowDecoder(released)
	for i, n := range sevenNodes {
		h.start(n, uint64(i+1))
	}
	h.waitForStart(sevenNodes...)
	root := h.nodes[h.waitForReader(sevenNodes...)]
	bad := root.offer(9, compress([]byte("none")), 1, "a test")
	others := without(sevenNodes, root.own.self.Instance())
	for _, n := range others {
		h.eventually(n+" passes it on", func() bool { v, _ := h.nodes[n].newest(); return v == 9 })
	}
	close(released)
	for _, n := range others {
		h.eventually(n+" refuses it", func() bool { return h.nodes[n].offered.refused.Load() != 0 })
	}
	root.offered.current.CompareAndSwap(bad, nil) // as once the root has refused it itself
	for _, n := range sevenNodes {
		h.eventually(n+" announces version 1 again", func() bool { v, _ := h.nodes[n].newest(); return v == 1 })
		if v := h.nodes[n].Current().Version(); v != 1 {
			t.Errorf("%s: version %d is active", n, v)
		}
	}
	h.store.put(configKey, []byte("2"))
	h.waitForVersionOn(2, sevenNodes...)
}

// Guards against an offer that hides a newer active version or announces an older one, and
// against one that is offered again after the node has refused it.
func TestOffersOnlyGoForward(t *testing.T) {
	t.Parallel()
	f := newSizedFleet("self", "d0")
	f.applyConfig(version.Unknown, []byte("5"), "store")
	for _, tc := range []struct {
		claimed uint64
		text    string
		want    uint64 // active and announced afterwards
	}{{4, "4", 5}, {5, "5", 5}, {6, "none", 5}, {7, "6", 6}, {3, "8", 8}, {8, "8", 8}, {9, "9", 9}} {
		f.applyCompressed(tc.claimed, compress([]byte(tc.text)), "a node")
		announced, _ := f.newest()
		if active := f.Current().Version(); active != tc.want || announced != tc.want {
			t.Errorf("%d, which is %q: active %d, announced %d, want %d", tc.claimed, tc.text, active, announced, tc.want)
		}
	}
	f.applyCompressed(10, []byte("not compressed"), "a node")
	bad := compress([]byte("none"))
	f.applyCompressed(10, bad, "a node")
	if f.offer(10, bad, f.offered.refused.Load(), "a node") != nil {
		t.Error("a refused version is offered again")
	}
}
