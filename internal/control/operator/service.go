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
	// DefaultPlanTTL is how long a plan can be confirmed by default.
	DefaultPlanTTL = time.Hour
	// expiredPlanRetention is how long a plan is stored after it expired, so that
	// a late confirm gets "expired" instead of "not found".
	expiredPlanRetention = time.Hour
	// maxPublishAttempts bounds the attempts of a confirm while unrelated plans
	// create the next version first.
	maxPublishAttempts = 10
	// maxConflictHistory bounds the search for who changed an object, in versions;
	// each is one read of the store.
	maxConflictHistory = 200
	planIDBytes        = 10
)

// Service makes plans and confirms them. Each node runs one.
type Service struct {
	versions      Versions
	fleet         Fleet
	clock         *timer.Service
	log           *event.Logger
	random        io.Reader
	ttl           time.Duration
	activeVersion func() *snapshot.Snapshot
}

// Option configures a Service.
type Option func(*Service)

// Clock sets the timer service. The default is the machine's clock.
func Clock(c *timer.Service) Option { return func(s *Service) { s.clock = c } }

// Log sets the event logger. The default discards events.
func Log(l *event.Logger) Option { return func(s *Service) { s.log = l } }

// Random sets the source of plan IDs, which must not repeat. The default is
// crypto/rand.
func Random(r io.Reader) Option { return func(s *Service) { s.random = r } }

// PlanTTL sets how long a plan can be confirmed. The default is DefaultPlanTTL.
func PlanTTL(d time.Duration) Option { return func(s *Service) { s.ttl = d } }

// New returns a service over the store's versions and the fleet.
func New(v Versions, f Fleet, opts ...Option) *Service {
	s := &Service{
		versions: v, fleet: f, clock: timer.New(), log: event.Discard(), random: rand.Reader, ttl: DefaultPlanTTL,
		activeVersion: snapshot.Empty,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Plan computes and stores the plan for an intent on the newest version. A plan
// that changes nothing is not stored and has no ID.
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
	if err := s.checkFormat(ctx); err != nil {
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

// checkFormat returns a FormatRefusedError if a live node could not apply a new
// version. That node would keep the old one permanently.
func (s *Service) checkFormat(ctx context.Context) error {
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
	b := make([]byte, planIDBytes)
	if _, err := io.ReadFull(s.random, b); err != nil {
		return "", unavailable("draw a plan id", err)
	}
	return hex.EncodeToString(b), nil
}

func (s *Service) save(ctx context.Context, p *Plan) error {
	l := newLifecycle(Drafted)
	b, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := s.versions.SavePlan(ctx, p.id, b, s.ttl+expiredPlanRetention); err != nil {
		return unavailable("save the plan", err)
	}
	return l.fire(ctx, triggerSave)
}

// PlanStatus is a plan with its state.
type PlanStatus struct {
	plan    *Plan
	state   State
	version uint64
}

// Plan returns the plan.
func (p PlanStatus) Plan() *Plan { return p.plan }

// State returns the plan's state.
func (p PlanStatus) State() State { return p.state }

// Version returns the version that the plan created, or 0.
func (p PlanStatus) Version() uint64 { return p.version }

// Status returns a plan with its state, and does not change it: a confirm that
// began before the expiry may still make an expired plan active.
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
	if published, ok := out.(Published); ok {
		st.version = published.Version
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

// History returns up to n of the newest versions, from the newest to the oldest.
func (s *Service) History(ctx context.Context, n int) ([]Record, error) {
	records, err := s.versions.History(ctx, n)
	if err != nil {
		return nil, unavailable("read the history", err)
	}
	return records, nil
}

// unavailable wraps an error in an UnavailableError for a step, and returns the
// more specific errors unchanged.
func unavailable(step string, err error) error {
	if isError[*PlanNotFoundError](err) || isError[*OutcomeUnknownError](err) || isError[*TooLargeError](err) ||
		isError[*AbandonedError](err) || isError[*UnavailableError](err) {
		return err
	}
	return &UnavailableError{Step: step, Err: err}
}
