package issuer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/issuer/issuerpb"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/token"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// mesh runs the agents of nodes on loopback, on a clock that stands still.
type mesh struct {
	t      *testing.T
	clk    *timer.Service
	agents map[string]*Agent
	stop   map[string]func()
	late   atomic.Int32 // answers that come too late for their tokens

	mu      sync.Mutex
	records map[string][]membership.Record // by domain
	snap    *snapshot.Snapshot
}

func (m *mesh) HighestRanked(domain string, n int) []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[domain][:min(n, len(m.records[domain]))]
}

func (m *mesh) Size() int { return 6 }

func (m *mesh) Current() *snapshot.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snap
}

var acme = snapshot.NewLimit("acme", 60, 0).WithBurst(60)

func margin() token.Margin { return token.Margin{Window: 5 * time.Second, Ratio: 0.1, Calls: 20} }

// newClock returns a clock that stands still.
func newClock() *timer.Service { return timer.NewManual(time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)) }

// acmeSnapshot returns a configuration with the organisation acme and its limit.
func acmeSnapshot(t testing.TB) *snapshot.Snapshot {
	t.Helper()
	snap, err := snapshot.Assemble(1, []snapshot.Object{snapshot.NewOrganisation("acme", snapshot.Paying), acme})
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func newMesh(t *testing.T) *mesh {
	t.Helper()
	clk := newClock()
	m := &mesh{t: t, clk: clk, agents: map[string]*Agent{}, stop: map[string]func(){}, records: map[string][]membership.Record{}, snap: acmeSnapshot(t)}
	for _, n := range []struct{ domain, name string }{{"a", "n1"}, {"a", "n2"}, {"a", "n3"}, {"b", "n4"}, {"b", "n5"}, {"b", "n6"}} {
		m.start(n.domain, n.name)
	}
	// The issuers have been up for long: their buckets are full.
	for _, a := range m.agents {
		a.observeOthers(t.Context())
	}
	clk.Advance(time.Minute)
	return m
}

func (m *mesh) start(domain, name string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(ln.Addr().String())
	m.mu.Lock()
	m.records[domain] = append(m.records[domain], membership.NewRecord(name, membership.Domain(domain), membership.ControlAddress(peer)))
	m.mu.Unlock()
	a := New(m.clk, m, m, name, domain, []string{"a", "b"}, WithMargin(margin))
	m.agents[name] = a
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.Service().ServeHTTP(w, r)
		if m.late.Add(-1) >= 0 {
			m.clk.Advance(210 * time.Millisecond) // longer than tokens are valid
		}
	})
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: handler}
	served, ran := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { served <- srv.Serve(ln) }()
	go a.Run(ctx, ran)
	m.stop[name] = sync.OnceFunc(func() {
		_ = srv.Close()
		<-served
		m.hold(peer)
		cancel()
		<-ran
	})
	m.t.Cleanup(m.stop[name])
}

// hold binds the address of a stopped issuer without listening on it: connections are refused, and
// no issuer of another test gets the address.
func (m *mesh) hold(address netip.AddrPort) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.t.Cleanup(func() { _ = syscall.Close(fd) })
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}))
	if err != nil {
		m.t.Error(err)
	}
}

// allowed returns how many of n calls at a node are allowed.
func (m *mesh) allowed(node string, n int) int {
	count := 0
	for range n {
		if _, ok := m.agents[node].Allow(m.clk.Now(), acme).(limit.Allowed); ok {
			count++
		}
	}
	return count
}

// total is the number of tokens that the buckets of both domains hold.
func (m *mesh) total() int {
	p := token.NewPlan(acme, margin(), 2)
	return 2 * p.Capacity()
}

