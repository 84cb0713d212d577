package measure

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"banyanlug.example/banyanlug/examples"
	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	mesh "banyanlug.example/banyanlug/internal/standin/fleet"
	"banyanlug.example/banyanlug/internal/standin/load"
	"banyanlug.example/banyanlug/internal/standin/target"
)

const (
	// faultBodyBytes is the length of responses, which is compared to detect
	// truncation.
	faultBodyBytes = 3000
	// faultRate is in calls a second, low enough that the targets left by a
	// fault can serve it.
	faultRate     = 800
	faultCallTime = 30 * time.Millisecond
	// callerNodes is the number of nodes that receive the calls; they are never
	// stopped.
	callerNodes = 4
)

// faultFigures is the result, printed as one line of JSON.
type faultFigures struct {
	Seed             uint64         `json:"seed"`
	Calls            int            `json:"calls"`
	OK               int            `json:"calls_ok"`
	FailedByType     map[string]int `json:"failed_by_type"`
	PlannedCalls     int            `json:"calls_while_planned_stops"`
	PlannedFailed    map[string]int `json:"failed_while_planned_stops"`
	RanTwice         int            `json:"ran_twice"`
	WronglyNotRun    int            `json:"wrongly_not_run"`
	TruncatedAsWhole int            `json:"truncated_as_whole"`
	CutOff           int            `json:"cut_off_by_planned_stop"`
	OnPromised       int64          `json:"trial_on_promised_slots"`
	Faults           map[string]int `json:"faults"`
	P50              float64        `json:"ms_p50"`
	P99              float64        `json:"ms_p99"`
}

