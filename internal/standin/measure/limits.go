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
	"banyanlug.example/banyanlug/internal/policy/limit"
	mesh "banyanlug.example/banyanlug/internal/standin/fleet"
	"banyanlug.example/banyanlug/internal/standin/load"
	"banyanlug.example/banyanlug/internal/standin/target"
)

const (
	limitedKey = "measure-limited"
	// limitsSettle is the documented time within which limits follow demand that
	// moves between nodes.
	limitsSettle = 10 * time.Second
	// overloadFactor is the demand in an overload, as a multiple of the limit.
	overloadFactor = 1.5
	// underloadFactor is the demand well within the limit, as a multiple of the limit.
	underloadFactor = 0.3
)

// limitsFigures is the result, printed as one line of JSON.
type limitsFigures struct {
	Nodes          int           `json:"nodes"`
	Domains        int           `json:"failure_domains"`
	LimitPerSecond float64       `json:"limit_per_s"`
	AskedPerSecond float64       `json:"asked_per_s"`
	Phases         []limitsPhase `json:"phases"`
}

// limitsPhase is one pattern of demand. Messages and bytes are those sent
// between nodes for one organisation, per node; bytes are message payload only.
type limitsPhase struct {
	Name        string  `json:"name"`
	Seconds     float64 `json:"seconds"`
	Asked       int     `json:"asked"`
	Admitted    int     `json:"let_in"`
	Limited     int     `json:"refused_by_limit"`
	OtherFailed int     `json:"failed_otherwise"`
	WorstSecond int     `json:"let_in_in_the_busiest_second"`
	Settled     float64 `json:"served_of_allowed_after_10_s"`
	EvenSettled float64 `json:"even_split_served_of_allowed_after_10_s"`
	HalfAfter   float64 `json:"half_served_after_s"`
	Messages    float64 `json:"heartbeats_per_node_per_s"`
	Bytes       float64 `json:"heartbeat_bytes_per_node_per_s"`
}

// Limits measures how much of its limit an organisation gets while its demand is
// at one node, moves to others and stays within the limit, and counts the messages
// between nodes. An even split of the limit is simulated for comparison.
func Limits(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("measure limits", flag.ContinueOnError)
	seconds := fs.Float64("seconds", 20, "how long each of the phases takes, 11 or more")
	nodes := fs.Int("nodes", 6, "how many nodes there are, in two failure domains")
	rate := fs.Float64("limit", 300, "the organisation's limit in calls a second")
	asJSON := fs.Bool("json", false, "write one JSON line in place of text")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *seconds < 11 || *seconds > 300 || *nodes < 2 || *nodes > 24 || *rate < 20 || *rate > 2000 {
		return &SettingError{Text: "seconds 11 to 300, nodes 2 to 24, limit 20 to 2000"}
	}
	m := &limits{
		clock: timer.New(), nodes: *nodes, rate: *rate, length: time.Duration(*seconds * float64(time.Second)),
		declared: snapshot.NewLimit("limited", *rate, 0),
	}
	g := newGroup(context.WithoutCancel(ctx))
	defer g.stop()
	g.start(m.clock.Run)
	f, err := m.run(ctx)
	if err != nil {
		return err
	}
	if *asJSON {
		b, err := json.Marshal(f)
		if err != nil {
			return fmt.Errorf("encode the figures: %w", err)
		}
		_, err = fmt.Fprintf(out, "%s\n", b)
		return err
	}
	for _, p := range f.Phases {
		if _, err := fmt.Fprintf(out, "%-22s %.3f of what is allowed served after 10 s (even split %.3f), half after %.0f s, busiest second %d of %.0f, %.2f heartbeats and %.0f bytes a node and second\n",
			p.Name, p.Settled, p.EvenSettled, p.HalfAfter, p.WorstSecond, f.LimitPerSecond, p.Messages, p.Bytes); err != nil {
			return err
		}
	}
	return nil
}

type limits struct {
	clock    *timer.Service
	nodes    int
	rate     float64
	length   time.Duration
	declared snapshot.Limit
	fleet    *mesh.Fleet
	urls     []string
}

