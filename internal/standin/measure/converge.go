package measure

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/peer"
	"banyanlug.example/banyanlug/internal/control/platform"
)

const (
	// watchWait is the length of the baseline's watches, the same as that of
	// the mesh's nodes that read the store.
	watchWait = 5 * time.Second
	// trailingTime is how long traffic is still counted after the last node has
	// the version, to include the polls that follow the responses.
	trailingTime = 100 * time.Millisecond
)

// Converge measures how long a confirmed change takes to become active on all
// nodes and the bytes this moves, against the baseline in the same run.
func Converge(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure converge", flag.ContinueOnError)
	fs.SetOutput(out)
	c := converge{}
	fs.IntVar(&c.nodes, "nodes", 50, "nodes in all")
	fs.IntVar(&c.domains, "domains", 0, "failure domains; 0 for one for each 191 nodes, two at least")
	fs.IntVar(&c.changes, "changes", 20, "changes confirmed one after another")
	fs.IntVar(&c.services, "services", 28, "services of the base configuration")
	fs.DurationVar(&c.rest, "rest", 10*time.Second, "how long idle traffic is measured")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the nodes' jitter and boots")
	fs.Bool("json", false, "kept for uniformity: the last line always is JSON")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_CONVERGE")); err != nil {
		return fmt.Errorf("converge: %w", err)
	}
	if c.nodes < 1 || c.changes < 1 || c.services < 1 || c.rest <= 0 {
		return fmt.Errorf("converge: %w", &SettingError{Text: "-nodes, -changes, -services and -rest are above 0"})
	}
	return report(ctx, out, "converge", c.run)
}

type converge struct {
	nodes, domains, changes, services int
	rest                              time.Duration
	seed                              uint64
}

// side is the mesh or a baseline; each change is applied to all sides in turn.
type side struct {
	clock   *timer.Service
	store   *measuredStore
	holders []*peer.Holder
	// peerTraffic returns the bytes between nodes, each counted once.
	peerTraffic func() uint64
	prepare     func(context.Context, *snapshot.Snapshot) error

	idlePeer, idleStore float64 // bytes a second, all nodes
	idleCalls           float64 // calls a second
	mu                  sync.Mutex
	convergeTimes       []time.Duration
	confirmTimes        []time.Duration
	changeTime          time.Duration
	peerBytes           uint64
	storeBytes          uint64
	calls               platform.Calls
}

func (c *converge) run(ctx context.Context) (*convergeFigures, error) {
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	clock := timer.New()
	g.start(clock.Run)
	mesh, stop, err := c.mesh(ctx, g, clock)
	if err != nil {
		return nil, err
	}
	defer stop()
	sides := []*side{mesh}
	for _, compressed := range []bool{false, true} {
		b, err := startBaseline(g, clock, c.nodes, compressed)
		if err != nil {
			return nil, err
		}
		s := &side{clock: clock, store: b.store, holders: b.holders(), peerTraffic: func() uint64 { return 0 }, prepare: b.prepare}
		sides = append(sides, s)
		if _, err := s.apply(ctx, baseConfiguration(c.services)); err != nil {
			return nil, err
		}
	}
	if err := c.idle(ctx, clock, sides); err != nil {
		return nil, err
	}
	f := &convergeFigures{Nodes: c.nodes, Changes: c.changes, Services: c.services, Seed: c.seed, Domains: c.domains}
	for i := range c.changes {
		for _, s := range sides {
			d, err := s.change(ctx, deadlineChange(i, c.services))
			if err != nil {
				return nil, err
			}
			f.DeltaBytes += float64(len(d.Bytes())) / float64(c.changes*len(sides))
		}
	}
	full, err := mesh.store.current.EncodeFull()
	if err != nil {
		return nil, err
	}
	f.WholeBytes = len(full)
	f.fill(sides)
	return f, nil
}

func (c *converge) mesh(ctx context.Context, g *group, clock *timer.Service) (*side, func(), error) {
	fl, err := startFleet(ctx, g, clock, c.seed, c.nodes, c.domains, c.services)
	if err != nil {
		return nil, nil, err
	}
	s := fl.store
	c.domains = fl.domains
	stop := func() { fl.stop(fl.members...) }
	m := &side{clock: clock, store: s, peerTraffic: fl.peerBytes, prepare: func(context.Context, *snapshot.Snapshot) error { return nil }}
	for _, member := range fl.members {
		m.holders = append(m.holders, member.node.Holder())
	}
	return m, stop, nil
}

