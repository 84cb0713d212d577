package measure

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/platform"
)

// Idle measures what a fleet costs while nothing changes. One node runs in its
// own process, to measure its memory and processor time; the others share one.
func Idle(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure idle", flag.ContinueOnError)
	fs.SetOutput(out)
	c := idle{}
	fs.IntVar(&c.nodes, "nodes", 50, "nodes in all")
	fs.IntVar(&c.domains, "domains", 0, "failure domains; 0 for one for each 191 nodes, two at least")
	fs.IntVar(&c.services, "services", 28, "services of the configuration")
	fs.DurationVar(&c.settle, "settle", 20*time.Second, "time between the last join and the measurement")
	fs.DurationVar(&c.length, "for", 24*time.Second, "length of the measurement")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the nodes' jitter and boots")
	fs.Bool("json", false, "kept for uniformity: the last line always is JSON")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_IDLE")); err != nil {
		return fmt.Errorf("idle: %w", err)
	}
	if c.nodes < 1 || c.services < 1 || c.length <= 0 {
		return fmt.Errorf("idle: %w", &SettingError{Text: "-nodes, -services and -for are above 0"})
	}
	return report(ctx, out, "idle", c.run)
}

type idle struct {
	nodes, domains, services int
	settle, length           time.Duration
	seed                     uint64
}

// idleFigures is the result. Bytes of a node are those received and those to
// and from the store; the both_ways_ figures count received and sent bytes. The
// own_ figures are of the node that has its own process.
type idleFigures struct {
	Nodes      int     `json:"nodes"`
	Domains    int     `json:"domains"`
	Services   int     `json:"services"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Bytes      float64 `json:"control_bytes_per_node_per_s"`
	StoreBytes float64 `json:"store_bytes_per_node_per_s"`
	BothP50    float64 `json:"both_ways_bytes_per_s_p50"`
	BothMax    float64 `json:"both_ways_bytes_per_s_max"`
	Changes    float64 `json:"member_changes_per_node_per_s"`
	CPU        float64 `json:"cpu_percent_per_node"`
	SharedCPU  float64 `json:"shared_cpu_percent_per_node"`
	RSS        float64 `json:"rss_mb_per_node"`
	OwnBytes   float64 `json:"own_both_ways_bytes_per_s"`
	Calls      float64 `json:"store_calls_per_s"`
	Writes     float64 `json:"store_writes_per_s"`
}

// idleSample is the fleet's counters at one moment.
type idleSample struct {
	at         time.Time
	peerBytes  uint64
	storeBytes uint64
	nodeBytes  []uint64
	changes    uint64
	calls      platform.Calls
	sharedCPU  time.Duration
	ownCPU     time.Duration
	ownMetrics map[string]float64
}

func (c *idle) run(ctx context.Context) (*idleFigures, error) {
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	clock := timer.New()
	g.start(clock.Run)
	fl, err := startFleet(ctx, g, clock, c.seed, c.nodes, c.domains, c.services)
	if err != nil {
		return nil, err
	}
	defer func() { fl.stop(fl.members...) }()
	sep, err := startSeparateNode(ctx, fl)
	if err != nil {
		return nil, err
	}
	defer sep.stop()
	if err := clock.Sleep(ctx, c.settle); err != nil {
		return nil, err
	}
	before, err := c.sample(ctx, clock, fl, sep)
	if err != nil {
		return nil, err
	}
	if err := clock.Sleep(ctx, c.length); err != nil {
		return nil, err
	}
	after, err := c.sample(ctx, clock, fl, sep)
	if err != nil {
		return nil, err
	}
	return c.figures(fl, before, after), nil
}

func (c *idle) sample(ctx context.Context, clock *timer.Service, fl *fleet, sep *separateNode) (idleSample, error) {
	cpu, err := sep.node.cpu()
	if err != nil {
		return idleSample{}, err
	}
	own, err := sep.metrics(ctx, clock)
	if err != nil {
		return idleSample{}, err
	}
	s := idleSample{
		at: clock.Now(), peerBytes: fl.peerBytes(), storeBytes: fl.store.nodeTraffic.total.Load(), calls: fl.store.standin.Calls(), ownCPU: cpu, ownMetrics: own,
	}
	for _, m := range fl.members {
		s.nodeBytes = append(s.nodeBytes, m.node.Bytes().In()+m.node.Bytes().Out())
		s.changes += m.node.View().Cursor().Seq()
	}
	s.sharedCPU, err = processorTime()
	return s, err
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, &PartError{Part: "usage", Err: err}
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

func (c *idle) figures(fl *fleet, before, after idleSample) *idleFigures {
	secs, n := after.at.Sub(before.at).Seconds(), float64(c.nodes)
	rates := make([]float64, len(before.nodeBytes))
	for i := range rates {
		rates[i] = float64(after.nodeBytes[i]-before.nodeBytes[i]) / secs
	}
	slices.Sort(rates)
	calls := after.calls.Since(before.calls)
	bothWays := func(s idleSample) float64 {
		return s.ownMetrics["banyanlug_control_received_bytes_total"] + s.ownMetrics["banyanlug_control_sent_bytes_total"]
	}
	return &idleFigures{
		Nodes: c.nodes, Domains: fl.domains, Services: c.services, Seed: c.seed, Seconds: round2(secs),
		Bytes:      round2((float64(after.peerBytes-before.peerBytes) + float64(after.storeBytes-before.storeBytes)) / n / secs),
		StoreBytes: round2(float64(after.storeBytes-before.storeBytes) / n / secs),
		BothP50:    round2(rates[len(rates)/2]), BothMax: round2(rates[len(rates)-1]),
		Changes:   round2(float64(after.changes-before.changes) / n / secs),
		CPU:       round2(100 * (after.ownCPU - before.ownCPU).Seconds() / secs),
		SharedCPU: round2(100 * (after.sharedCPU - before.sharedCPU).Seconds() / secs / n),
		RSS:       round2(after.ownMetrics["process_resident_memory_bytes"] / 1e6),
		OwnBytes:  round2((bothWays(after) - bothWays(before)) / secs),
		Calls:     round2(float64(calls.Total()) / secs), Writes: round2(float64(calls.Writes()) / secs),
	}
}
