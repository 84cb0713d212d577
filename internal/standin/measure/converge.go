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
	// watchWait is the length of the baseline's watches, that of the readers'.
	watchWait = 5 * time.Second
	// trail is how long after the last node holds a version bytes are still
	// counted to it: the polls that follow the answers.
	trail = 100 * time.Millisecond
)

// Converge measures how long a confirmed change takes to be in force
// everywhere and what that moves, against the baseline in the same run.
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

// converge is one run of the measurement.
type converge struct {
	nodes, domains, changes, services int
	rest                              time.Duration
	seed                              uint64
}

// side is the mesh or a baseline: the same changes go through both in turn.
type side struct {
	clk     *timer.Service
	stored  *stored
	holders []*peer.Holder
	// wire returns the bytes between nodes, each counted once.
	wire    func() uint64
	prepare func(context.Context, *snapshot.Snapshot) error

	idleWire, idleStore float64 // bytes a second, all nodes
	idleCalls           float64 // calls a second
	mu                  sync.Mutex
	took                []time.Duration
	confirm             []time.Duration
	spent               time.Duration
	wireBytes           uint64
	storeBytes          uint64
	calls               platform.Calls
}

func (c *converge) run(ctx context.Context) (*convergeFigures, error) {
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	clk := timer.New()
	g.start(clk.Run)
	mesh, stop, err := c.mesh(ctx, g, clk)
	if err != nil {
		return nil, err
	}
	defer stop()
	sides := []*side{mesh}
	for _, packed := range []bool{false, true} {
		b, err := startBaseline(g, clk, c.nodes, packed)
		if err != nil {
			return nil, err
		}
		s := &side{clk: clk, stored: b.stored, holders: b.holders(), wire: func() uint64 { return 0 }, prepare: b.prepare}
		sides = append(sides, s)
		if _, err := s.put(ctx, base(c.services)); err != nil {
			return nil, err
		}
	}
	if err := c.idle(ctx, clk, sides); err != nil {
		return nil, err
	}
	f := &convergeFigures{Nodes: c.nodes, Changes: c.changes, Services: c.services, Seed: c.seed, Domains: c.domains}
	for i := range c.changes {
		for _, s := range sides {
			d, err := s.change(ctx, change(i, c.services))
			if err != nil {
				return nil, err
			}
			f.DeltaBytes += float64(len(d.Bytes())) / float64(c.changes*len(sides))
		}
	}
	whole, err := mesh.stored.held.EncodeFull()
	if err != nil {
		return nil, err
	}
	f.WholeBytes = len(whole)
	f.fill(sides)
	return f, nil
}

func (c *converge) mesh(ctx context.Context, g *group, clk *timer.Service) (*side, func(), error) {
	fl, err := startFleet(ctx, g, clk, c.seed, c.nodes, c.domains, c.services)
	if err != nil {
		return nil, nil, err
	}
	s := fl.stored
	c.domains = fl.domains
	stop := func() { fl.stop(fl.members...) }
	m := &side{clk: clk, stored: s, wire: fl.moved, prepare: func(context.Context, *snapshot.Snapshot) error { return nil }}
	for _, member := range fl.members {
		m.holders = append(m.holders, member.node.Holder())
	}
	return m, stop, nil
}

// idle measures what moves without a change, on all sides at once.
func (c *converge) idle(ctx context.Context, clk *timer.Service, sides []*side) error {
	// What the start moved is past by then.
	if err := clk.Sleep(ctx, 2*c.rest); err != nil {
		return err
	}
	began := clk.Now()
	before := make([]tally, len(sides))
	for i, s := range sides {
		before[i] = s.tally()
	}
	if err := clk.Sleep(ctx, c.rest); err != nil {
		return err
	}
	length := clk.Since(began).Seconds()
	for i, s := range sides {
		t := s.tally()
		s.idleWire = float64(t.wire-before[i].wire) / length
		s.idleStore = float64(t.store-before[i].store) / length
		s.idleCalls = float64(t.calls.Since(before[i].calls).Total()) / length
	}
	return nil
}