// idle measures traffic without a change, on all sides at once.
func (c *converge) idle(ctx context.Context, clock *timer.Service, sides []*side) error {
	// Waits until the start's traffic has ended.
	if err := clock.Sleep(ctx, 2*c.rest); err != nil {
		return err
	}
	began := clock.Now()
	before := make([]tally, len(sides))
	for i, s := range sides {
		before[i] = s.tally()
	}
	if err := clock.Sleep(ctx, c.rest); err != nil {
		return err
	}
	secs := clock.Since(began).Seconds()
	for i, s := range sides {
		t := s.tally()
		s.idlePeer = float64(t.peer-before[i].peer) / secs
		s.idleStore = float64(t.store-before[i].store) / secs
		s.idleCalls = float64(t.calls.Since(before[i].calls).Total()) / secs
	}
	return nil
}

// tally is a side's traffic so far.
type tally struct {
	peer, store uint64
	calls       platform.Calls
}

func (s *side) tally() tally {
	return tally{peer: s.peerTraffic(), store: s.store.nodeTraffic.total.Load(), calls: s.store.standin.Calls()}
}

// change applies one change and counts the traffic it causes.
func (s *side) change(ctx context.Context, c snapshot.Change) (*snapshot.Delta, error) {
	began, before := s.clock.Now(), s.tally()
	d, err := s.apply(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := s.clock.Sleep(ctx, trailingTime); err != nil {
		return nil, err
	}
	after := s.tally()
	s.changeTime += s.clock.Since(began)
	s.peerBytes += after.peer - before.peer
	s.storeBytes += after.store - before.store
	for k, n := range after.calls.Since(before.calls) {
		s.calls[k] += n
	}
	return d, nil
}

// apply publishes a change and waits until all nodes have it.
func (s *side) apply(ctx context.Context, c snapshot.Change) (*snapshot.Delta, error) {
	d, next, err := s.store.next(c)
	if err != nil {
		return nil, err
	}
	if err := s.prepare(ctx, next); err != nil {
		return nil, err
	}
	ctx, cancel := s.clock.WithTimeout(ctx, settleTimeout)
	defer cancel()
	began := s.clock.Now()
	var wg sync.WaitGroup
	for _, h := range s.holders {
		wg.Go(func() { s.awaitVersion(ctx, h, next.Version(), began) })
	}
	err = s.store.publish(ctx, d, next)
	if err != nil {
		cancel()
	}
	s.confirmTimes = append(s.confirmTimes, s.clock.Since(began))
	wg.Wait()
	if err == nil && ctx.Err() != nil {
		err = &PartError{Part: "converge", Err: context.Cause(ctx)}
	}
	return d, err
}

func (s *side) awaitVersion(ctx context.Context, h *peer.Holder, version uint64, began time.Time) {
	for {
		changed := h.Changed()
		if h.Current().Version() >= version {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	took := s.clock.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.convergeTimes = append(s.convergeTimes, took)
}

// sideFigures are the figures of one side; convergeFigures defines them.
type sideFigures struct {
	P50            float64
	P99            float64
	Max            float64
	ConfirmP50     float64
	Bytes          float64
	GrossBytes     float64
	PeerBytes      float64
	StoreBytes     float64
	IdleBytes      float64
	Calls          float64
	CallsPerChange float64
}

func (s *side) figures(changes int) sideFigures {
	// The first recorded times are of the baseline's initial configuration, so
	// only the last ones are of changes.
	nodes := len(s.holders)
	convergeTimes := s.convergeTimes[len(s.convergeTimes)-nodes*changes:]
	confirmTimes := slices.Clone(s.confirmTimes[len(s.confirmTimes)-changes:])
	convergeTimes = slices.Clone(convergeTimes)
	slices.Sort(convergeTimes)
	slices.Sort(confirmTimes)
	n := float64(nodes * changes)
	secs := s.changeTime.Seconds()
	peerBytes := (float64(s.peerBytes) - s.idlePeer*secs) / n
	storeBytes := (float64(s.storeBytes) - s.idleStore*secs) / n
	return sideFigures{
		P50: percentile(convergeTimes, 50), P99: percentile(convergeTimes, 99), Max: percentile(convergeTimes, 100), ConfirmP50: percentile(confirmTimes, 50),
		Bytes: round2(peerBytes + storeBytes), GrossBytes: round2(float64(s.peerBytes+s.storeBytes) / n),
		PeerBytes: round2(peerBytes), StoreBytes: round2(storeBytes),
		IdleBytes: round2((s.idlePeer + s.idleStore) / float64(nodes)),
		Calls:     round2(float64(s.calls.Total()) / secs), CallsPerChange: round2((float64(s.calls.Total()) - s.idleCalls*secs) / float64(changes)),
	}
}

// percentile returns the nearest-rank percentile of sorted durations, in ms.
func percentile(d []time.Duration, percent float64) float64 {
	if len(d) == 0 {
		return 0
	}
	i := int(math.Ceil(percent/100*float64(len(d)))) - 1
	return round2(float64(d[max(0, i)].Microseconds()) / 1000)
}

// round2 rounds to two decimals.
func round2(f float64) float64 { return math.Round(f*100) / 100 }
