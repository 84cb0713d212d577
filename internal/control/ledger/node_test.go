package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/idempotency"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a mesh of nodes over loopback whose membership is always current.
type harness struct {
	t     testing.TB
	clock *timer.Service
	store *store.Store
	ctx   context.Context

	mu      sync.Mutex
	members map[string]membership.Record
	nodes   map[string]*process
}

// process is a Node with the server and the client of its process.
type process struct {
	*Node
	harness *harness
	name    string
	srv     *http.Server
	client  *http.Client
	cancel  context.CancelFunc
	done    chan error
}

func (p *process) Self() membership.Record {
	p.harness.mu.Lock()
	defer p.harness.mu.Unlock()
	return p.harness.members[p.name]
}

func (p *process) ReadsStore() bool { return true }

func (p *process) Records() []membership.Record {
	p.harness.mu.Lock()
	defer p.harness.mu.Unlock()
	var out []membership.Record
	for _, r := range p.harness.members {
		out = append(out, r)
	}
	return out
}

func (p *process) Client() *http.Client { return p.client }

func (p *process) BaseURL(a netip.AddrPort) string { return "http://" + a.String() }

func newHarness(t testing.TB, names ...string) *harness {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	ticked := make(chan error, 1)
	go clock.Run(ctx, ticked)
	h := &harness{
		t: t, clock: clock, ctx: ctx, store: store.New(clock),
		members: map[string]membership.Record{}, nodes: map[string]*process{},
	}
	t.Cleanup(func() {
		for _, n := range h.nodes {
			n.kill()
		}
		cancel()
		<-ticked
	})
	for _, name := range names {
		h.start(name)
	}
	h.waitFor("partitions are served", h.allServed)
	return h
}

// start starts a process; a restarted one gets the address of its predecessor.
func (h *harness) start(name string) {
	addr := "127.0.0.1:0"
	h.mu.Lock()
	previous, restarted := h.members[name]
	h.mu.Unlock()
	if restarted {
		addr = previous.ControlAddress().String()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		h.t.Fatal(err)
	}
	self := membership.NewSelf(h.clock.Now(), rand.New(rand.NewPCG(1, 2)), name, membership.Domain("d"),
		membership.InState(membership.Ready), membership.ControlAddress(ln.Addr().(*net.TCPAddr).AddrPort()))
	p := &process{harness: h, name: name, client: &http.Client{Transport: &http.Transport{Protocols: h2c()}}, done: make(chan error, 1)}
	h.mu.Lock()
	h.members[name] = self.Record()
	h.nodes[name] = p
	h.mu.Unlock()
	p.Node = New(h.clock, event.Discard(), p, WithStore(h.store))
	p.srv = &http.Server{Handler: p.Service(), Protocols: h2c()}
	ctx, cancel := context.WithCancel(h.ctx)
	p.cancel = cancel
	go func() { _ = p.srv.Serve(ln) }()
	go p.Run(ctx, p.done)
}

// h2c returns the protocol that nodes speak with each other.
func h2c() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// kill ends a process without notice to others, as a crash does.
func (p *process) kill() {
	if p.cancel == nil {
		return
	}
	p.srv.Close()
	p.cancel()
	p.cancel = nil
	<-p.done
	p.client.CloseIdleConnections()
}

// allServed reports whether each running process has the table and each partition
// is served by three replicas.
func (h *harness) allServed() bool {
	served := 0
	for _, n := range h.nodes {
		if n.cancel != nil {
			if n.assignment(0).Epoch() == 0 {
				return false
			}
			served += n.ServedPartitions()
		}
	}
	return served >= 3*idempotency.Partitions
}