// tally is what a side has moved so far.
type tally struct {
	wire, store uint64
	calls       platform.Calls
}

func (s *side) tally() tally {
	return tally{wire: s.wire(), store: s.stored.wire.total.Load(), calls: s.stored.store.Calls()}
}

// change puts one change in force and counts what that moved.
func (s *side) change(ctx context.Context, c snapshot.Change) (*snapshot.Delta, error) {
	// The writing of the baseline's whole value comes before.
	began, before := s.clk.Now(), s.tally()
	d, err := s.put(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := s.clk.Sleep(ctx, trail); err != nil {
		return nil, err
	}
	after := s.tally()
	s.spent += s.clk.Since(began)
	s.wireBytes += after.wire - before.wire
	s.storeBytes += after.store - before.store
	for k, n := range after.calls.Since(before.calls) {
		s.calls[k] += n
	}
	return d, nil
}

// put publishes a change and waits until all hold it.
func (s *side) put(ctx context.Context, c snapshot.Change) (*snapshot.Delta, error) {
	d, next, err := s.stored.next(c)
	if err != nil {
		return nil, err
	}
	if err := s.prepare(ctx, next); err != nil {
		return nil, err
	}
	ctx, cancel := s.clk.WithTimeout(ctx, settleTimeout)
	defer cancel()
	began := s.clk.Now()
	var wg sync.WaitGroup
	for _, h := range s.holders {
		wg.Go(func() { s.await(ctx, h, next.Version(), began) })
	}
	err = s.stored.publish(ctx, d, next)
	if err != nil {
		cancel()
	}
	s.confirm = append(s.confirm, s.clk.Since(began))
	wg.Wait()
	if err == nil && ctx.Err() != nil {
		err = &PartError{Part: "converge", Err: context.Cause(ctx)}
	}
	return d, err
}

func (s *side) await(ctx context.Context, h *peer.Holder, version uint64, began time.Time) {
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
	took := s.clk.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took = append(s.took, took)
}

// sideFigures are those of one side. Bytes are counted once, where they are
// received, between nodes and between nodes and store, and less what idle
// nodes move in the same time unless called gross.
type sideFigures struct {
	P50           float64
	P99           float64
	Max           float64
	ConfirmP50    float64
	Bytes         float64
	GrossBytes    float64
	PeerBytes     float64
	StoreBytes    float64
	IdleBytes     float64
	Calls         float64
	CallsOfChange float64
}

func (s *side) figures(changes int) sideFigures {
	// The first put is the base configuration's, except on the mesh, which
	// was brought up with it.
	per := len(s.holders)
	took := s.took[len(s.took)-per*changes:]
	confirm := slices.Clone(s.confirm[len(s.confirm)-changes:])
	took = slices.Clone(took)
	slices.Sort(took)
	slices.Sort(confirm)
	n := float64(per * changes)
	secs := s.spent.Seconds()
	wire := (float64(s.wireBytes) - s.idleWire*secs) / n
	stored := (float64(s.storeBytes) - s.idleStore*secs) / n
	return sideFigures{
		P50: at(took, 50), P99: at(took, 99), Max: at(took, 100), ConfirmP50: at(confirm, 50),
		Bytes: round(wire + stored), GrossBytes: round(float64(s.wireBytes+s.storeBytes) / n),
		PeerBytes: round(wire), StoreBytes: round(stored),
		IdleBytes: round((s.idleWire + s.idleStore) / float64(per)),
		Calls:     round(float64(s.calls.Total()) / secs), CallsOfChange: round((float64(s.calls.Total()) - s.idleCalls*secs) / float64(changes)),
	}
}

// at returns a percentile of sorted durations in ms.
func at(d []time.Duration, percent float64) float64 {
	if len(d) == 0 {
		return 0
	}
	i := int(math.Ceil(percent/100*float64(len(d)))) - 1
	return round(float64(d[max(0, i)].Microseconds()) / 1000)
}

// round keeps what figures of this kind are good for.
func round(f float64) float64 { return math.Round(f*100) / 100 }
