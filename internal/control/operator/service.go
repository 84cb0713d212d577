package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
)

const (
	// DefaultPlanTTL is long enough to have a plan read by a colleague, and
	// short enough that nobody confirms what yesterday's shift had in mind.
	DefaultPlanTTL = time.Hour
	// keepAfter is how long a plan is kept once it expired, so that a late
	// confirm is told "expired" and not "never was".
	keepAfter = time.Hour
	// maxTries bounds how often a confirm starts again because an unrelated
	// plan came first. Each loss means that someone else's plan won, so ten in
	// a row need ten operators who confirm within one round trip.
	maxTries = 10
	// maxHistory bounds the search for who changed an object, which reads the
	// store once for each version.
	maxHistory = 200
	planIDLen  = 10
)

// Service makes plans and confirms them; any node runs one.
type Service struct {
	versions Versions
	fleet    Fleet
	clock    *timer.Service
	log      *event.Logger
	random   io.Reader
	ttl      time.Duration
	held     func() *snapshot.Snapshot
}

// Option sets one property of a service.
type Option func(*Service)

// Clock sets the timer service; without it the machine's clock is read.
func Clock(c *timer.Service) Option { return func(s *Service) { s.clock = c } }

// Log sets where events go.
func Log(l *event.Logger) Option { return func(s *Service) { s.log = l } }

// Random sets where plan ids come from, which must not repeat.
func Random(r io.Reader) Option { return func(s *Service) { s.random = r } }

// PlanTTL sets how long a plan can be confirmed.
func PlanTTL(d time.Duration) Option { return func(s *Service) { s.ttl = d } }

// New returns a service over the store's versions and the fleet.
func New(v Versions, f Fleet, opts ...Option) *Service {
	s := &Service{
		versions: v, fleet: f, clock: timer.New(), log: event.Discard(), random: rand.Reader, ttl: DefaultPlanTTL,
		held: snapshot.Empty,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Plan works out and keeps what an intent does to the newest version. A plan
// that changes nothing is not kept and has no id.
func (s *Service) Plan(ctx context.Context, operator string, intent Intent) (*Plan, error) {
	head, err := s.versions.Load(ctx)
	if err != nil {
		return nil, unavailable("load the newest version", err)
	}
	p, err := newPlan(head, intent)
	if err != nil {
		return nil, err
	}
	p.operator, p.created = operator, s.clock.Now().UTC().Truncate(time.Millisecond)
	if p.change.Empty() {
		return p, nil
	}
	if err := s.applicable(ctx); err != nil {
		return nil, err
	}
	p.expires = p.created.Add(s.ttl)
	if p.id, err = s.newID(); err != nil {
		return nil, err
	}
	if err := s.save(ctx, p); err != nil {
		return nil, err
	}
	s.log.Emit(event.PlanMade, event.F("plan", p.id), event.F("operator", operator), event.F("base", p.base))
	return p, nil
}

// applicable refuses a plan that a live node could not apply: it would keep
// the version before for good, and the fleet would be in two.
func (s *Service) applicable(ctx context.Context) error {
	level, node, err := s.fleet.LowestFormat(ctx)
	if err != nil {
		return unavailable("ask for the fleet's format level", err)
	}
	if node != "" && level < snapshot.FormatLevel {
		return &FormatRefusedError{Need: snapshot.FormatLevel, Have: level, Node: node}
	}
	return nil
}

func (s *Service) newID() (string, error) {
	b := make([]byte, planIDLen)
	if _, err := io.ReadFull(s.random, b); err != nil {
		return "", unavailable("draw a plan id", err)
	}
	return hex.EncodeToString(b), nil
}

func (s *Service) save(ctx context.Context, p *Plan) error {
	l := newLife(Drafted)
	b, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := s.versions.SavePlan(ctx, p.id, b, s.ttl+keepAfter); err != nil {
		return unavailable("save the plan", err)
	}
	return l.fire(ctx, triggerSave)
}

// PlanStatus is a plan and what became of it.
type PlanStatus struct {
	plan    *Plan
	state   State
	version uint64
}

// Plan returns the plan.
func (p PlanStatus) Plan() *Plan { return p.plan }

// State returns where the plan is in its life.
func (p PlanStatus) State() State { return p.state }

// Version returns the version that the plan made, or 0.
func (p PlanStatus) Version() uint64 { return p.version }

// Status returns a plan and what became of it. It only looks: a confirm that
// began before a plan expired may still put it in force.
func (s *Service) Status(ctx context.Context, planID string) (PlanStatus, error) {
	out, err := s.versions.Outcome(ctx, planID)
	if err != nil {
		return PlanStatus{}, unavailable("look up the plan's outcome", err)
	}
	p, err := s.load(ctx, planID)
	if err != nil {
		return PlanStatus{}, err
	}
	st := PlanStatus{plan: p, state: stateOf(out)}
	if done, ok := out.(Published); ok {
		st.version = done.Version
	}
	if st.state == Planned && s.clock.Now().After(p.expires) {
		st.state = Expired
	}
	return st, nil
}

func stateOf(out Outcome) State {
	switch out := out.(type) {
	case Published:
		return Confirmed
	case NotPublished:
		if out.Abandoned {
			return Expired
		}
		return Planned
	default:
		return Uncertain
	}
}

func (s *Service) load(ctx context.Context, planID string) (*Plan, error) {
	b, err := s.versions.LoadPlan(ctx, planID)
	if err != nil {
		return nil, unavailable("load the plan", err)
	}
	p := &Plan{}
	if err := json.Unmarshal(b, p); err != nil {
		return nil, &DamagedPlanError{PlanID: planID, Err: err}
	}
	return p, nil
}

// Newest returns the newest version.
func (s *Service) Newest(ctx context.Context) (*snapshot.Snapshot, error) {
	head, err := s.versions.Load(ctx)
	if err != nil {
		return nil, unavailable("load the newest version", err)
	}
	return head, nil
}

// Nodes returns the live nodes.
func (s *Service) Nodes(ctx context.Context) ([]Node, error) {
	nodes, err := s.fleet.Nodes(ctx)
	if err != nil {
		return nil, unavailable("ask for the fleet's nodes", err)
	}
	return nodes, nil
}

// History returns up to n of the newest versions, the newest first.
func (s *Service) History(ctx context.Context, n int) ([]Record, error) {
	records, err := s.versions.History(ctx, n)
	if err != nil {
		return nil, unavailable("read the history", err)
	}
	return records, nil
}

// unavailable adds the step to a failure of the store, and leaves those that
// say more as they are.
func unavailable(step string, err error) error {
	if is[*PlanNotFoundError](err) || is[*OutcomeUnknownError](err) || is[*TooLargeError](err) ||
		is[*AbandonedError](err) || is[*UnavailableError](err) {
		return err
	}
	return &UnavailableError{Step: step, Err: err}
}