func (m *limits) run(ctx context.Context) (limitsFigures, error) {
	f := limitsFigures{Nodes: m.nodes, Domains: 2, LimitPerSecond: m.rate, AskedPerSecond: m.rate * overloadFactor}
	pool := snapshot.NewPool("pool", "service", snapshot.Slots(1000), snapshot.Promised(1),
		snapshot.Connections(1000), snapshot.Upstreams(m.nodes))
	fl, err := mesh.Start(m.clock, []snapshot.Pool{pool}, mesh.Targets(target.Slots(0)), mesh.Domains("here/a", "here/b"),
		mesh.Settings("-limits"))
	defer fl.Stop()
	if err != nil {
		return f, err
	}
	if err := fl.WaitUntil(ctx, "nodes become ready", fl.Ready); err != nil {
		return f, err
	}
	objects := []snapshot.Object{
		snapshot.NewOrganisation("limited", snapshot.Paying, snapshot.HashKey(limitedKey)), m.declared,
		snapshot.NewService("service"), pool,
		snapshot.NewRoute("route", "/", "service", "pool", snapshot.Idempotent(), snapshot.Deadline(2*time.Second), snapshot.Retries(2)),
	}
	if _, _, _, err := fl.Confirm(ctx, objects); err != nil {
		return f, err
	}
	m.fleet = fl
	for _, i := range fl.Instances() {
		m.urls = append(m.urls, "http://"+i.Node().Callers().String()+"/")
	}
	everyNode := func(n int) int { return n % m.nodes }
	oneNode := func(node int) func(int) int { return func(int) int { return node } }
	for _, p := range []struct {
		name string
		rate float64
		node func(int) int
	}{
		{"no calls", 0, everyNode},
		{"all at one node", overloadFactor, oneNode(0)},
		{"moved to its domain", overloadFactor, oneNode(2 % m.nodes)},
		{"moved to the other", overloadFactor, oneNode(1)},
		{"even over all", overloadFactor, everyNode},
		{"even, within the limit", underloadFactor, everyNode},
	} {
		f.Phases = append(f.Phases, m.phase(ctx, p.name, m.rate*p.rate, p.node))
	}
	return f, nil
}

// phase makes rate calls a second; call n goes to node(n).
func (m *limits) phase(ctx context.Context, name string, rate float64, node func(int) int) limitsPhase {
	servedBySecond := make([]int, int(m.length.Seconds())+5)
	evenLimiters, evenBySecond := m.evenSplit(), make([]int, len(servedBySecond))
	var mu sync.Mutex
	began := m.clock.Now()
	second := func() int { return min(int(m.clock.Since(began).Seconds()), len(servedBySecond)-1) }
	gen := load.New(m.clock, load.OnCallDone(func(r load.CallResult) {
		mu.Lock()
		defer mu.Unlock()
		if r.FailureType == "" {
			servedBySecond[second()]++
		}
	}))
	defer gen.Close()
	messagesBefore, bytesBefore := m.limitTraffic()
	var res *load.Result
	if rate == 0 {
		_ = m.clock.Sleep(ctx, m.length)
		res = gen.Run(ctx, 1, 0, nil)
	} else {
		res = gen.Run(ctx, rate, m.length, func(n int) load.Call {
			k := node(n)
			if _, ok := evenLimiters[k].Allow(m.clock.Now(), m.declared).(limit.Allowed); ok {
				evenLimiters[k].Release(m.clock.Now(), m.declared.Organisation())
				mu.Lock()
				evenBySecond[second()]++
				mu.Unlock()
			}
			return load.Call{URL: m.urls[k], Method: http.MethodGet, APIKey: limitedKey}
		})
	}
	messagesAfter, bytesAfter := m.limitTraffic()
	p := limitsPhase{
		Name: name, Seconds: m.length.Seconds(), Asked: res.Calls(), Admitted: res.OK(), Limited: res.Failed()["limit"],
		Messages: round3(float64(messagesAfter-messagesBefore) / float64(m.nodes) / m.length.Seconds()),
		Bytes:    math.Round(float64(bytesAfter-bytesBefore) / float64(m.nodes) / m.length.Seconds()),
	}
	p.OtherFailed = res.FailedTotal() - p.Limited
	allowed := min(rate, m.rate)
	from, to := int(limitsSettle.Seconds()), int(m.length.Seconds())
	if allowed > 0 {
		p.Settled, p.EvenSettled = round3(mean(servedBySecond[from:to])/allowed), round3(mean(evenBySecond[from:to])/allowed)
	}
	p.HalfAfter = -1
	for s, n := range servedBySecond {
		p.WorstSecond = max(p.WorstSecond, n)
		if p.HalfAfter < 0 && float64(n) >= allowed/2 && allowed > 0 {
			p.HalfAfter = float64(s)
		}
	}
	return p
}

// evenSplit returns limiters that each have an even share of the limit.
func (m *limits) evenSplit() []*limit.Limiter {
	var out []*limit.Limiter
	for range m.nodes {
		out = append(out, limit.NewLimiter(limit.InitialShare(1/float64(m.nodes))))
	}
	return out
}

// limitTraffic returns the messages and bytes that all nodes have sent each
// other about limits.
func (m *limits) limitTraffic() (messages, bytes uint64) {
	for _, i := range m.fleet.Instances() {
		messages += i.Node().Quota().Messages()
		bytes += i.Node().Quota().Bytes()
	}
	return messages, bytes
}

func mean(ns []int) float64 {
	sum := 0
	for _, n := range ns {
		sum += n
	}
	return float64(sum) / float64(max(1, len(ns)))
}
