package measure

import (
	"context"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
)

// baseline is what users would do otherwise: each node watches the store's
// head and takes the whole configuration at each change.
type baseline struct {
	clk    *timer.Service
	stored *stored
	packed bool
	nodes  []*watcher
}

// watcher is one node of the baseline.
type watcher struct {
	b      *baseline
	client *platform.Client
	log    *publish.Log
	holder *peer.Holder
}

func startBaseline(g *group, clk *timer.Service, nodes int, packed bool) (*baseline, error) {
	s, err := startStore(g, clk)
	if err != nil {
		return nil, err
	}
	b := &baseline{clk: clk, stored: s, packed: packed}
	for range nodes {
		client, err := platform.Dial(s.nodes, platform.WithClock(clk))
		if err != nil {
			return nil, err
		}
		w := &watcher{b: b, client: client, log: publish.New(client, clk), holder: peer.NewHolder()}
		b.nodes = append(b.nodes, w)
		g.start(w.run)
	}
	return b, nil
}

func wholeKey(version uint64) string { return fmt.Sprintf("whole/%d", version) }

// prepare stores the whole configuration, which the nodes take once the head
// names its version; the time it takes is not counted against the baseline.
func (b *baseline) prepare(ctx context.Context, next *snapshot.Snapshot) error {
	whole, err := next.EncodeFull()
	if err != nil {
		return err
	}
	if b.packed {
		whole = zstd.EncodeTo(nil, whole)
	}
	_, err = b.stored.operator.CompareAndSwap(ctx, wholeKey(next.Version()), 0, whole)
	return err
}

func (w *watcher) run(ctx context.Context, done chan<- error) {
	defer w.client.Close()
	var head publish.Head
	for ctx.Err() == nil {
		next, err := w.log.WaitHead(ctx, head, watchWait)
		if err == nil && next.Version() > w.holder.Current().Version() {
			err = w.take(ctx, next.Version())
		}
		if err != nil {
			// The next watch asks again; a run in which it goes on ends by its
			// timeout.
			_ = w.b.clk.Sleep(ctx, lookEvery)
			continue
		}
		head = next
	}
	done <- ctx.Err()
}

func (w *watcher) take(ctx context.Context, version uint64) error {
	v, err := w.client.Get(ctx, wholeKey(version))
	if err != nil {
		return err
	}
	whole := v.Data()
	if w.b.packed {
		if whole, err = zstd.DecodeTo(nil, whole); err != nil {
			return &PartError{Part: "baseline", Err: err}
		}
	}
	s, err := snapshot.DecodeFull(whole)
	if err != nil {
		return err
	}
	w.holder.OfferFull(s)
	return nil
}

func (b *baseline) holders() []*peer.Holder {
	var out []*peer.Holder
	for _, w := range b.nodes {
		out = append(out, w.holder)
	}
	return out
}