func (h *harness) waitFor(what string, ok func() bool) {
	h.t.Helper()
	ctx, cancel := h.clock.WithTimeout(h.ctx, 30*time.Second)
	defer cancel()
	for !ok() {
		if h.clock.Sleep(ctx, 10*time.Millisecond) != nil {
			h.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// send makes an attempt of a call at a node and returns "runs", "unknown" or the
// earlier attempt's answer.
func (h *harness) send(node, key string) (string, *Claim) {
	h.t.Helper()
	c, answer, err := h.nodes[node].Claim(h.ctx, key, h.clock.Now().Add(2*time.Second))
	var unknown *UnknownError
	switch {
	case errors.As(err, &unknown):
		h.t.Logf("call %q at %s: %v", key, node, err)
		return "unknown", nil
	case err != nil:
		h.t.Fatal(err)
		return "", nil
	case c != nil:
		return "runs", c
	default:
		return string(answer), nil
	}
}

func (h *harness) expect(node, key, want string) *Claim {
	h.t.Helper()
	got, c := h.send(node, key)
	if got != want {
		h.t.Errorf("call %q at %s: %s, want %s", key, node, got, want)
	}
	return c
}

// replicas returns the names of the key's replicas, and a node that is not one.
func (h *harness) replicas(key string) (names []string, outsider string) {
	for _, replica := range h.nodes["a"].assignment(idempotency.PartitionOf(key)).Replicas() {
		names = append(names, replica.Instance())
	}
	for name := range h.nodes {
		if !slices.Contains(names, name) {
			outsider = name
		}
	}
	return names, outsider
}

// Attempts at other nodes must get an unknown outcome while the first one runs, and its
// answer afterwards. A call that its target rejected may run again.
func TestRetryAtAnotherNodeGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d", "e")
	c := h.expect("a", "k", "runs")
	h.expect("b", "k", "unknown")
	c.Complete([]byte("bound 7"))
	for _, n := range []string{"a", "b", "c", "d", "e"} {
		h.expect(n, "k", "bound 7")
	}
	h.expect("a", "refused", "runs").Abandon()
	h.expect("b", "refused", "runs")
}

// The node that sent a call to its target crashes. The target may have run the call,
// so no other attempt may run, also after the node's restart.
func TestCallOfACrashedNodeStaysUnknown(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d", "e")
	names, other := h.replicas("k")
	h.expect(other, "k", "runs")
	h.nodes[other].kill()
	h.expect(names[0], "k", "unknown")
	h.start(other)
	h.waitFor("the node has the table", func() bool { return h.nodes[other].assignment(0).Epoch() > 0 })
	h.expect(other, "k", "unknown")
}

// Two replicas crash for good, the second after the partition was handed over. No
// answer may be lost, and new calls must run.
func TestSequentialReplicaFailuresLoseNoRecord(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d", "e")
	names, other := h.replicas("k")
	h.expect(other, "k", "runs").Complete([]byte("bound"))
	h.expect(other, "k", "bound")
	for i, name := range names[:2] {
		h.nodes[name].kill()
		h.expect(other, "k", "bound")
		h.mu.Lock()
		delete(h.members, name)
		h.mu.Unlock()
		h.waitFor("others serve the partitions", h.allServed)
		h.expect(other, "k", "bound")
		h.expect(other, fmt.Sprint("new", i), "runs")
	}
}

// Two replicas restart without records while a call runs. Keys that they may have
// granted must be refused, and the running call's answer must still be recorded.
func TestKeysWithoutTimestampAreRefusedAfterTwoReplicasRestart(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d", "e")
	names, other := h.replicas("k")
	running := h.expect(other, "k", "runs")
	forgotten := "forgotten"
	for i := 0; idempotency.PartitionOf(forgotten) != idempotency.PartitionOf("k"); i++ {
		forgotten = fmt.Sprint("forgotten", i)
	}
	h.nodes[names[0]].kill()
	h.nodes[names[1]].kill()
	h.expect(other, "k", "unknown")
	h.start(names[0])
	h.start(names[1])
	h.waitFor("the partitions are served again", h.allServed)
	h.expect(other, "k", "unknown")
	// The lost records may have included this key.
	h.expect(other, forgotten, "unknown")
	running.Complete([]byte("late"))
	h.expect(other, "k", "late")
}

// An unavailable store must not stop claims: the replicas remain as they are.
func TestClaimsGoOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d")
	h.store.SetDown(true)
	h.expect("a", "k", "runs").Complete([]byte("logged"))
	h.expect("b", "k", "logged")
}

// The store is restored from an image older than the last changes of replicas. If an
// epoch were assigned twice, two sets of replicas could grant the same key.
func TestAStoreRestoredFromAnOlderImageForgetsNoClaim(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d")
	image := h.store.Image()
	names, other := h.replicas("k")
	h.expect(other, "k", "runs").Complete([]byte("bound"))
	h.expect(other, "k", "bound")
	h.nodes[names[0]].kill()
	h.start(names[0])
	h.waitFor("the partitions are served again", h.allServed)
	h.store.Rollback(image)
	h.nodes[names[1]].kill()
	h.start(names[1])
	h.waitFor("the partitions are served again", h.allServed)
	for name := range h.nodes {
		h.expect(name, "k", "bound")
	}
	h.expect(other, "new", "runs")
}

// The same calls are sent at all nodes at once; each may run at most once.
func TestConcurrentAttemptsRunOnce(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "a", "b", "c", "d", "e")
	for i := range 20 {
		key := fmt.Sprint("k", i)
		var wg sync.WaitGroup
		var mu sync.Mutex
		ran := 0
		for name := range h.nodes {
			wg.Go(func() {
				if got, _ := h.send(name, key); got == "runs" {
					mu.Lock()
					defer mu.Unlock()
					ran++
				}
			})
		}
		wg.Wait()
		if ran > 1 {
			t.Errorf("call %s ran %d times", key, ran)
		}
	}
}

