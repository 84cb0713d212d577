package try

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"banyanlug.example/banyanlug/examples"
	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/operator"
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

// Run starts the fleet, confirms a plan, makes calls and serves until ctx ends
// or the time is over.
func Run(ctx context.Context, opts ...Option) (Result, error) {
	o := Options{out: io.Discard, events: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	clock := timer.New()
	cctx, stop := context.WithCancel(context.Background())
	ticked := make(chan error, 1)
	go clock.Run(cctx, ticked)
	defer func() {
		stop()
		<-ticked
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.forHow > 0 {
		defer clock.AfterFunc(o.forHow, cancel).Stop()
	}
	t := &try{o: o, clock: clock}
	// A stop that comes early does not cut the story short: its result would
	// say nothing.
	running, stopFleet := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFleet()
	res, err := t.play(running)
	if err == nil {
		t.tell(res)
		<-ctx.Done()
	}
	stopFleet()
	if t.fleet != nil {
		t.fleet.wait()
	}
	if err == nil && o.json {
		err = json.NewEncoder(o.out).Encode(res)
	}
	return res, err
}

type try struct {
	o     Options
	clock *timer.Service
	fleet *fleet
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
	if t.fleet, err = startFleet(ctx, t.clock, t.o.events, pools); err != nil {
		return Result{}, err
	}
	whole, cancel := t.clock.WithTimeout(ctx, playLimit)
	defer cancel()
	if err := t.fleet.until(whole, "nodes become ready", t.fleet.ready); err != nil {
		return Result{}, err
	}
	t.say("%d instances in %d failure domains are ready; none carries a call yet", len(t.fleet.nodes), len(domains))
	res := Result{Nodes: len(t.fleet.nodes), Targets: len(t.fleet.nodes)}
	if err := t.confirm(whole, set, &res); err != nil {
		return Result{}, err
	}
	t.call(whole, &res)
	t.say("%d calls carried, %d failed", res.CallsOK, res.CallsFailed)
	return res, nil
}

// confirm makes a plan of the declarations at one node, confirms it at another
// and waits until all nodes hold it.
func (t *try) confirm(ctx context.Context, set *declaration.Set, res *Result) error {
	first, _ := t.fleet.nodes[0].Operators()
	last, _ := t.fleet.nodes[len(t.fleet.nodes)-1].Operators()
	plan, err := operator.NewClient([]string{"http://" + first.String()}, operatorToken).Plan(ctx, operator.NewWhole(set.Objects()))
	if err != nil {
		return err
	}
	t.say("plan %s adds %d objects; confirming it", plan.ID(), len(plan.Items()))
	began := t.clock.Now()
	done, err := operator.NewClient([]string{"http://" + last.String()}, operatorToken).Confirm(ctx, plan.ID())
	if err != nil {
		return err
	}
	all := func() bool { return t.fleet.inForce(done.Version) == len(t.fleet.nodes) }
	if err := t.fleet.until(ctx, "the version is in force everywhere", all); err != nil {
		return err
	}
	res.Version, res.NodesInForce = done.Version, t.fleet.inForce(done.Version)
	res.ConvergenceMS = float64(t.clock.Since(began).Microseconds()) / 1000
	t.say("version %d is in force on %d of %d nodes, %.0f ms after the confirm began",
		res.Version, res.NodesInForce, res.Nodes, res.ConvergenceMS)
	return nil
}

func (t *try) call(ctx context.Context, res *Result) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for round := range demoRounds {
		for i, c := range demoCalls {
			n := t.fleet.nodes[(round*len(demoCalls)+i)%len(t.fleet.nodes)]
			url := "http://" + n.Callers().String() + c.path
			req, err := http.NewRequestWithContext(ctx, c.method, url, strings.NewReader("{}"))
			if err != nil {
				res.CallsFailed++
				continue
			}
			req.Header.Set("Authorization", "Bearer "+c.key)
			req.Header.Set("Idempotency-Key", fmt.Sprintf("try-%d-%d", round, i))
			resp, err := client.Do(req)
			if err != nil {
				res.CallsFailed++
				continue
			}
			_, rerr := io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if rerr != nil || resp.StatusCode != http.StatusOK {
				res.CallsFailed++
				continue
			}
			res.CallsOK++
		}
	}
}

// tell says how to go on by hand.
func (t *try) tell(res Result) {
	n := t.fleet.nodes[0]
	ops, _ := n.Operators()
	t.say("\ncall it:\n  curl -i -H 'Authorization: Bearer demo-big-wall-gyms' http://%s/walls/erdenet", n.Callers())
	t.say("operate it:\n  BANYANLUG_TOKEN=%s go run ./cmd/banyanlug status -node http://%s", operatorToken, ops)
	t.say("watch it:\n  curl http://%s/metrics", n.Admin())
	if t.o.forHow == 0 {
		t.say("\nserving until interrupted")
	}
}
