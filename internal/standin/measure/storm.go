package measure

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

const (
	// Peaks of one second are taken over samplesPerPeak short samples, so that
	// a peak across the boundary of two seconds is not halved.
	sampleInterval = 100 * time.Millisecond
	samplesPerPeak = 10
)

// Storm measures a restart of all nodes at once while the store is slow.
func Storm(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure storm", flag.ContinueOnError)
	fs.SetOutput(out)
	c := storm{}
	fs.IntVar(&c.nodes, "nodes", 50, "nodes in all")
	fs.IntVar(&c.domains, "domains", 0, "failure domains; 0 for one for each 191 nodes, two at least")
	fs.IntVar(&c.services, "services", 280, "services of the configuration")
	fs.DurationVar(&c.slow, "slow", 200*time.Millisecond, "what each call to the store takes longer")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the nodes' jitter and boots")
	fs.Bool("json", false, "kept for uniformity: the last line always is JSON")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_STORM")); err != nil {
		return fmt.Errorf("storm: %w", err)
	}
	if c.nodes < 1 || c.services < 1 {
		return fmt.Errorf("storm: %w", &SettingError{Text: "-nodes and -services are above 0"})
	}
	return report(ctx, out, "storm", c.run)
}

type storm struct {
	nodes, domains, services int
	slow                     time.Duration
	seed                     uint64
	clock                    *timer.Service
	fl                       *fleet
}

// stormFigures is the result. Peaks are sums over all nodes in one second;
// whole_bytes is the least that each node receives; dampedPairs counts the
// held_back_pairs.
type stormFigures struct {
	Nodes          int     `json:"nodes"`
	Domains        int     `json:"domains"`
	Services       int     `json:"services"`
	Seed           uint64  `json:"seed"`
	SlowMS         float64 `json:"store_slow_ms"`
	PeakBytes      float64 `json:"peak_bytes_per_s"`
	PeakStore      float64 `json:"peak_store_bytes_per_s"`
	PeakCalls      float64 `json:"peak_store_calls_per_s"`
	Calls          uint64  `json:"store_calls"`
	Writes         uint64  `json:"store_writes"`
	Bytes          float64 `json:"bytes_per_node"`
	ReadyP50       float64 `json:"ready_ms_p50"`
	ReadyMax       float64 `json:"ready_ms_max"`
	InForceMS      float64 `json:"in_force_ms"`
	KnownMS        float64 `json:"all_known_ms"`
	HeldBack       int     `json:"held_back_pairs"`
	ReadyWithOlder int64   `json:"ready_with_an_older_version"`
	WentBack       int64   `json:"went_back"`
	WholeBytes     int     `json:"whole_bytes"`
}

func (c *storm) run(ctx context.Context) (*stormFigures, error) {
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	c.clock = timer.New()
	g.start(c.clock.Run)
	var err error
	if c.fl, err = startFleet(ctx, g, c.clock, c.seed, c.nodes, c.domains, c.services); err != nil {
		return nil, err
	}
	defer func() { c.fl.stop(c.fl.members...) }()
	s := c.fl.store
	d, next, err := s.next(deadlineChange(0, c.services))
	if err != nil {
		return nil, err
	}
	if err := s.publish(ctx, d, next); err != nil {
		return nil, err
	}
	if err := c.fl.waitUntil(ctx, "all nodes have the change", c.fl.allCurrent); err != nil {
		return nil, err
	}
	c.fl.stop(c.fl.members...)
	full, err := s.current.EncodeFull()
	if err != nil {
		return nil, err
	}
	f := &stormFigures{
		Nodes: c.nodes, Domains: c.fl.domains, Services: c.services, Seed: c.seed,
		SlowMS: float64(c.slow.Milliseconds()), WholeBytes: len(full),
	}
	return f, c.restartAll(ctx, f)
}

// restartAll starts all nodes at once and waits until all have the version and
// see each other as ready.
func (c *storm) restartAll(ctx context.Context, f *stormFigures) error {
	s := c.fl.store
	s.standin.SetSlow(c.slow)
	defer s.standin.SetSlow(0)
	want := s.current.Version()
	before, calls := c.fl.peerBytes()+s.nodeTraffic.total.Load(), s.standin.Calls()
	began := c.clock.Now()
	if err := c.fl.startAll(); err != nil {
		return err
	}
	syncCtx, cancel := c.clock.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var readyWithOlder, downgrades atomic.Int64
	var mu sync.Mutex
	var ready []time.Duration
	for _, m := range c.fl.members {
		wg.Go(func() {
			if m.node.Sync(syncCtx) != nil {
				return
			}
			if m.node.Holder().Current().Version() < want {
				readyWithOlder.Add(1)
			}
			took := c.clock.Since(began)
			mu.Lock()
			defer mu.Unlock()
			ready = append(ready, took)
		})
	}
	sampled := make(chan struct{})
	stop := make(chan struct{})
	go c.samplePeaks(f, &downgrades, stop, sampled)
	err := c.fl.waitUntil(ctx, "all nodes have the version", c.fl.allCurrent)
	f.InForceMS = round2(float64(c.clock.Since(began).Microseconds()) / 1000)
	if err == nil {
		err = c.fl.waitUntil(ctx, "all nodes see each other as ready", c.fl.allReady)
	}
	f.KnownMS = round2(float64(c.clock.Since(began).Microseconds()) / 1000)
	f.HeldBack = c.fl.dampedPairs()
	wg.Wait()
	close(stop)
	<-sampled
	slices.Sort(ready)
	f.ReadyP50, f.ReadyMax = percentile(ready, 50), percentile(ready, 100)
	f.ReadyWithOlder, f.WentBack = readyWithOlder.Load(), downgrades.Load()
	f.Bytes = round2(float64(c.fl.peerBytes()+s.nodeTraffic.total.Load()-before) / float64(c.nodes))
	n := s.standin.Calls().Since(calls)
	f.Calls, f.Writes = n.Total(), n.Writes()
	return err
}

// samplePeaks records the peaks and counts nodes' changes to an older version.
func (c *storm) samplePeaks(f *stormFigures, downgrades *atomic.Int64, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	type point struct{ bytes, store, calls uint64 }
	var points []point
	versions := make([]uint64, len(c.fl.members))
	tick := c.clock.Subscribe(sampleInterval)
	defer tick.Stop()
	for {
		p := point{bytes: c.fl.peerBytes(), store: c.fl.store.nodeTraffic.total.Load(), calls: c.fl.store.standin.Calls().Total()}
		points = append(points, p)
		first := points[max(0, len(points)-1-samplesPerPeak)]
		f.PeakBytes = max(f.PeakBytes, float64(p.bytes-first.bytes))
		f.PeakStore = max(f.PeakStore, float64(p.store-first.store))
		f.PeakCalls = max(f.PeakCalls, float64(p.calls-first.calls))
		for i, m := range c.fl.members {
			v := m.node.Holder().Current().Version()
			if v < versions[i] {
				downgrades.Add(1)
			}
			versions[i] = v
		}
		select {
		case <-stop:
			return
		case <-tick.C():
		}
	}
}
