package measure

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// restartsPerDay is the restart rate of the full-size fleet of 4,200
	// instances. Every node receives each change, so a node's cost follows the
	// fleet's rate.
	restartsPerDay = 810
	// restartSpeedup multiplies the restart rate to shorten the measurement.
	restartSpeedup = 20
	// racksPerDomain is the number of racks that a domain's nodes are split into.
	racksPerDomain = 8
	// drainGrace is how long a draining instance still runs after all nodes
	// have stopped sending it new work.
	drainGrace   = 300 * time.Millisecond
	flushTimeout = 2 * time.Second
)

// Churn measures the control traffic of joining, leaving and failing instances
// and how long the fleet takes to detect each change.
func Churn(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure churn", flag.ContinueOnError)
	fs.SetOutput(out)
	c := churn{}
	fs.IntVar(&c.nodes, "nodes", 50, "nodes in all")
	fs.IntVar(&c.domains, "domains", 0, "failure domains; 0 for one for each 191 nodes, two at least")
	fs.IntVar(&c.restarts, "restarts", 6, "instances drained and restarted, at 20 times the letter's rate")
	fs.IntVar(&c.crashes, "crashes", 4, "instances that end without a word")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the choice of instances, the nodes' jitter and boots")
	fs.Bool("json", false, "kept for uniformity: the last line always is JSON")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_CHURN")); err != nil {
		return fmt.Errorf("churn: %w", err)
	}
	if c.nodes < 4 || c.restarts < 1 || c.crashes < 1 {
		return fmt.Errorf("churn: %w", &SettingError{Text: "-nodes is 4 or more, -restarts and -crashes above 0"})
	}
	return report(ctx, out, "churn", c.run)
}

type churn struct {
	nodes, domains, restarts, crashes int
	seed                              uint64
	clock                             *timer.Service
	fl                                *fleet
	idleBytes                         float64 // bytes a second, all nodes
}

// churnFigures is the result. Bytes are those received by nodes and those to
// and from the store, less idle traffic. A lost or draining instance is known
// once no running node would send new work to it; no calls are made.
type churnFigures struct {
	Nodes    int    `json:"nodes"`
	Domains  int    `json:"domains"`
	Seed     uint64 `json:"seed"`
	Restarts int    `json:"restarts"`
	Crashes  int    `json:"crashes"`

	IdleBytes    float64 `json:"idle_bytes_per_node_per_s"`
	RestartBytes float64 `json:"bytes_per_node_per_restart"`
	AtFleetRate  float64 `json:"bytes_per_node_per_s_at_letters_rate"`
	AtTestRate   float64 `json:"bytes_per_node_per_s_at_20_times_the_rate"`
	Calls        float64 `json:"store_calls_per_restart"`

	DrainP50 float64 `json:"drain_known_ms_p50"`
	DrainMax float64 `json:"drain_known_ms_max"`
	BackP50  float64 `json:"restart_known_ms_p50"`
	BackMax  float64 `json:"restart_known_ms_max"`
	CrashP50 float64 `json:"crash_known_ms_p50"`
	CrashMax float64 `json:"crash_known_ms_max"`

	RackNodes    int     `json:"rack_nodes"`
	RackMS       float64 `json:"rack_lost_known_ms"`
	RackBytes    float64 `json:"rack_lost_bytes_per_node"`
	RackBackMS   float64 `json:"rack_back_known_ms"`
	DomainNodes  int     `json:"domain_nodes"`
	DomainMS     float64 `json:"domain_lost_known_ms"`
	DomainBytes  float64 `json:"domain_lost_bytes_per_node"`
	DomainBackMS float64 `json:"domain_back_known_ms"`
	DomainBack   float64 `json:"domain_back_bytes_per_node"`
	Wrong        int     `json:"wrong_views_at_end"`
}

