package measure

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	mesh "banyanlug.example/banyanlug/internal/standin/fleet"
	"banyanlug.example/banyanlug/internal/standin/load"
	"banyanlug.example/banyanlug/internal/standin/target"
)

const (
	isolationSlots    = 17 // per target
	isolationPromised = 11 // of these slots
	payingKey         = "measure-paying"
	trialKey          = "measure-trial"
)

// isolationFigures is the result, printed as one line of JSON.
type isolationFigures struct {
	Seconds           float64        `json:"seconds_each"`
	Targets           int            `json:"targets"`
	CapacityPerSecond float64        `json:"capacity_per_s"`
	PayingPerSecond   float64        `json:"paying_per_s"`
	TrialPerSecond    float64        `json:"trial_per_s"`
	QuietP50          float64        `json:"quiet_paying_ms_p50"`
	QuietP99          float64        `json:"quiet_paying_ms_p99"`
	QuietFailed       int            `json:"quiet_paying_failed"`
	FloodP50          float64        `json:"flood_paying_ms_p50"`
	FloodP99          float64        `json:"flood_paying_ms_p99"`
	FloodFailed       int            `json:"flood_paying_failed"`
	P99Ratio          float64        `json:"paying_p99_ratio"`
	TrialOK           int            `json:"trial_ok"`
	TrialFailed       map[string]int `json:"trial_failed_by_type"`
	OnPromised        int64          `json:"trial_on_promised_slots"`
	BaselineQuietP99  float64        `json:"baseline_quiet_paying_ms_p99"`
	BaselineFloodP99  float64        `json:"baseline_flood_paying_ms_p99"`
	BaselineFailed    int            `json:"baseline_flood_paying_failed"`
	BaselineRatio     float64        `json:"baseline_paying_p99_ratio"`
	BaselinePromised  int64          `json:"baseline_trial_on_promised_slots"`
}

// Isolation measures how a flood of trial calls affects paying organisations'
// calls, through nodes and, in the same run, without them: round robin directly
// to targets that queue.
func Isolation(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure isolation", flag.ContinueOnError)
	seconds := fs.Float64("seconds", 5, "how long each of the phases takes")
	targets := fs.Int("targets", 5, "how many targets the pool has")
	work := fs.Duration("work", 100*time.Millisecond, "how long a call runs at its target")
	flood := fs.Float64("flood", 20, "the trial load as a multiple of the pool's capacity")
	asJSON := fs.Bool("json", false, "write one JSON line in place of text")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *targets < 1 || *targets > 50 || *seconds < 0.1 || *seconds > 300 || *work < time.Millisecond || *flood < 0 || *flood > 100 {
		return &SettingError{Text: "targets 1 to 50, seconds 0.1 to 300, work 1ms or more, flood 0 to 100"}
	}
	m := &isolation{clock: timer.New(), targets: *targets, work: *work, flood: *flood, length: time.Duration(*seconds * float64(time.Second))}
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	g.start(m.clock.Run)
	figures, err := m.run(ctx)
	if err != nil {
		return err
	}
	b, err := json.Marshal(figures)
	if err != nil {
		return fmt.Errorf("encode the figures: %w", err)
	}
	if *asJSON {
		_, err = fmt.Fprintf(out, "%s\n", b)
		return err
	}
	_, err = fmt.Fprintf(out, "paying p99 %.1f ms quiet, %.1f ms under a trial flood of %.0f/s (ratio %.3f), %d failed; without nodes %.1f and %.1f ms (%.2f), %d failed\n",
		figures.QuietP99, figures.FloodP99, figures.TrialPerSecond, figures.P99Ratio, figures.FloodFailed,
		figures.BaselineQuietP99, figures.BaselineFloodP99, figures.BaselineRatio, figures.BaselineFailed)
	return err
}

type isolation struct {
	clock   *timer.Service
	targets int
	work    time.Duration
	flood   float64
	length  time.Duration
}

func (m *isolation) capacity() float64 {
	return float64(m.targets) * isolationSlots / m.work.Seconds()
}

// payingRate is half of the calls a second that the promised slots can serve.
func (m *isolation) payingRate() float64 {
	return m.capacity() * isolationPromised / isolationSlots / 2
}

func (m *isolation) run(ctx context.Context) (isolationFigures, error) {
	f := isolationFigures{
		Seconds: m.length.Seconds(), Targets: m.targets, CapacityPerSecond: math.Round(m.capacity()),
		PayingPerSecond: math.Round(m.payingRate()), TrialPerSecond: math.Round(m.capacity() * m.flood),
	}
	if err := m.withNodes(ctx, &f); err != nil {
		return f, err
	}
	return f, m.withoutNodes(ctx, &f)
}