// All nodes together get what the issuers of both domains have, wherever the calls come.
func TestTokensAreTakenFromBothDomains(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	if got := m.allowed("n1", 100); got != m.total() {
		t.Errorf("%d calls are allowed at one node, want %d", got, m.total())
	}
	if got := m.allowed("n5", 100); got != 0 {
		t.Errorf("%d further calls are allowed at another node", got)
	}
	d, ok := m.agents["n5"].Allow(m.clk.Now(), acme).(limit.Refused)
	if !ok || d.RetryAfter() <= 0 || d.Quantity() != limit.Rate {
		t.Errorf("decision %+v", d)
	}
	m.clk.Advance(10 * time.Second)
	// The buckets are full again, and the other domain keeps what its last demand needs.
	if got, full := m.allowed("n5", 200), m.total(); got < full/2 || got > full+4 {
		t.Errorf("%d calls are allowed ten seconds later, want nearly %d", got, full)
	}
}

// Guards against callers that are refused or wait while an issuer is down: the next one
// issues.
func TestTheNextNodeIssuesWhenAnIssuerIsDown(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	first := byWeight("acme", m.records["a"], membership.Record.Instance)[0].Instance()
	m.stop[first]()
	for _, name := range []string{"n1", "n2", "n3"} {
		if name == first {
			continue
		}
		if got := m.allowed(name, 1); got != 1 {
			t.Errorf("%s refuses a call", name)
		}
	}
}

// Guards against two issuers of a domain in use at once: one that does not answer in time may
// still issue to other nodes. Tokens are taken in the other domain meanwhile.
func TestAnIssuerThatDoesNotAnswerIsNotReplaced(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	first := byWeight("acme", m.records["a"], membership.Record.Instance)[0].Instance()
	node := m.agents["n1"]
	if first == "n1" {
		node = m.agents["n2"]
	}
	node.avoid[first] = avoided{until: m.clk.Now().Add(time.Hour)}
	count := 0
	for range 100 {
		if _, ok := node.Allow(m.clk.Now(), acme).(limit.Allowed); ok {
			count++
		}
	}
	if count == 0 || count > m.total() {
		t.Errorf("%d calls are allowed, want some and at most %d", count, m.total())
	}
	for name, a := range m.agents {
		if issued := a.Issued(); issued > 0 && name != first && slices.ContainsFunc(m.records["a"], func(r membership.Record) bool { return r.Instance() == name }) {
			t.Errorf("%s has issued %d tokens in place of %s", name, issued, first)
		}
	}
}

// A node that reaches no issuer has a small part of the limit of its own, and none at once.
func TestANodeWithoutIssuersUsesItsOwnPart(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	for _, n := range []string{"n1", "n2", "n4", "n5", "n6"} {
		m.stop[n]()
	}
	m.mu.Lock()
	m.records["a"] = m.records["a"][:2]
	m.mu.Unlock()
	if got := m.allowed("n3", 5); got != 0 {
		t.Errorf("%d calls are allowed at once", got)
	}
	m.clk.Advance(3 * time.Second)
	if got := m.allowed("n3", 5); got != 1 {
		t.Errorf("%d calls are allowed three seconds later, want 1", got)
	}
}

// Guards against organisations that are refused because an issuer's configuration is newer
// or older than that of the node.
func TestVersionsOfNodeAndIssuerMayDiffer(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	without, err := snapshot.Assemble(2, []snapshot.Object{snapshot.NewOrganisation("acme", snapshot.Paying)})
	if err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	m.snap = without
	m.mu.Unlock()
	if got := m.allowed("n1", 1000); got != 1000 {
		t.Errorf("%d of 1000 calls are allowed though the limit has been removed", got)
	}
	m.mu.Lock()
	m.snap = snapshot.Empty()
	m.mu.Unlock()
	if got := m.allowed("n1", 5); got != 0 {
		t.Errorf("%d calls are allowed by issuers without a configuration", got)
	}
}

// The token of a call that was not run is used by the next one.
func TestReleasedTokensAreUsedAgain(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	if got := m.allowed("n1", 1000); got != m.total() {
		t.Fatalf("%d calls are allowed, want %d", got, m.total())
	}
	m.agents["n1"].Done(m.clk.Now(), m.clk.Now(), acme, false)
	if got := m.allowed("n1", 1); got != 0 {
		t.Error("the token of a call that may have run is used again")
	}
	m.agents["n1"].Done(m.clk.Now(), m.clk.Now(), acme, true)
	if got := m.allowed("n1", 2); got != 1 {
		t.Errorf("%d calls are allowed with one returned token", got)
	}
}