// Faults loads the khadtai example's deployment with calls of both classes,
// first during planned stops of nodes, then also during target crashes, slow
// targets and store outages. It compares the outcomes reported to callers with
// the calls that targets ran.
func Faults(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure faults", flag.ContinueOnError)
	seconds := fs.Float64("seconds", 8, "how long each of the two phases takes")
	seed := fs.Uint64("seed", 1, "seed of the order of faults")
	asJSON := fs.Bool("json", false, "write one JSON line in place of text")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *seconds < 1 || *seconds > 600 {
		return &SettingError{Text: "seconds 1 to 600"}
	}
	m := &faults{
		clock: timer.New(), length: time.Duration(*seconds * float64(time.Second)),
		rand: rand.New(rand.NewPCG(*seed, 1)), notRun: map[string]bool{}, nonIdempotent: map[string]bool{},
		figures: faultFigures{Seed: *seed, Faults: map[string]int{}},
	}
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	g.start(m.clock.Run)
	if err := m.run(ctx); err != nil {
		return err
	}
	b, err := json.Marshal(m.figures)
	if err != nil {
		return fmt.Errorf("encode the figures: %w", err)
	}
	if !*asJSON {
		_, err = fmt.Fprintf(out, "%d calls, %d answered; ran twice %d, wrongly not run %d, truncated as whole %d, cut off by a planned stop %d\n%s\n",
			m.figures.Calls, m.figures.OK, m.figures.RanTwice, m.figures.WronglyNotRun, m.figures.TruncatedAsWhole, m.figures.CutOff, b)
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", b)
	return err
}

type faults struct {
	clock   *timer.Service
	length  time.Duration
	rand    *rand.Rand
	fleet   *mesh.Fleet
	callers []string
	figures faultFigures

	mu sync.Mutex
	// notRun holds calls reported as not run, nonIdempotent those that may run
	// at most once.
	notRun, nonIdempotent map[string]bool
	truncated             int
}

// faultCalls are the calls that are made, by the API keys of the example's
// organisations.
var faultCalls = []struct {
	key, method, path string
	nonIdempotent     bool
}{
	{"demo-big-wall-gyms", http.MethodGet, "/walls/erdenet", false},
	{"demo-big-wall-gyms", http.MethodPost, "/ascents", true},
	{"demo-altai-climbing-club", http.MethodGet, "/walls/khovd", false},
	{"demo-gobi-boulder", http.MethodPost, "/resets/7", true},
	{"demo-steppe-crimpers", http.MethodPost, "/ascents", true},
	{"demo-standings", http.MethodGet, "/ascents/43", false},
}

func (m *faults) run(ctx context.Context) error {
	set, err := declaration.Load(examples.Khadtai())
	if err != nil {
		return err
	}
	var pools []snapshot.Pool
	var objects []snapshot.Object
	for _, o := range set.Objects() {
		switch o := o.(type) {
		case snapshot.Pool:
			pools = append(pools, o)
			objects = append(objects, o)
		case snapshot.Limit:
			// Limits are left out, as they would refuse calls.
		default:
			objects = append(objects, o)
		}
	}
	m.fleet, err = mesh.Start(m.clock, pools, mesh.Callers(callerNodes), mesh.Domains("ulaanbaatar/bayanzurkh", "ulaanbaatar/khan-uul"),
		mesh.Targets(target.Slots(0)))
	defer m.fleet.Stop()
	if err != nil {
		return err
	}
	if err := m.fleet.WaitUntil(ctx, "nodes become ready", m.fleet.Ready); err != nil {
		return err
	}
	if _, _, _, err := m.fleet.Confirm(ctx, objects); err != nil {
		return err
	}
	for _, i := range m.fleet.Instances() {
		if i.Target() == nil {
			m.callers = append(m.callers, "http://"+i.Node().Callers().String())
		}
	}
	return m.phases(ctx)
}

func (m *faults) phases(ctx context.Context) error {
	plannedRes, err := m.runPhase(ctx, "p", m.plannedStops)
	if err != nil {
		return err
	}
	faultRes, err := m.runPhase(ctx, "f", m.injectFaults)
	if err != nil {
		return err
	}
	f := &m.figures
	f.PlannedCalls, f.PlannedFailed = plannedRes.Calls(), maps.Clone(plannedRes.Failed())
	for kind, n := range plannedRes.Failed() {
		if !refusedBeforeRun[kind] {
			f.CutOff += n
		}
	}
	plannedRes.Merge(faultRes)
	f.Calls, f.OK, f.FailedByType = plannedRes.Calls(), plannedRes.OK(), plannedRes.Failed()
	f.P50, f.P99 = plannedRes.QuantileMS(50), plannedRes.QuantileMS(99)
	f.TruncatedAsWhole = m.truncated
	m.compareRuns()
	return nil
}

// refusedBeforeRun are the failures by which nodes refuse calls before they run.
// Such calls were not in flight at the node that stopped.
var refusedBeforeRun = map[string]bool{"no-target": true, "draining": true, "queue-full": true, "too-late": true}

// runPhase loads the fleet while inject causes faults.
func (m *faults) runPhase(ctx context.Context, phase string, inject func(context.Context) error) (*load.Result, error) {
	gen := load.New(m.clock, load.OnCallDone(m.record))
	defer gen.Close()
	var injectErr error
	var wg sync.WaitGroup
	wg.Go(func() {
		phaseCtx, cancel := m.clock.WithTimeout(ctx, m.length)
		defer cancel()
		injectErr = inject(phaseCtx)
	})
	res := gen.Run(ctx, faultRate, m.length, func(n int) load.Call {
		c := faultCalls[n%len(faultCalls)]
		id := phase + strconv.Itoa(n)
		if c.nonIdempotent {
			m.mu.Lock()
			m.nonIdempotent[id] = true
			m.mu.Unlock()
		}
		return load.Call{
			URL:    fmt.Sprintf("%s%s?size=%d&sleep=%v", m.callers[n%len(m.callers)], c.path, faultBodyBytes, faultCallTime),
			Method: c.method, APIKey: c.key, IdempotencyKey: id,
		}
	})
	wg.Wait()
	return res, injectErr
}

func (m *faults) record(r load.CallResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Outcome == "not-run" {
		m.notRun[r.Call.IdempotencyKey] = true
	}
	if r.FailureType == "" && r.BodyBytes != faultBodyBytes {
		m.truncated++
	}
}

// compareRuns compares the outcomes reported to callers with the calls that
// targets ran.
func (m *faults) compareRuns() {
	runs := map[string]int{}
	for _, i := range m.fleet.Instances() {
		for key, n := range i.Runs() {
			runs[key] += n
		}
		if i.Target() != nil {
			excess := i.Target().MaxTrialRunning() - int64(i.Pool().Slots()-i.Pool().Promised())
			m.figures.OnPromised = max(m.figures.OnPromised, excess)
		}
	}
	for key, n := range runs {
		if m.nonIdempotent[key] && n > 1 {
			m.figures.RanTwice++
		}
		if m.notRun[key] && n > 0 {
			m.figures.WronglyNotRun++
		}
	}
}

// targetInstances returns the instances that have a target; faults are injected
// into these.
func (m *faults) targetInstances() []*mesh.Instance {
	var out []*mesh.Instance
	for _, i := range m.fleet.Instances() {
		if i.Target() != nil {
			out = append(out, i)
		}
	}
	return out
}

// plannedStops stops and restarts nodes, one at a time.
func (m *faults) plannedStops(ctx context.Context) error {
	instances := m.targetInstances()
	for ctx.Err() == nil {
		i := instances[m.rand.IntN(len(instances))]
		m.fleet.StopNode(i)
		m.figures.Faults["planned_stop"]++
		if err := m.fleet.RestartNode(i); err != nil {
			return err
		}
		if m.clock.Sleep(ctx, 500*time.Millisecond) != nil {
			return nil
		}
	}
	return nil
}

// injectFaults causes target crashes, slow targets, store outages and planned
// stops.
func (m *faults) injectFaults(ctx context.Context) error {
	instances := m.targetInstances()
	store := m.fleet.Store()
	defer store.SetDown(false)
	for ctx.Err() == nil {
		i := instances[m.rand.IntN(len(instances))]
		switch m.rand.IntN(4) {
		case 0:
			m.figures.Faults["crash"]++
			m.fleet.CrashTarget(i)
			_ = m.clock.Sleep(ctx, 400*time.Millisecond)
			if err := m.fleet.RestartTarget(i); err != nil {
				return err
			}
		case 1:
			m.figures.Faults["slow"]++
			i.Target().SetDelay(10 * faultCallTime)
			_ = m.clock.Sleep(ctx, 400*time.Millisecond)
			i.Target().SetDelay(0)
		case 2:
			m.figures.Faults["store_down"]++
			store.SetDown(true)
			_ = m.clock.Sleep(ctx, 400*time.Millisecond)
			store.SetDown(false)
		case 3:
			m.figures.Faults["planned_stop"]++
			m.fleet.StopNode(i)
			if err := m.fleet.RestartNode(i); err != nil {
				return err
			}
		}
		_ = m.clock.Sleep(ctx, 100*time.Millisecond)
	}
	return nil
}
