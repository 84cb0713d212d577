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
	t.say("%d calls carried, %d failed", res.CallsOK, res.CallsFailed)
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

func (t *try) call(ctx context.Context, res *Result) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for round := range demoRounds {
		for i, c := range demoCalls {
			all := t.fleet.Instances()
			n := all[(round*len(demoCalls)+i)%len(all)].Node()
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