func (c *churn) run(ctx context.Context) (*churnFigures, error) {
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	c.clock = timer.New()
	g.start(c.clock.Run)
	var err error
	if c.fl, err = startFleet(ctx, g, c.clock, c.seed, c.nodes, c.domains, churnServices); err != nil {
		return nil, err
	}
	defer func() { c.fl.stop(c.fl.members...) }()
	if err := c.fl.waitUntil(ctx, "all nodes route to all instances", c.fl.allRouted); err != nil {
		return nil, err
	}
	f := &churnFigures{Nodes: c.nodes, Domains: c.fl.domains, Seed: c.seed, Restarts: c.restarts, Crashes: c.crashes}
	for _, step := range []func(context.Context, *churnFigures) error{c.measureIdle, c.restart, c.crash, c.rack, c.domain} {
		if err := step(ctx, f); err != nil {
			return nil, err
		}
	}
	f.Wrong = c.wrongViews()
	return f, nil
}

// churnServices is the number of services of the configuration.
const churnServices = 28

func (c *churn) bytes() float64 {
	return float64(c.fl.peerBytes() + c.fl.store.nodeTraffic.total.Load())
}

// bytesAboveIdle returns a step's bytes per node, less idle traffic.
func (c *churn) bytesAboveIdle(before float64, since time.Time) float64 {
	return (c.bytes() - before - c.idleBytes*c.clock.Since(since).Seconds()) / float64(c.nodes)
}

func (c *churn) measureIdle(ctx context.Context, f *churnFigures) error {
	if err := c.clock.Sleep(ctx, 10*time.Second); err != nil {
		return err
	}
	began, before := c.clock.Now(), c.bytes()
	if err := c.clock.Sleep(ctx, 12*time.Second); err != nil {
		return err
	}
	c.idleBytes = (c.bytes() - before) / c.clock.Since(began).Seconds()
	f.IdleBytes = round2(c.idleBytes / float64(c.nodes))
	return nil
}

// restart drains and restarts instances one after another.
func (c *churn) restart(ctx context.Context, f *churnFigures) error {
	interval := 24 * time.Hour / (restartsPerDay * restartSpeedup)
	var drainTimes, restartTimes []time.Duration
	began, before, calls := c.clock.Now(), c.bytes(), c.fl.store.standin.Calls()
	for i := range c.restarts {
		next := began.Add(time.Duration(i+1) * interval)
		m := c.fl.members[c.fl.rng.IntN(c.nodes)]
		drainBegan := c.clock.Now()
		m.node.Announce(membership.Draining)
		flushCtx, cancel := c.clock.WithTimeout(ctx, flushTimeout)
		m.node.Flush(flushCtx)
		if err := c.awaitUnused(ctx, m); err != nil {
			cancel()
			return err
		}
		drainTimes = append(drainTimes, c.clock.Since(drainBegan))
		if err := c.clock.Sleep(ctx, drainGrace); err != nil {
			cancel()
			return err
		}
		m.node.Announce(membership.Gone)
		m.node.Flush(flushCtx)
		cancel()
		took, err := c.replace(ctx, m)
		if err != nil {
			return err
		}
		restartTimes = append(restartTimes, took)
		if err := c.clock.Sleep(ctx, next.Sub(c.clock.Now())); err != nil {
			return err
		}
	}
	slices.Sort(drainTimes)
	slices.Sort(restartTimes)
	f.DrainP50, f.DrainMax, f.BackP50, f.BackMax = percentile(drainTimes, 50), percentile(drainTimes, 100), percentile(restartTimes, 50), percentile(restartTimes, 100)
	perRestart := c.bytesAboveIdle(before, began) / float64(c.restarts)
	f.RestartBytes = round2(perRestart)
	f.AtFleetRate = round2(perRestart * restartsPerDay / 86400)
	f.AtTestRate = round2(perRestart * restartSpeedup * restartsPerDay / 86400)
	f.Calls = round2(float64(storeCallsSince(c.fl.store, calls)) / float64(c.restarts))
	return nil
}

func storeCallsSince(s *measuredStore, before platform.Calls) uint64 {
	return s.standin.Calls().Since(before).Total()
}

