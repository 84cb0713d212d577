package measure

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

const (
	// turnLength is how long one kind of call is made before the next, so that
	// other load on the machine affects all kinds alike.
	turnLength  = time.Second
	callTimeout = 10 * time.Second
	// nodesPerCall is the number of nodes a call passes: its caller's and its
	// target's.
	nodesPerCall  = 2
	maxMicros     = 60_000_000
	writeBytes    = 256
	responseBytes = 512
)

// Overhead measures the latency and processor time that nodes add to a call.
func Overhead(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure overhead", flag.ContinueOnError)
	fs.SetOutput(out)
	rate := fs.Float64("rate", 62, "calls a second, of one kind at a time")
	hops := fs.Int("hops", nodesPerCall, "nodes on the way, an even number; more than 2 makes targets call on")
	length := fs.Duration("for", 20*time.Second, "how long each kind of call is made in all")
	seed := fs.Uint64("seed", 1, "seed of the arrival times")
	server := fs.String("server", "own", "how the caller's node serves: own or net/http")
	procs := fs.Int("procs", 0, "GOMAXPROCS of the nodes, 0 for their own choice")
	asJSON := fs.Bool("json", false, "print one line of JSON only")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_OVERHEAD")); err != nil {
		return fmt.Errorf("overhead: %w", err)
	}
	if *hops < nodesPerCall || *hops%nodesPerCall != 0 || *hops > nodesPerCall*11 || *rate <= 0 {
		return fmt.Errorf("overhead: %w", &SettingError{Text: "-hops is even, from 2 to 22, and -rate above 0"})
	}
	o := &overhead{rate: *rate, extraCalls: *hops/nodesPerCall - 1, rng: rand.New(rand.NewPCG(*seed, 0)), seed: *seed}
	g := newGroup(ctx)
	defer g.stop()
	o.clock = timer.New()
	g.start(o.clock.Run)
	o.client = startClient(g, o.clock)
	stop, err := o.startProcesses(ctx, *server, *procs)
	if err != nil {
		return fmt.Errorf("overhead: %w", err)
	}
	defer stop()
	if err := o.run(ctx, *length); err != nil {
		return fmt.Errorf("overhead: %w", err)
	}
	return o.writeFigures(out, *asJSON)
}

type overhead struct {
	rate       float64
	extraCalls int
	rng        *rand.Rand
	seed       uint64
	clock      *timer.Service
	client     *hop.Client
	nodes      []*process
	addresses  [3]netip.AddrPort
	series     [len(callKinds)]series
}

// callPath is how a call reaches the target.
type callPath uint8

const (
	direct callPath = iota
	piped           // through two processes that only copy bytes
	meshed          // through two nodes
)

// callKinds are the kinds of calls, made in turn; write marks non-idempotent calls.
var callKinds = [...]struct {
	path  callPath
	write bool
}{{direct, false}, {piped, false}, {meshed, false}, {direct, true}, {meshed, true}}

// series holds the results of one kind of call.
type series struct {
	path    callPath
	write   bool
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int
	cpu     time.Duration
}

// startProcesses starts the target, two pipes and two nodes; calls that the target
// itself makes use the same caller's node.
func (o *overhead) startProcesses(ctx context.Context, server string, procs int) (stop func(), err error) {
	var processes []*process
	stop = func() {
		for i := len(processes) - 1; i >= 0; i-- {
			processes[i].stop()
		}
	}
	start := func(name string, args ...string) (netip.AddrPort, error) {
		p, err := startProcess(ctx, name, args...)
		if err != nil {
			return netip.AddrPort{}, err
		}
		processes = append(processes, p)
		return netip.ParseAddrPort(p.announced.Address)
	}
	if err = o.startChain(start, server, procs); err != nil {
		stop()
		return nil, err
	}
	o.nodes = processes[3:]
	return stop, o.setNext(ctx)
}

