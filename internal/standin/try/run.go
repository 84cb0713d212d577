package try

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"banyanlug.example/banyanlug/examples"
	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/standin/fleet"
)

// Result is the outcome of a demonstration.
type Result struct {
	Nodes               int     `json:"nodes"`
	Targets             int     `json:"targets"`
	Version             uint64  `json:"version"`
	NodesActive         int     `json:"nodes_in_force"`
	ConvergenceMS       float64 `json:"convergence_ms"`
	CallsOK             int     `json:"calls_ok"`
	CallsFailed         int     `json:"calls_failed"`
	RetryLaterResponses int     `json:"calls_told_to_come_back"`
}

// Options are the settings of a demonstration.
type Options struct {
	out, events io.Writer
	stopAfter   time.Duration
	json        bool
}

// Option sets one option.
type Option func(*Options)

// Output sets the writer for progress and results.
func Output(w io.Writer) Option { return func(o *Options) { o.out = w } }

// Events sets the writer for the nodes' logs.
func Events(w io.Writer) Option { return func(o *Options) { o.events = w } }

// StopAfter sets the time after which Run stops; with 0 it serves until ctx ends.
func StopAfter(d time.Duration) Option { return func(o *Options) { o.stopAfter = d } }

// JSON adds the result to the output, as one JSON object on the last line.
func JSON(on bool) Option { return func(o *Options) { o.json = on } }

// domains are the failure domains of the instances.
var domains = []string{
	"ulaanbaatar/bayanzurkh", "ulaanbaatar/sukhbaatar", "ulaanbaatar/khan-uul", "ulaanbaatar/songino",
}

// demoCalls are sent through different nodes once the version is active.
var demoCalls = []struct{ key, method, path string }{
	{"demo-big-wall-gyms", http.MethodGet, "/walls/erdenet"},
	{"demo-big-wall-gyms", http.MethodPost, "/ascents"},
	{"demo-gobi-boulder", http.MethodGet, "/status/42"},
	{"demo-standings", http.MethodGet, "/status/43"},
	{"demo-altai-climbing-club", http.MethodGet, "/walls/khovd"},
	{"demo-gobi-boulder", http.MethodPut, "/routes/7"},
	{"demo-steppe-crimpers", http.MethodGet, "/ascents/me"},
}

// demoTimeout bounds the demonstration up to its last call.
const demoTimeout = time.Minute

// demoRounds is how often each call of demoCalls is sent.
const demoRounds = 20

// demoMaxAttempts bounds the attempts of one call.
const demoMaxAttempts = 8

// demoInterval is the time between calls; it keeps each organisation within its
// limit.
const demoInterval = 10 * time.Millisecond