func TestManyCallsShareOneRequest(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() { m.agents["n1"].Allow(m.clk.Now(), acme) })
	}
	calls.Wait()
	if got := m.agents["n1"].Requests(); got > 100 {
		t.Errorf("%d requests for 50 calls", got)
	}
}

// Guards against nodes that learn no levels from their issuers, levels that outlive an
// issuer, and organisations beyond the bound in its metrics.
func TestNodesLearnLevelsAndLoseThemWithTheIssuer(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	highest := func(node string) (level int) {
		// One call in some is sent at level 0.
		for range 2 {
			level = max(level, m.agents[node].Level(m.clk.Now(), acme))
		}
		return level
	}
	if got := highest("n1"); got != 0 {
		t.Errorf("level %d before the first call", got)
	}
	for range 40 {
		m.allowed("n1", 12)
		m.clk.Advance(250 * time.Millisecond)
	}
	if got := highest("n1"); got != token.HighestLevel {
		t.Errorf("level %d with nearly all of the limit used in one domain", got)
	}
	first := byWeight("acme", m.records["a"], membership.Record.Instance)[0].Instance()
	var out strings.Builder
	m.agents[first].WriteMetrics(&out)
	if want := `banyanlug_organisation_level{organisation="acme"} 3`; !strings.Contains(out.String(), want) {
		t.Errorf("metrics without %s:\n%s", want, out.String())
	}
	// A new process of the issuer has no buckets.
	m.stop[first]()
	m.mu.Lock()
	m.records["a"] = slices.DeleteFunc(slices.Clone(m.records["a"]), func(r membership.Record) bool { return r.Instance() == first })
	m.mu.Unlock()
	m.start("a", first)
	m.allowed("n1", 1)
	if got := highest("n1"); got != 0 {
		t.Errorf("level %d after the issuer has restarted", got)
	}
}

// Guards against issuers that begin to fill a bucket only when the first call comes, so that
// all organisations are refused in the first second of their traffic.
func TestBucketsAreFullBeforeTheFirstCall(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	if m.allowed("n1", 1) != 1 {
		t.Error("the first call of an organisation is refused")
	}
}

// Guards against tokens that a node issues as soon as it has started or its member list has
// changed, while others still take theirs from its predecessor.
func TestANewIssuerIssuesNothingAtFirst(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	first := byWeight("acme", m.records["a"], membership.Record.Instance)[0].Instance()
	m.mu.Lock()
	m.records["a"] = slices.DeleteFunc(slices.Clone(m.records["a"]), func(r membership.Record) bool { return r.Instance() == first })
	m.mu.Unlock()
	next := m.agents[byWeight("acme", m.records["a"], membership.Record.Instance)[0].Instance()]
	take := func() uint32 {
		resp, err := next.Take(t.Context(), &issuerpb.TakeRequest{Organisation: "acme", Tokens: 1, Lend: true})
		if err != nil {
			t.Fatal(err)
		}
		return resp.GetTokens()
	}
	if got := take(); got != 0 {
		t.Errorf("%d tokens are issued at once", got)
	}
	m.clk.Advance(2 * time.Second)
	if got := take(); got != 1 {
		t.Errorf("%d tokens are issued two seconds later, want 1", got)
	}
}

// Guards against an organisation that a node refuses for good, since calls whose tokens came
// late count as waiting less than none.
func TestLateAnswersRefuseNoLaterCalls(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	first := byWeight("acme", m.records["a"], membership.Record.Instance)[0].Instance()
	node := "n1"
	if node == first {
		node = "n2"
	}
	m.late.Store(2)
	m.allowed(node, 1)
	for i := range 20 {
		m.clk.Advance(time.Second)
		if m.allowed(node, 1) != 1 {
			t.Fatalf("call %d after the late answers is refused", i)
		}
	}
}
