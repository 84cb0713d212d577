package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	standin "banyanlug.example/banyanlug/internal/standin/target"
	"banyanlug.example/banyanlug/internal/traffic/caller"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/traffic/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	fleetKey  = "the fleet's key"
	payingKey = "paying key"
	trialKey  = "trial key"
)

// harness runs a caller's node and some targets, each with its own node, on loopback.
type harness struct {
	t       testing.TB
	ctx     context.Context
	clk     *timer.Service
	url     string
	caller  *caller.Server
	handler *caller.Handler
	targets []*testTarget
	config  *testConfig

	mu       sync.Mutex
	ready    []membership.Record
	fallback []membership.Record
}

// testTarget is one instance: a target and its node.
type testTarget struct {
	app    *standin.Server
	local  netip.AddrPort
	slots  *target.Slots
	node   *target.Server
	record membership.Record
}

type testConfig struct {
	snap atomic.Pointer[snapshot.Snapshot]
}

func (c *testConfig) Current() *snapshot.Snapshot { return c.snap.Load() }
func (*testConfig) ConfigAge() time.Duration      { return 4 * time.Second }
func (*testConfig) DataAge() time.Duration        { return 3 * time.Second }
func (*testConfig) NewestKnown() uint64           { return 77 }

func (h *harness) Targets(string) []membership.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

func (h *harness) Fallback(string) []membership.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fallback
}

type harnessOptions struct {
	targets int
	app     []standin.Option
	caller  []caller.Option
	server  []http1.Option
	target  func(i int) []target.Option
	slots   func(i int) []target.SlotsOption
}

func newHarness(t testing.TB, o harnessOptions) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{t: t, ctx: ctx, clk: timer.New(), config: &testConfig{}}
	h.config.snap.Store(testSnapshot(t))
	clockDone := make(chan error, 1)
	go h.clk.Run(ctx, clockDone)
	t.Cleanup(func() { cancel(); <-clockDone })
	for i := range o.targets {
		h.addTarget(i, o)
	}
	client := h.newHopClient(hop.WithCredential(hop.NewCredential(fleetKey)), hop.ExpectContinue())
	h.handler = caller.New(h.config, h, client, hop.NewSealer(fleetKey), h.clk, o.caller...)
	h.caller = caller.NewServer(h.handler, h.clk, event.Discard(), o.server...)
	h.url = "http://" + h.serve(h.caller).String()
	return h
}

func (h *harness) newHopClient(opts ...hop.Option) *hop.Client {
	c := hop.NewClient(h.clk, opts...)
	h.run(c.Run)
	return c
}

// run starts f and stops it when the test ends.
func (h *harness) run(f func(context.Context, chan<- error)) {
	ctx, cancel := context.WithCancel(h.ctx)
	done := make(chan error, 1)
	go f(ctx, done)
	h.t.Cleanup(func() { cancel(); <-done })
}

func (h *harness) serve(s interface {
	Serve(context.Context, net.Listener, chan<- error)
},
) netip.AddrPort {
	ln := listen(h.t)
	h.run(func(ctx context.Context, done chan<- error) { s.Serve(ctx, ln, done) })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func (h *harness) addTarget(i int, o harnessOptions) *testTarget {
	h.t.Helper()
	s := &testTarget{app: standin.New(h.clk, o.app...)}
	ln := listen(h.t)
	s.local = netip.MustParseAddrPort(ln.Addr().String())
	done := make(chan error, 1)
	go s.app.Serve(ln, done)
	h.t.Cleanup(func() { _ = s.app.Close(); <-done })
	var opts []target.Option
	if o.target != nil {
		opts = o.target(i)
	}
	var slotsOpts []target.SlotsOption
	if o.slots != nil {
		slotsOpts = o.slots(i)
	}
	s.slots = target.NewSlots(h.config, "quotes", h.clk, slotsOpts...)
	handler := target.New(s.slots, s.local, h.newHopClient(), hop.NewCredential(fleetKey), hop.NewSealer(fleetKey), h.clk, opts...)
	s.node = target.NewServer(handler, h.clk)
	s.record = membership.NewRecord("t"+strconv.Itoa(i), membership.Pool("quotes"),
		membership.Address(h.serve(s.node)), membership.InState(membership.Ready))
	h.mu.Lock()
	h.targets = append(h.targets, s)
	h.ready = append(h.ready, s.record)
	h.mu.Unlock()
	return s
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := http1.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func testSnapshot(t testing.TB) *snapshot.Snapshot {
	t.Helper()
	c := snapshot.NewChange([]snapshot.Object{
		snapshot.NewOrganisation("harbour", snapshot.Paying, hashOf(payingKey)),
		snapshot.NewOrganisation("visitor", snapshot.Trial, hashOf(trialKey)),
		snapshot.NewService("quoting"),
		snapshot.NewPool("quotes", "quoting", snapshot.Slots(12), snapshot.Promised(8), snapshot.Connections(120), snapshot.Upstreams(5)),
		snapshot.NewRoute("read", "/read", "quoting", "quotes", snapshot.Idempotent(), snapshot.Retries(2), snapshot.Deadline(5*time.Second)),
		snapshot.NewRoute("long", "/long", "quoting", "quotes", snapshot.Idempotent(), snapshot.Deadline(time.Minute)),
		snapshot.NewRoute("short", "/short", "quoting", "quotes", snapshot.Idempotent(), snapshot.Deadline(time.Second)),
		snapshot.NewRoute("bind", "/bind", "quoting", "quotes", snapshot.Retries(2), snapshot.Deadline(5*time.Second)),
	}, nil)
	_, snap, err := snapshot.Empty().Next(c, snapshot.Stamp{PlanID: "p1"})
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newRequest returns a request of the paying organisation.
func (h *harness) newRequest(method, path string, header map[string]string) *http.Request {
	req, err := http.NewRequestWithContext(h.ctx, method, h.url+path, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+payingKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return req
}

// newHTTPClient returns a client that shares no connections with others.
func (h *harness) newHTTPClient() *http.Client {
	tr := &http.Transport{}
	h.t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}