// Run starts the fleet, confirms a plan, sends calls and serves until ctx ends or
// the time set by StopAfter has passed.
func Run(ctx context.Context, opts ...Option) (Result, error) {
	o := Options{out: io.Discard, events: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	clock, stop := timer.Start()
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.stopAfter > 0 {
		defer clock.AfterFunc(o.stopAfter, cancel).Stop()
	}
	d := &demo{options: o, clock: clock}
	// An early stop doesn't interrupt the demonstration, so that the result is
	// always complete.
	res, err := d.runDemo(context.WithoutCancel(ctx))
	if err == nil {
		d.printInstructions()
		<-ctx.Done()
	}
	cancel()
	if d.fleet != nil {
		d.fleet.Stop()
	}
	if err == nil && o.json {
		err = json.NewEncoder(o.out).Encode(res)
	}
	return res, err
}

type demo struct {
	options Options
	clock   *timer.Service
	fleet   *fleet.Fleet
}

func (d *demo) printf(format string, args ...any) {
	// The output is informative only, so write errors are ignored.
	_, _ = fmt.Fprintf(d.options.out, format+"\n", args...)
}

// runDemo starts the fleet, confirms the plan and sends the demo calls.
func (d *demo) runDemo(ctx context.Context) (Result, error) {
	set, err := declaration.Load(examples.Khadtai())
	if err != nil {
		return Result{}, err
	}
	var pools []snapshot.Pool
	for _, o := range set.Objects() {
		if p, ok := o.(snapshot.Pool); ok {
			pools = append(pools, p)
		}
	}
	d.fleet, err = fleet.Start(d.clock, pools, fleet.Domains(domains...), fleet.Events(d.options.events))
	if err != nil {
		return Result{}, err
	}
	demoCtx, cancel := d.clock.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := d.fleet.WaitUntil(demoCtx, "nodes become ready", d.fleet.Ready); err != nil {
		return Result{}, err
	}
	count := len(d.fleet.Instances())
	d.printf("%d instances in %d failure domains are ready; no calls carried yet", count, len(domains))
	res := Result{Nodes: count, Targets: count}
	if err := d.confirm(demoCtx, set, &res); err != nil {
		return Result{}, err
	}
	d.makeCalls(demoCtx, &res)
	d.printf("%d calls succeeded, %d failed; %d responses asked to retry later", res.CallsOK, res.CallsFailed, res.RetryLaterResponses)
	return res, nil
}

// confirm activates the declarations on all nodes.
func (d *demo) confirm(ctx context.Context, set *declaration.Set, res *Result) error {
	plan, version, took, err := d.fleet.Confirm(ctx, set.Objects())
	if err != nil {
		return err
	}
	d.printf("plan %s adds %d objects; confirmed", plan.ID(), len(plan.Items()))
	res.Version, res.NodesActive = version, d.fleet.NodesWithActive(version)
	res.ConvergenceMS = float64(took.Microseconds()) / 1000
	d.printf("version %d is active on %d of %d nodes, %.0f ms after the confirm began",
		res.Version, res.NodesActive, res.Nodes, res.ConvergenceMS)
	return nil
}

// makeCalls sends the demo calls and waits for their responses.
func (d *demo) makeCalls(ctx context.Context, res *Result) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	instances := d.fleet.Instances()
	results := make(chan callResult)
	for n := range demoRounds * len(demoCalls) {
		go func() {
			_ = d.clock.Sleep(ctx, time.Duration(n)*demoInterval)
			// Each of demoCalls alternates between two instances.
			instance := 2*(n%len(demoCalls)) + n/len(demoCalls)%2
			results <- d.callOne(ctx, client, instances[instance%len(instances)].Node().Callers(), n)
		}()
	}
	for range demoRounds * len(demoCalls) {
		r := <-results
		res.RetryLaterResponses += r.retryLater
		if r.ok {
			res.CallsOK++
		} else {
			res.CallsFailed++
		}
	}
}

// callResult is the outcome of a demo call and how many responses asked to
// retry later.
type callResult struct {
	ok         bool
	retryLater int
}

// callOne sends a call as a client should: if a response says that the call has
// not run, it is retried after the time in Retry-After.
func (d *demo) callOne(ctx context.Context, client *http.Client, node netip.AddrPort, n int) callResult {
	c := demoCalls[n%len(demoCalls)]
	var r callResult
	for range demoMaxAttempts {
		status, retryAfter, err := d.send(ctx, client, "http://"+node.String()+c.path, c.method, c.key, fmt.Sprintf("try-%d", n))
		r.ok = err == nil && status == http.StatusOK
		if r.ok || err != nil || retryAfter <= 0 {
			return r
		}
		r.retryLater++
		if d.clock.Sleep(ctx, retryAfter) != nil {
			return r
		}
	}
	return r
}

// send makes one attempt and returns the status and, for a call that has not run,
// the time to wait before a retry.
func (d *demo) send(ctx context.Context, client *http.Client, url, method, key, idempotencyKey string) (int, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("{}"))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotencyKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	var retryAfter time.Duration
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && resp.Header.Get("Banyanlug-Outcome") == "not-run" {
		retryAfter = time.Duration(seconds) * time.Second
	}
	return resp.StatusCode, retryAfter, nil
}

// printInstructions prints commands that use the running fleet.
func (d *demo) printInstructions() {
	n := d.fleet.Instances()[0].Node()
	ops, _ := n.Operators()
	d.printf("\ncall it:\n  curl -i -H 'Authorization: Bearer demo-big-wall-gyms' http://%s/walls/erdenet", n.Callers())
	d.printf("operate it:\n  BANYANLUG_TOKEN=%s go run ./cmd/banyanlug status -node http://%s", fleet.OperatorToken, ops)
	d.printf("watch it:\n  curl http://%s/metrics", n.Admin())
	if d.options.stopAfter == 0 {
		d.printf("\nserving until interrupted")
	}
}
