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

// Result is what came of a try.
type Result struct {
	Nodes         int     `json:"nodes"`
	Targets       int     `json:"targets"`
	Version       uint64  `json:"version"`
	NodesInForce  int     `json:"nodes_in_force"`
	ConvergenceMS float64 `json:"convergence_ms"`
	CallsOK       int     `json:"calls_ok"`
	CallsFailed   int     `json:"calls_failed"`
	CallsComeBack int     `json:"calls_told_to_come_back"`
}

// Options are what a try is told.
type Options struct {
	out, events io.Writer
	forHow      time.Duration
	json        bool
}

// Option sets one property of a try.
type Option func(*Options)

// Output sets where the story is told.
func Output(w io.Writer) Option { return func(o *Options) { o.out = w } }

// Events sets where the nodes' logs go.
func Events(w io.Writer) Option { return func(o *Options) { o.events = w } }

// For sets after how long the try stops by itself; 0 is at the end of ctx.
func For(d time.Duration) Option { return func(o *Options) { o.forHow = d } }

// JSON ends the output with the result as one JSON object on the last line.
func JSON(on bool) Option { return func(o *Options) { o.json = on } }

// domains are the failure domains that the instances are spread over.
var domains = []string{
	"ulaanbaatar/bayanzurkh", "ulaanbaatar/sukhbaatar", "ulaanbaatar/khan-uul", "ulaanbaatar/songino",
}

// demoCalls are made through different nodes once the plan is in force.
var demoCalls = []struct{ key, method, path string }{
	{"demo-big-wall-gyms", http.MethodGet, "/walls/erdenet"},
	{"demo-big-wall-gyms", http.MethodPost, "/ascents"},
	{"demo-gobi-boulder", http.MethodGet, "/status/42"},
	{"demo-standings", http.MethodGet, "/status/43"},
	{"demo-altai-climbing-club", http.MethodGet, "/walls/khovd"},
	{"demo-gobi-boulder", http.MethodPut, "/routes/7"},
	{"demo-steppe-crimpers", http.MethodGet, "/ascents/me"},
}

// playLimit ends a try that hangs; on one machine the whole takes seconds.
const playLimit = time.Minute

// demoRounds is how often each demo call is made.
const demoRounds = 20

// demoTries bounds how often a call comes back.
const demoTries = 8

// demoPause keeps each organisation within its limit.
const demoPause = 10 * time.Millisecond

