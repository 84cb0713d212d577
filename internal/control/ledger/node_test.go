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
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/once"
	"banyanlug.example/banyanlug/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a mesh of ledgers over loopback that know of each other at once.
type rig struct {
	t     testing.TB
	clock *timer.Service
	store *store.Store
	ctx   context.Context

	mu      sync.Mutex
	members map[string]membership.Record
	nodes   map[string]*process
}

// process is one process of the mesh.
type process struct {
	*Node
	rig    *rig
	name   string
	srv    *http.Server
	client *http.Client
	end    context.CancelFunc
	done   chan error
}

func (p *process) Self() membership.Record {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	return p.rig.members[p.name]
}

func (p *process) Reads() bool { return true }

func (p *process) Records() []membership.Record {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	var out []membership.Record
	for _, r := range p.rig.members {
		out = append(out, r)
	}
	return out
}

func (p *process) Client() *http.Client { return p.client }

func (p *process) BaseURL(a netip.AddrPort) string { return "http://" + a.String() }

func newRig(t testing.TB, names ...string) *rig {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	ticked := make(chan error, 1)
	go clock.Run(ctx, ticked)
	r := &rig{
		t: t, clock: clock, ctx: ctx, store: store.New(clock),
		members: map[string]membership.Record{}, nodes: map[string]*process{},
	}
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.kill()
		}
		cancel()
		<-ticked
	})
	for _, name := range names {
		r.start(name)
	}
	r.until("rows are served", r.settled)
	return r
}

// start starts a process, again at the address of the one before it.
func (r *rig) start(name string) {
	addr := "127.0.0.1:0"
	r.mu.Lock()
	old, again := r.members[name]
	r.mu.Unlock()
	if again {
		addr = old.Peer().String()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		r.t.Fatal(err)
	}
	self := membership.NewSelf(r.clock.Now(), rand.New(rand.NewPCG(1, 2)), name, membership.Domain("d"),
		membership.InState(membership.Ready), membership.Peer(ln.Addr().(*net.TCPAddr).AddrPort()))
	p := &process{rig: r, name: name, client: &http.Client{Transport: &http.Transport{}}, done: make(chan error, 1)}
	r.mu.Lock()
	r.members[name] = self.Record()
	r.nodes[name] = p
	r.mu.Unlock()
	p.Node = New(r.clock, event.Discard(), p, WithStore(r.store))
	p.srv = &http.Server{Handler: p.Service()}
	ctx, cancel := context.WithCancel(r.ctx)
	p.end = cancel
	go func() { _ = p.srv.Serve(ln) }()
	go p.Run(ctx, p.done)
}

// kill ends a process as a crash does: nothing is told to anybody.
func (p *process) kill() {
	if p.end == nil {
		return
	}
	p.srv.Close()
	p.end()
	p.end = nil
	<-p.done
	p.client.CloseIdleConnections()
}

// settled reports whether each living process has the table and all rows are
// served by three.
func (r *rig) settled() bool {
	serves := 0
	for _, n := range r.nodes {
		if n.end != nil {
			if n.row(0).Epoch() == 0 {
				return false
			}
			serves += n.Serves()
		}
	}
	return serves >= 3*once.Rows
}

func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	ctx, cancel := r.clock.WithTimeout(r.ctx, 30*time.Second)
	defer cancel()
	for !ok() {
		if r.clock.Sleep(ctx, 10*time.Millisecond) != nil {
			r.t.Fatalf("not in time: %s", what)
		}
	}
}

// send sends a call at a node and says "runs", "unknown" or its answer.
func (r *rig) send(node, key string) (string, *Claim) {
	r.t.Helper()
	c, answer, err := r.nodes[node].Claim(r.ctx, key, r.clock.Now().Add(2*time.Second))
	var unknown *UnknownError
	switch {
	case errors.As(err, &unknown):
		r.t.Logf("call %q at %s: %v", key, node, err)
		return "unknown", nil
	case err != nil:
		r.t.Fatal(err)
		return "", nil
	case c != nil:
		return "runs", c
	default:
		return string(answer), nil
	}
}

func (r *rig) want(node, key, want string) *Claim {
	r.t.Helper()
	got, c := r.send(node, key)
	if got != want {
		r.t.Errorf("call %q at %s: %s, want %s", key, node, got, want)
	}
	return c
}

// holders returns the names of the holders of a key, and one node that is none.
func (r *rig) holders(key string) (names []string, other string) {
	for _, h := range r.nodes["a"].row(once.RowOf(key)).Holders() {
		names = append(names, h.Instance())
	}
	for name := range r.nodes {
		if !slices.Contains(names, name) {
			other = name
		}
	}
	return names, other
}

// A caller sends a call again at every node, while the first send runs and
// after it. While it runs nothing is known of its end, so the re-sends are
// refused; after it they get its answer. A call that its target refused may
// be sent again.
func TestAResendElsewhereGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d", "e")
	c := r.want("a", "k", "runs")
	r.want("b", "k", "unknown")
	c.Complete([]byte("bound 7"))
	for _, n := range []string{"a", "b", "c", "d", "e"} {
		r.want(n, "k", "bound 7")
	}
	r.want("a", "refused", "runs").Abandon()
	r.want("b", "refused", "runs")
}