// fleetView is the view of a node of a fleet whose members don't change.
type fleetView struct {
	Mesh
	records []membership.Record
}

func (v fleetView) Self() membership.Record      { return v.records[0] }
func (v fleetView) Records() []membership.Record { return v.records }

// BenchmarkPlan measures the regular comparison of replicas and members at rest.
func BenchmarkPlan(b *testing.B) {
	v := fleetView{}
	for i := range 985 {
		addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
		v.records = append(v.records, membership.NewRecord(fmt.Sprint("node", i), membership.Domain(fmt.Sprint("d", i%6)),
			membership.InState(membership.Ready), membership.ControlAddress(addr)))
	}
	m := New(timer.New(), event.Discard(), v).manager
	table := &ledgerpb.Table{}
	for next := m.plannedChanges(table); len(next.GetRows()) > 0; next = m.plannedChanges(table) {
		table = withChanges(table, next)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(m.plannedChanges(table).GetRows()) > 0 {
			b.Fatal("a change is planned")
		}
	}
}

// BenchmarkCall measures the latency of a claim over loopback at a rate without
// queueing, and the record memory per call.
func BenchmarkCall(b *testing.B) {
	h := newHarness(b, "a", "b", "c", "d", "e")
	_, other := h.replicas("k")
	latencies := make([]time.Duration, 0, b.N)
	answer := make([]byte, 512)
	bytesBefore := 0
	for _, n := range h.nodes {
		bytesBefore += n.Bytes()
	}
	b.ResetTimer()
	for i := range b.N {
		start := h.clock.Now()
		got, c := h.send(other, fmt.Sprintf("organisation\x00route\x00%036d", i))
		if got != "runs" {
			b.Fatal(got)
		}
		latencies = append(latencies, h.clock.Since(start))
		c.Complete(answer)
		_ = h.clock.Sleep(h.ctx, time.Millisecond)
	}
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	added := -bytesBefore
	for _, n := range h.nodes {
		added += n.Bytes()
	}
	b.ReportMetric(float64(added)/float64(b.N), "record-bytes/call")
}