func (o *overhead) startChain(start func(name string, args ...string) (netip.AddrPort, error), server string, procs int) error {
	maxProcs := strconv.Itoa(procs)
	target, err := start("target", "target", "-attached")
	if err != nil {
		return err
	}
	o.addresses[direct] = target
	pipe, err := start("pipe", "proxy", "-side", "pipe", "-next", target.String(), "-procs", maxProcs)
	if err != nil {
		return err
	}
	if o.addresses[piped], err = start("pipe", "proxy", "-side", "pipe", "-next", pipe.String(), "-procs", maxProcs); err != nil {
		return err
	}
	node, err := start("target's node", "proxy", "-side", "target", "-next", target.String(), "-procs", maxProcs)
	if err != nil {
		return err
	}
	o.addresses[meshed], err = start("caller's node", "proxy", "-side", "caller", "-next", node.String(), "-server", server, "-procs", maxProcs)
	return err
}

// setNext sets the address to which the target sends its own calls.
func (o *overhead) setNext(ctx context.Context) error {
	r := hop.NewRequest(http.MethodGet, "/standin/next?url=http://"+o.addresses[meshed].String(), o.addresses[direct].String(), http.Header{}, hop.None{})
	resp, err := o.client.Do(ctx, o.addresses[direct], r, o.clock.Now().Add(callTimeout))
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp)
	return err
}

// run makes calls of each kind in turn.
func (o *overhead) run(ctx context.Context, length time.Duration) error {
	for i := range o.series {
		o.series[i].path, o.series[i].write = callKinds[i].path, callKinds[i].write
		o.series[i].latency = hdrhistogram.New(1, maxMicros, 3)
		// Warm-up calls keep the cost of new connections, cold caches and the
		// target's start out of the figures.
		warmUp := &series{path: callKinds[i].path, write: callKinds[i].write, latency: hdrhistogram.New(1, maxMicros, 3)}
		if err := o.burst(ctx, warmUp, min(turnLength/2, length)); err != nil {
			return err
		}
	}
	turn := min(turnLength, length)
	for done := time.Duration(0); done < length; done += turn {
		for i := range o.series {
			if err := o.burst(ctx, &o.series[i], turn); err != nil {
				return err
			}
		}
	}
	return nil
}

// burst makes calls of one kind at Poisson arrival times, each on its own
// goroutine so that a slow call delays no later one.
func (o *overhead) burst(ctx context.Context, s *series, length time.Duration) error {
	before, err := o.cpu()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	end := o.clock.Now().Add(length)
	for next := o.clock.Now(); next.Before(end); {
		next = next.Add(time.Duration(o.rng.ExpFloat64() / o.rate * float64(time.Second)))
		if err := o.clock.Sleep(ctx, next.Sub(o.clock.Now())); err != nil {
			return err
		}
		wg.Go(func() { o.call(ctx, s) })
	}
	wg.Wait()
	after, err := o.cpu()
	s.cpu += after - before
	return err
}

func (o *overhead) cpu() (time.Duration, error) {
	var total time.Duration
	for _, p := range o.nodes {
		d, err := p.cpu()
		if err != nil {
			return 0, err
		}
		total += d
	}
	return total, nil
}

func (o *overhead) call(ctx context.Context, s *series) {
	to := o.addresses[s.path]
	method, path, body := http.MethodGet, "/service-0/read", hop.Body(hop.None{})
	h := http.Header{"X-Api-Key": {apiKey}}
	if s.write {
		method, path, body = http.MethodPost, "/service-0/write", hop.NewBuffered(make([]byte, writeBytes))
	}
	uri := fmt.Sprintf("%s?size=%d&deep=%d", path, responseBytes, o.extraCalls)
	began := o.clock.Now()
	n, err := o.fetch(ctx, to, hop.NewRequest(method, uri, to.String(), h, body))
	took := o.clock.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || n != responseBytes {
		s.failed++
		return
	}
	_ = s.latency.RecordValue(took.Microseconds())
}

