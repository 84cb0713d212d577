package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// downError stands for a store that does not answer.
type downError struct{}

func (downError) Error() string { return "store down" }

// fault is what befalls one call to the store.
type fault int

const (
	// down fails the call before it does anything.
	down fault = iota + 1
	// lostBefore loses the request of a publish, lostAfter its answer.
	lostBefore
	lostAfter
	// late lets a publish happen only when land is called.
	late
)

// memory is a store of versions that fails on demand.
type memory struct {
	mu        sync.Mutex
	clock     *timer.Service
	head      *snapshot.Snapshot
	records   []Record
	plans     map[string]keptPlan
	published map[string]uint64
	abandoned map[string]bool
	pending   map[string]func()
	// next, by call, is the fault of the next such call.
	next map[string]fault
	// before runs ahead of a call, as when another operator comes first.
	before map[string]func()
}

type keptPlan struct {
	content []byte
	until   time.Time
}

func newMemory(clock *timer.Service) *memory {
	return &memory{
		clock: clock, head: snapshot.Empty(), plans: map[string]keptPlan{}, published: map[string]uint64{},
		abandoned: map[string]bool{}, pending: map[string]func(){}, next: map[string]fault{}, before: map[string]func(){},
	}
}

// enter returns the fault of a call and runs what was to come before it.
func (m *memory) enter(call string) fault {
	m.mu.Lock()
	f, run := m.next[call], m.before[call]
	delete(m.next, call)
	delete(m.before, call)
	m.mu.Unlock()
	if run != nil {
		run()
	}
	return f
}