// The node that sent a call to its target dies before the answer. Whether the
// target ran it is not known, so no re-send runs, neither now nor after the
// node is back.
func TestACallWhoseNodeDiesStaysUnknown(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d", "e")
	names, other := r.holders("k")
	r.want(other, "k", "runs")
	r.nodes[other].kill()
	r.want(names[0], "k", "unknown")
	r.start(other)
	r.until("the table is there", func() bool { return r.nodes[other].row(0).Epoch() > 0 })
	r.want(other, "k", "unknown")
}

// One of the three holders dies, then another one after the row has been
// handed over, each without coming back. Two always have the records, so
// re-sends get the first answer and new calls run throughout.
func TestHoldersDyingOneByOneLoseNothing(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d", "e")
	names, other := r.holders("k")
	r.want(other, "k", "runs").Complete([]byte("bound"))
	r.want(other, "k", "bound")
	for i, name := range names[:2] {
		r.nodes[name].kill()
		r.want(other, "k", "bound")
		r.mu.Lock()
		delete(r.members, name)
		r.mu.Unlock()
		r.until("others hold the rows", r.settled)
		r.want(other, "k", "bound")
		r.want(other, fmt.Sprint("new", i), "runs")
	}
}

// Two of the three holders crash together and come back without memory while a
// call runs. The third may not know of other calls that the two granted, so
// keys without a time of their own are refused; the running call's answer, when
// it comes, is kept for its re-sends.
func TestTwoHoldersRestartedTogetherRefuseWhatTheyForgot(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d", "e")
	names, other := r.holders("k")
	running := r.want(other, "k", "runs")
	forgotten := "forgotten"
	for i := 0; once.RowOf(forgotten) != once.RowOf("k"); i++ {
		forgotten = fmt.Sprint("forgotten", i)
	}
	r.nodes[names[0]].kill()
	r.nodes[names[1]].kill()
	r.want(other, "k", "unknown")
	r.start(names[0])
	r.start(names[1])
	r.until("the rows are held again", r.settled)
	r.want(other, "k", "unknown")
	// A key without a time of its own may be one that only the two had.
	r.want(other, forgotten, "unknown")
	running.Complete([]byte("late"))
	r.want(other, "k", "late")
}

// The store is out of reach. The holders are there as before, so calls run and
// re-sends get their answers.
func TestClaimsGoOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d")
	r.store.SetDown(true)
	r.want("a", "k", "runs").Complete([]byte("logged"))
	r.want("b", "k", "logged")
}

// The store is restored from an image older than the last changes of holders.
// An epoch given twice would let two sets of holders grant the same key, so the
// nodes' own table goes on; the answer is still there, and new calls run.
func TestAStoreRestoredFromAnOlderImageForgetsNoClaim(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d")
	image := r.store.Image()
	names, other := r.holders("k")
	r.want(other, "k", "runs").Complete([]byte("bound"))
	r.want(other, "k", "bound")
	r.nodes[names[0]].kill()
	r.start(names[0])
	r.until("the rows are held again", r.settled)
	r.store.Rollback(image)
	r.nodes[names[1]].kill()
	r.start(names[1])
	r.until("the rows are held again", r.settled)
	for name := range r.nodes {
		r.want(name, "k", "bound")
	}
	r.want(other, "new", "runs")
}

// Callers send the same calls at all nodes at the same moment. However the
// holders' words fall, each call runs at most once.
func TestSendsAtTheSameMomentRunOnce(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b", "c", "d", "e")
	for i := range 20 {
		key := fmt.Sprint("k", i)
		var wg sync.WaitGroup
		var mu sync.Mutex
		ran := 0
		for name := range r.nodes {
			wg.Go(func() {
				if got, _ := r.send(name, key); got == "runs" {
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

// BenchmarkCall tells what a call's claim adds to it before it runs, over
// loopback and at a rate at which it does not wait for others.
func BenchmarkCall(b *testing.B) {
	r := newRig(b, "a", "b", "c", "d", "e")
	_, other := r.holders("k")
	took := make([]time.Duration, 0, b.N)
	answer := make([]byte, 512)
	before := 0
	for _, n := range r.nodes {
		before += n.Bytes()
	}
	b.ResetTimer()
	for i := range b.N {
		began := r.clock.Now()
		got, c := r.send(other, fmt.Sprintf("organisation\x00route\x00%036d", i))
		if got != "runs" {
			b.Fatal(got)
		}
		took = append(took, r.clock.Since(began))
		c.Complete(answer)
		_ = r.clock.Sleep(r.ctx, time.Millisecond)
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	held := -before
	for _, n := range r.nodes {
		held += n.Bytes()
	}
	b.ReportMetric(float64(held)/float64(b.N), "record-bytes/call")
}