func (o *overhead) fetch(ctx context.Context, to netip.AddrPort, r *hop.Request) (int64, error) {
	resp, err := o.client.Do(ctx, to, r, o.clock.Now().Add(callTimeout))
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	if resp.Status() != http.StatusOK {
		return 0, &StatusError{Status: resp.Status()}
	}
	return io.Copy(io.Discard, resp)
}

// overheadFigures is the result. The once_ figures are of non-idempotent calls; the
// pipe_ figures are of two processes that only copy bytes, the least that two more
// processes can add on the machine.
type overheadFigures struct {
	Rate         float64 `json:"rate"`
	Hops         int     `json:"hops"`
	Seed         uint64  `json:"seed"`
	Calls        int64   `json:"calls"`
	Failed       int     `json:"failed"`
	DirectP50    float64 `json:"direct_ms_p50"`
	DirectP99    float64 `json:"direct_ms_p99"`
	PipeP50      float64 `json:"pipe_ms_p50"`
	PipeP99      float64 `json:"pipe_ms_p99"`
	MeshP50      float64 `json:"mesh_ms_p50"`
	MeshP99      float64 `json:"mesh_ms_p99"`
	AddedP50     float64 `json:"added_ms_p50"`
	AddedP99     float64 `json:"added_ms_p99"`
	CPU          float64 `json:"cpu_us_per_call"`
	OnceDirP50   float64 `json:"once_direct_ms_p50"`
	OnceDirP99   float64 `json:"once_direct_ms_p99"`
	OnceMeshP50  float64 `json:"once_mesh_ms_p50"`
	OnceMeshP99  float64 `json:"once_mesh_ms_p99"`
	OnceAddedP50 float64 `json:"once_added_ms_p50"`
	OnceAddedP99 float64 `json:"once_added_ms_p99"`
	OnceCPU      float64 `json:"once_cpu_us_per_call"`
}

func (o *overhead) writeFigures(out io.Writer, asJSON bool) error {
	f := overheadFigures{Rate: o.rate, Hops: (o.extraCalls + 1) * nodesPerCall, Seed: o.seed}
	f.DirectP50, f.DirectP99, _ = o.series[0].figures()
	f.PipeP50, f.PipeP99, _ = o.series[1].figures()
	f.MeshP50, f.MeshP99, f.CPU = o.series[2].figures()
	f.AddedP50, f.AddedP99 = roundMicros(f.MeshP50-f.DirectP50), roundMicros(f.MeshP99-f.DirectP99)
	f.OnceDirP50, f.OnceDirP99, _ = o.series[3].figures()
	f.OnceMeshP50, f.OnceMeshP99, f.OnceCPU = o.series[4].figures()
	f.OnceAddedP50, f.OnceAddedP99 = roundMicros(f.OnceMeshP50-f.OnceDirP50), roundMicros(f.OnceMeshP99-f.OnceDirP99)
	for i := range o.series {
		f.Calls += o.series[i].latency.TotalCount()
		f.Failed += o.series[i].failed
	}
	if !asJSON {
		fmt.Fprintf(out, "%d calls, %d failed; added by %d nodes at %g calls/s: p50 %.3f ms, p99 %.3f ms; not to be repeated: p50 %.3f ms, p99 %.3f ms\n",
			f.Calls, f.Failed, f.Hops, f.Rate, f.AddedP50, f.AddedP99, f.OnceAddedP50, f.OnceAddedP99)
	}
	if err := json.NewEncoder(out).Encode(f); err != nil {
		return fmt.Errorf("overhead: %w", err)
	}
	return nil
}

// figures returns latencies in ms and the nodes' processor time per call in µs.
func (s *series) figures() (p50, p99, cpu float64) {
	calls := float64(max(1, s.latency.TotalCount()))
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
	return ms(50), ms(99), math.Round(float64(s.cpu.Microseconds()) / calls)
}

// roundMicros rounds ms to whole microseconds, the unit in which latencies are
// recorded.
func roundMicros(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// SettingError reports an invalid setting.
type SettingError struct{ Text string }

func (e *SettingError) Error() string { return e.Text }

// StatusError reports a response whose status is not 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("response has status %d", e.Status) }