// Run starts the fleet, confirms a plan, makes calls and serves until ctx ends
// or the time is over.
func Run(ctx context.Context, opts ...Option) (Result, error) {
	o := Options{out: io.Discard, events: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	clock, stop := timer.Start()
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.forHow > 0 {
		defer clock.AfterFunc(o.forHow, cancel).Stop()
	}
	t := &try{o: o, clock: clock}
	// A stop that comes early does not cut the story short: its result would
	// say nothing.
	res, err := t.play(context.WithoutCancel(ctx))
	if err == nil {
		t.tell()
		<-ctx.Done()
	}
	cancel()
	if t.fleet != nil {
		t.fleet.Stop()
	}
	if err == nil && o.json {
		err = json.NewEncoder(o.out).Encode(res)
	}
	return res, err
}

type try struct {
	o     Options
	clock *timer.Service
	fleet *fleet.Fleet
}

func (t *try) say(format string, args ...any) {
	// A reader that has gone wants no story.
	_, _ = fmt.Fprintf(t.o.out, format+"\n", args...)
}

// play starts everything, confirms the plan and makes the demo calls.
func (t *try) play(ctx context.Context) (Result, error) {
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
	t.fleet, err = fleet.Start(t.clock, pools, fleet.Domains(domains...), fleet.Events(t.o.events))
	if err != nil {
		return Result{}, err
	}
	limited, cancel := t.clock.WithTimeout(ctx, playLimit)
	defer cancel()
	if err := t.fleet.Until(limited, "nodes become ready", t.fleet.Ready); err != nil {
		return Result{}, err
	}
	count := len(t.fleet.Instances())
	t.say("%d instances in %d failure domains are ready; none carries a call yet", count, len(domains))
	res := Result{Nodes: count, Targets: count}
	if err := t.confirm(limited, set, &res); err != nil {
		return Result{}, err
	}
	t.call(limited, &res)
	t.say("%d calls carried, %d failed; %d times a call was told to come back and did", res.CallsOK, res.CallsFailed, res.CallsComeBack)
	return res, nil
}

// confirm puts the declarations in force on all nodes.
func (t *try) confirm(ctx context.Context, set *declaration.Set, res *Result) error {
	plan, version, took, err := t.fleet.Confirm(ctx, set.Objects())
	if err != nil {
		return err
	}
	t.say("plan %s adds %d objects; confirmed", plan.ID(), len(plan.Items()))
	res.Version, res.NodesInForce = version, t.fleet.InForce(version)
	res.ConvergenceMS = float64(took.Microseconds()) / 1000
	t.say("version %d is in force on %d of %d nodes, %.0f ms after the confirm began",
		res.Version, res.NodesInForce, res.Nodes, res.ConvergenceMS)
	return nil
}

// call makes the demo calls and waits for their answers.
func (t *try) call(ctx context.Context, res *Result) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	all := t.fleet.Instances()
	results := make(chan callResult)
	for n := range demoRounds * len(demoCalls) {
		go func() {
			// Callers come one after another; all at once would be over the
			// limits that the example declares.
			_ = t.clock.Sleep(ctx, time.Duration(n)*demoPause)
			// Each caller has two instances of its own to call from.
			at := 2*(n%len(demoCalls)) + n/len(demoCalls)%2
			results <- t.callOne(ctx, client, all[at%len(all)].Node().Callers(), n)
		}()
	}
	for range demoRounds * len(demoCalls) {
		r := <-results
		res.CallsComeBack += r.comeBack
		if r.ok {
			res.CallsOK++
		} else {
			res.CallsFailed++
		}
	}
}

// callResult is what a demo call came to, and how often it was told to come
// back.
type callResult struct {
	ok       bool
	comeBack int
}

// callOne makes a call as a client should: one that was certified not to have
// run is sent again when the answer says so.
func (t *try) callOne(ctx context.Context, client *http.Client, node netip.AddrPort, n int) callResult {
	c := demoCalls[n%len(demoCalls)]
	var r callResult
	for range demoTries {
		status, after, err := t.send(ctx, client, "http://"+node.String()+c.path, c.method, c.key, fmt.Sprintf("try-%d", n))
		r.ok = err == nil && status == http.StatusOK
		if r.ok || err != nil || after <= 0 {
			return r
		}
		r.comeBack++
		if t.clock.Sleep(ctx, after) != nil {
			return r
		}
	}
	return r
}

// send makes one attempt and returns the status and, for one that has not run,
// when to come back.
func (t *try) send(ctx context.Context, client *http.Client, url, method, key, once string) (int, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("{}"))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", once)
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	var after time.Duration
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && resp.Header.Get("Banyanlug-Outcome") == "not-run" {
		after = time.Duration(seconds) * time.Second
	}
	return resp.StatusCode, after, nil
}

// tell says how to go on by hand.
func (t *try) tell() {
	n := t.fleet.Instances()[0].Node()
	ops, _ := n.Operators()
	t.say("\ncall it:\n  curl -i -H 'Authorization: Bearer demo-big-wall-gyms' http://%s/walls/erdenet", n.Callers())
	t.say("operate it:\n  BANYANLUG_TOKEN=%s go run ./cmd/banyanlug status -node http://%s", fleet.OperatorToken, ops)
	t.say("watch it:\n  curl http://%s/metrics", n.Admin())
	if t.o.forHow == 0 {
		t.say("\nserving until interrupted")
	}
}