// replace stops and restarts instances and waits until all running nodes route
// to them.
func (c *churn) replace(ctx context.Context, members ...*member) (time.Duration, error) {
	c.fl.stop(members...)
	began := c.clock.Now()
	for _, m := range members {
		if err := c.fl.start(m); err != nil {
			return 0, err
		}
	}
	err := c.fl.waitUntil(ctx, "all nodes route to the restarted instances", c.fl.allRouted)
	return c.clock.Since(began), err
}

// awaitUnused waits until no running node, other than members themselves, would
// send new work to members.
func (c *churn) awaitUnused(ctx context.Context, members ...*member) error {
	return c.fl.waitUntil(ctx, "no node routes to the leaving instances", func() bool {
		for _, n := range c.fl.members {
			if !n.running() || slices.Contains(members, n) {
				continue
			}
			for _, m := range members {
				if slices.ContainsFunc(n.node.View().Pool(m.pool), func(r membership.Record) bool { return r.Instance() == m.name }) {
					return false
				}
			}
		}
		return true
	})
}

// crash stops instances without an announcement.
func (c *churn) crash(ctx context.Context, f *churnFigures) error {
	var detectTimes []time.Duration
	for range c.crashes {
		m := c.fl.members[c.fl.rng.IntN(c.nodes)]
		began := c.clock.Now()
		c.fl.stop(m)
		if err := c.awaitUnused(ctx, m); err != nil {
			return err
		}
		detectTimes = append(detectTimes, c.clock.Since(began))
		if _, err := c.replace(ctx, m); err != nil {
			return err
		}
	}
	slices.Sort(detectTimes)
	f.CrashP50, f.CrashMax = percentile(detectTimes, 50), percentile(detectTimes, 100)
	return nil
}

// rack stops one rack of a domain at once and restarts it.
func (c *churn) rack(ctx context.Context, f *churnFigures) error {
	members := c.domainMembers(c.fl.members[0].domain)
	lost := members[:max(1, len(members)/racksPerDomain)]
	var err error
	f.RackNodes = len(lost)
	f.RackMS, f.RackBytes, f.RackBackMS, _, err = c.stopAndRestart(ctx, lost)
	return err
}

// domain stops all of a domain's instances at once and restarts them.
func (c *churn) domain(ctx context.Context, f *churnFigures) error {
	lost := c.domainMembers(c.fl.members[1].domain)
	var err error
	f.DomainNodes = len(lost)
	f.DomainMS, f.DomainBytes, f.DomainBackMS, f.DomainBack, err = c.stopAndRestart(ctx, lost)
	return err
}

func (c *churn) domainMembers(domain string) []*member {
	var out []*member
	for _, m := range c.fl.members {
		if m.domain == domain {
			out = append(out, m)
		}
	}
	return out
}

func (c *churn) stopAndRestart(ctx context.Context, members []*member) (detectMS, detectBytes, restartMS, restartBytes float64, err error) {
	began, before := c.clock.Now(), c.bytes()
	c.fl.stop(members...)
	if err = c.awaitUnused(ctx, members...); err != nil {
		return 0, 0, 0, 0, err
	}
	detectMS = round2(float64(c.clock.Since(began).Microseconds()) / 1000)
	detectBytes = round2(c.bytesAboveIdle(before, began))
	began, before = c.clock.Now(), c.bytes()
	took, err := c.replace(ctx, members...)
	return detectMS, detectBytes, round2(float64(took.Microseconds()) / 1000), round2(c.bytesAboveIdle(before, began)), err
}

// wrongViews counts the nodes that do not see exactly c.nodes ready instances.
func (c *churn) wrongViews() int {
	count := 0
	for _, n := range c.fl.members {
		ready := 0
		for _, r := range n.node.View().Records() {
			if r.State() == membership.Ready {
				ready++
			}
		}
		if ready != c.nodes {
			count++
		}
	}
	return count
}