func (m *memory) Load(context.Context) (*snapshot.Snapshot, error) {
	if m.enter("load") == down {
		return nil, downError{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.head, nil
}

func (m *memory) Publish(_ context.Context, d *snapshot.Delta, next *snapshot.Snapshot) error {
	id := d.Stamp().PlanID
	switch m.enter("publish") {
	case down:
		return &UnavailableError{Step: "publish", Err: downError{}}
	case lostBefore:
		return &OutcomeUnknownError{PlanID: id, Err: downError{}}
	case lostAfter:
		// A failure of no known type says nothing, so it must be unknown too.
		_ = m.swap(d, next)
		return downError{}
	case late:
		m.mu.Lock()
		m.pending[id] = func() { _ = m.swap(d, next) }
		m.mu.Unlock()
		return &OutcomeUnknownError{PlanID: id, Err: downError{}}
	}
	return m.swap(d, next)
}

func (m *memory) swap(d *snapshot.Delta, next *snapshot.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := d.Stamp().PlanID
	if m.published[id] > 0 {
		return nil
	}
	if m.abandoned[id] {
		return &AbandonedError{PlanID: id}
	}
	if d.Parent() != m.head.Digest() || d.Version() != m.head.Version()+1 {
		return &MovedError{Err: downError{}}
	}
	touches, err := d.Touches()
	if err != nil {
		return err
	}
	m.head = next
	m.published[id] = d.Version()
	m.records = append([]Record{NewRecord(d.Version(), d.Stamp(), touches)}, m.records...)
	return nil
}

// land lets the late publishes of a plan happen.
func (m *memory) land(id string) {
	m.mu.Lock()
	run := m.pending[id]
	delete(m.pending, id)
	m.mu.Unlock()
	if run != nil {
		run()
	}
}

func (m *memory) Outcome(_ context.Context, id string) (Outcome, error) {
	if m.enter("outcome") == down {
		return nil, downError{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, underWay := m.pending[id]
	switch {
	case m.published[id] > 0:
		return Published{m.published[id]}, nil
	case m.abandoned[id]:
		return NotPublished{Abandoned: true}, nil
	case underWay:
		return Unknown{UnderWay: true}, nil
	case m.kept(id) == nil:
		return Unknown{}, nil
	}
	return NotPublished{}, nil
}

func (m *memory) Abandon(_ context.Context, id string) (Outcome, error) {
	if m.enter("abandon") == down {
		return nil, downError{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.published[id]; v > 0 {
		return Published{v}, nil
	}
	m.abandoned[id] = true
	return NotPublished{Abandoned: true}, nil
}

func (m *memory) Restore(_ context.Context, s *snapshot.Snapshot) error {
	if m.enter("restore") == down {
		return &UnavailableError{Step: "restore", Err: downError{}}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.head.Version() > s.Version() {
		return &StoreNewerError{Stored: m.head.Version(), Held: s.Version()}
	}
	m.head = s
	return nil
}

func (m *memory) SavePlan(_ context.Context, id string, b []byte, ttl time.Duration) error {
	if m.enter("save") == down {
		return downError{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plans[id] = keptPlan{b, m.clock.Now().Add(ttl)}
	return nil
}

func (m *memory) kept(id string) []byte {
	if p, ok := m.plans[id]; ok && m.clock.Now().Before(p.until) {
		return p.content
	}
	return nil
}

func (m *memory) LoadPlan(_ context.Context, id string) ([]byte, error) {
	if m.enter("plan") == down {
		return nil, downError{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.kept(id); b != nil {
		return b, nil
	}
	return nil, &PlanNotFoundError{PlanID: id}
}

func (m *memory) History(_ context.Context, n int) ([]Record, error) {
	if m.enter("history") == down {
		return nil, downError{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Record(nil), m.records[:min(n, len(m.records))]...), nil
}

// fleet is a few nodes.
type fleet struct {
	nodes  []Node
	lowest uint32
	err    error
}

func (f *fleet) Nodes(context.Context) ([]Node, error) { return f.nodes, f.err }

func (f *fleet) LowestFormat(context.Context) (uint32, string, error) {
	if f.lowest == 0 {
		return 0, "", f.err
	}
	return f.lowest, "n7", f.err
}

// failer is what a bench needs of a test, be it the language's or rapid's.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// bench is a service over a store that fails on demand, with a manual clock.
type bench struct {
	tb    failer
	clock *timer.Service
	store *memory
	fleet *fleet
	*Service
}

func newBench(tb failer, objects ...snapshot.Object) *bench {
	clock := timer.NewManual(start)
	b := &bench{tb: tb, clock: clock, store: newMemory(clock), fleet: &fleet{lowest: snapshot.FormatLevel}}
	b.Service = New(b.store, b.fleet, Clock(clock), Random(seeded(1)))
	if len(objects) > 0 {
		b.confirmed("setup", NewWhole(objects))
	}
	return b
}

// seeded is a source of plan ids that is the same in each run.
func seeded(seed uint64) io.Reader { return rand.NewChaCha8([32]byte{byte(seed)}) }

func (b *bench) planned(operator string, i Intent) *Plan {
	b.tb.Helper()
	p, err := b.Plan(context.Background(), operator, i)
	if err != nil {
		b.tb.Fatalf("plan: %v", err)
	}
	return p
}

func (b *bench) confirmed(operator string, i Intent) uint64 {
	b.tb.Helper()
	v, err := b.Confirm(context.Background(), operator, b.planned(operator, i).ID())
	if err != nil {
		b.tb.Fatalf("confirm: %v", err)
	}
	return v
}

// confirm returns "vN" for a version, or the type and text of the failure.
func (b *bench) confirm(p *Plan) string {
	v, err := b.Confirm(context.Background(), "bo", p.ID())
	if err != nil {
		return string(typeOf(err)) + ": " + err.Error()
	}
	return fmt.Sprintf("v%d", v)
}

func set(o ...snapshot.Object) Edit { return NewEdit(o, nil) }
func remove(kind snapshot.Kind, n string) Edit {
	return NewEdit(nil, []snapshot.Key{{Kind: kind, Name: n}})
}

func pool(name, service string, slots, promised int) snapshot.Pool {
	return snapshot.NewPool(name, service, snapshot.Slots(slots), snapshot.Promised(promised),
		snapshot.Connections(100), snapshot.Upstreams(2))
}

func walls() []snapshot.Object {
	return []snapshot.Object{
		snapshot.NewService("maps"), snapshot.NewService("ledger"),
		pool("maps", "maps", 17, 11), pool("spare", "maps", 10, 0), pool("ledger", "ledger", 17, 13),
		snapshot.NewRoute("view", "/walls", "maps", "maps", snapshot.Idempotent()),
		snapshot.NewRoute("send", "/ascents", "ledger", "ledger"),
		snapshot.NewOrganisation("gym", snapshot.Paying), snapshot.NewOrganisation("club", snapshot.Trial),
	}
}

func as[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a %T", err, e)
	}
	return e
}