// withNodes runs the phases through nodes.
func (m *isolation) withNodes(ctx context.Context, f *isolationFigures) error {
	pool := snapshot.NewPool("pool", "service", snapshot.Slots(isolationSlots), snapshot.Promised(isolationPromised),
		snapshot.Connections(1000), snapshot.Upstreams(m.targets))
	fl, err := mesh.Start(m.clock, []snapshot.Pool{pool}, mesh.Targets(target.Slots(0)))
	defer fl.Stop()
	if err != nil {
		return err
	}
	if err := fl.WaitUntil(ctx, "nodes become ready", fl.Ready); err != nil {
		return err
	}
	objects := []snapshot.Object{
		snapshot.NewOrganisation("paying", snapshot.Paying, snapshot.HashKey(payingKey)),
		snapshot.NewOrganisation("trial", snapshot.Trial, snapshot.HashKey(trialKey)),
		snapshot.NewService("service"), pool,
		snapshot.NewRoute("route", "/", "service", "pool", snapshot.Idempotent(), snapshot.Deadline(2*time.Second), snapshot.Retries(2)),
	}
	if _, _, _, err := fl.Confirm(ctx, objects); err != nil {
		return err
	}
	var urls []string
	for _, i := range fl.Instances() {
		urls = append(urls, "http://"+i.Node().Callers().String()+"/?sleep="+m.work.String())
	}
	quiet, flooded, trial := m.phases(ctx, urls)
	f.QuietP50, f.QuietP99, f.QuietFailed = quiet.QuantileMS(50), quiet.QuantileMS(99), quiet.FailedTotal()
	f.FloodP50, f.FloodP99, f.FloodFailed = flooded.QuantileMS(50), flooded.QuantileMS(99), flooded.FailedTotal()
	f.P99Ratio = round3(f.FloodP99 / f.QuietP99)
	f.TrialOK, f.TrialFailed = trial.OK(), trial.Failed()
	for _, i := range fl.Instances() {
		f.OnPromised = max(f.OnPromised, i.Target().MaxTrialRunning()-(isolationSlots-isolationPromised))
	}
	f.OnPromised = max(f.OnPromised, 0)
	return nil
}

// withoutNodes runs the phases directly against targets that queue.
func (m *isolation) withoutNodes(ctx context.Context, f *isolationFigures) error {
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	var urls []string
	var servers []*target.Server
	for range m.targets {
		ln, err := listenLoopback()
		if err != nil {
			return err
		}
		t := target.New(m.clock, target.Slots(isolationSlots), target.QueueBeyondSlots())
		g.start(func(ctx context.Context, done chan<- error) {
			served := make(chan error, 1)
			go t.Serve(ln, served)
			<-ctx.Done()
			t.Close()
			done <- <-served
		})
		servers = append(servers, t)
		urls = append(urls, "http://"+ln.Addr().String()+"/?sleep="+m.work.String())
	}
	quiet, flooded, _ := m.phases(ctx, urls)
	f.BaselineQuietP99, f.BaselineFloodP99, f.BaselineFailed = quiet.QuantileMS(99), flooded.QuantileMS(99), flooded.FailedTotal()
	f.BaselineRatio = round3(f.BaselineFloodP99 / f.BaselineQuietP99)
	for _, t := range servers {
		f.BaselinePromised = max(f.BaselinePromised, t.MaxTrialRunning()-(isolationSlots-isolationPromised))
	}
	f.BaselinePromised = max(f.BaselinePromised, 0)
	return nil
}

// phases runs a warm-up, a quiet phase and the flood, round robin over urls.
func (m *isolation) phases(ctx context.Context, urls []string) (quiet, flooded, trial *load.Result) {
	paying, trials := load.New(m.clock), load.New(m.clock)
	defer paying.Close()
	defer trials.Close()
	call := func(key string, class snapshot.Class) func(int) load.Call {
		return func(n int) load.Call {
			return load.Call{URL: urls[n%len(urls)], Method: http.MethodGet, APIKey: key, Class: class.String()}
		}
	}
	paying.Run(ctx, m.payingRate(), m.length/4, call(payingKey, snapshot.Paying))
	quiet = paying.Run(ctx, m.payingRate(), m.length, call(payingKey, snapshot.Paying))
	flooding, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		trial = trials.Run(flooding, m.capacity()*m.flood, 2*m.length, call(trialKey, snapshot.Trial))
	})
	// The flood reaches its rate before the paying calls are counted.
	_ = m.clock.Sleep(ctx, m.length/4)
	flooded = paying.Run(ctx, m.payingRate(), m.length, call(payingKey, snapshot.Paying))
	stop()
	wg.Wait()
	return quiet, flooded, trial
}

func round3(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return math.Round(x*1000) / 1000
}
