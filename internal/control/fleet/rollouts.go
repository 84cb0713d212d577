package fleet

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// RolloutCodec converts rollout orders and statuses between the store's format and the
// types of package rollout.
type RolloutCodec interface {
	// Order parses a rollout order; ok is false if the value's key is not that of an order.
	Order(v platform.Value) (o rollout.Order, ok bool, err error)
	// Status parses the status of a pool's rollout; ok is false if the value's key is not
	// that of a status.
	Status(v platform.Value) (pool string, s rollout.Status, ok bool, err error)
	// EncodeStatus returns the key and value that publish the status of a pool's rollout.
	EncodeStatus(pool string, state rollout.State, version string) (key string, value []byte)
}

// WithRollouts enables rollouts. limit returns the maximum share of a pool's calls, from 0
// to 1, that an unproven version may get; at 0, all orders are ignored.
func WithRollouts(codec RolloutCodec, limit func() float64) Option {
	return func(f *Fleet) { f.rollouts.codec, f.rollouts.limit = codec, limit }
}

// WithRunningCalls sets a function that returns the number of calls running at the target
// beside this node.
func WithRunningCalls(running func() int) Option {
	return func(f *Fleet) { f.rollouts.running = running }
}

// progressPrefix is the key prefix of rollout progress in the store.
const progressPrefix = nodesPrefix + "rollouts/"

// rolloutSet holds the known rollouts of all pools.
type rolloutSet struct {
	codec   RolloutCodec
	limit   func() float64
	running func() int

	anyOrder atomic.Bool // set by the first change of any rollout
	// synced is set once the state of all rollouts was received, from the store or from a
	// node that had it. Before that, any version may be barred.
	synced atomic.Bool

	mu      sync.Mutex
	byPool  map[string]*poolRollout
	changed chan struct{}
	rng     *rand.Rand
	seq     uint64 // sequence number of this node's last report
}

// poolRollout is the state of one pool's rollout on this node.
type poolRollout struct {
	known rollout.Rollout
	// orderSeen, shiftSeen and stopSeen are when this node first learned of the order, that
	// calls have begun to shift to its version, and that calls to it were stopped.
	orderSeen, shiftSeen, stopSeen time.Time
	exposure                       *rollout.Exposure
	recorder                       *rollout.Recorder
	judge                          *rollout.Judge
}

func newRolloutSet() *rolloutSet {
	return &rolloutSet{
		limit: func() float64 { return 0 }, running: func() int { return 0 },
		byPool: map[string]*poolRollout{}, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 3)),
	}
}

// enabled reports whether rollouts are enabled and their limit is above 0.
func (rs *rolloutSet) enabled() bool { return rs.codec != nil && rs.limit() > 0 }

// hasOrders reports whether any rollout is known; if not, calls skip the rollout checks.
func (rs *rolloutSet) hasOrders() bool { return rs.anyOrder.Load() }

// forPool returns a pool's rollout, creating it if needed; the caller holds the lock.
func (rs *rolloutSet) forPool(pool string) *poolRollout {
	pr := rs.byPool[pool]
	if pr == nil {
		pr = &poolRollout{}
		rs.byPool[pool] = pr
	}
	return pr
}

// update applies a change to a pool's rollout and reports whether it added anything.
func (rs *rolloutSet) update(now time.Time, pool string, change func(rollout.Rollout) rollout.Rollout) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pr := rs.forPool(pool)
	before := pr.known
	after := change(before)
	if before.Covers(after) {
		return false
	}
	pr.known = after
	rs.anyOrder.Store(true)
	if before.Order().Revision() != after.Order().Revision() {
		pr.orderSeen, pr.shiftSeen, pr.stopSeen = now, time.Time{}, time.Time{}
		pr.exposure, pr.recorder, pr.judge = rollout.NewExposure(rs.rng.Float64()), rollout.NewRecorder(), rollout.NewJudge(after.Order())
	}
	if after.Stage() == rollout.StageShift && pr.shiftSeen.IsZero() {
		pr.shiftSeen = now
	}
	if after.Stage() == rollout.StageRolledBack && pr.stopSeen.IsZero() {
		pr.stopSeen = now
	}
	close(rs.changed)
	rs.changed = make(chan struct{})
	return true
}

// changes returns a channel that is closed at the next change of any rollout.
func (rs *rolloutSet) changes() <-chan struct{} {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.changed
}

// all returns the known rollouts by pool.
func (rs *rolloutSet) all() map[string]rollout.Rollout {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make(map[string]rollout.Rollout, len(rs.byPool))
	for pool, pr := range rs.byPool {
		out[pool] = pr.known
	}
	return out
}

// undecided returns the pools with a rollout whose final status has not been published.
func (rs *rolloutSet) undecided() []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []string
	for _, pool := range slices.Sorted(maps.Keys(rs.byPool)) {
		if known := rs.byPool[pool].known; known.Stage() != rollout.StageNone && !known.Decided() {
			out = append(out, pool)
		}
	}
	return out
}

// groups splits the ready targets of a pool by their role in its rollout.
func (rs *rolloutSet) groups(pool string, records []membership.Record) rollout.Groups {
	if !rs.enabled() {
		return rollout.AllCurrent(records)
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	known := rollout.Rollout{}
	if pr := rs.byPool[pool]; pr != nil {
		known = pr.known
	}
	return known.Groups(records, rs.limit())
}

// elapsed returns the time since any node first learned of the order, and the time since
// the shift began, 0 before it. The caller holds the lock.
func (pr *poolRollout) elapsed(now time.Time) (order, shift time.Duration) {
	order = now.Sub(pr.orderSeen)
	p := pr.known.Progress()
	if p.OrderRevision() == pr.known.Order().Revision() {
		order = max(order, now.Sub(p.Began()))
	}
	if !pr.shiftSeen.IsZero() {
		shift = max(now.Sub(pr.shiftSeen), now.Sub(p.Shifted()))
	}
	return order, shift
}

// updateRollout applies a change to a pool's rollout, regroups the targets and logs it.
func (f *Fleet) updateRollout(pool string, change func(rollout.Rollout) rollout.Rollout) {
	if !f.rollouts.update(f.clk.Now(), pool, change) {
		return
	}
	f.view.rebuildGroups()
	known := f.rollouts.all()[pool]
	f.log.Emit(event.RolloutChanged, event.F("pool", pool), event.F("version", known.Order().Version()),
		event.F("stage", known.Stage()), event.F("order", known.Order().Revision()), event.F("told", known.Status().State()))
}

// applyRolloutValue applies a value of the store if it belongs to a rollout, and reports
// whether it does.
func (f *Fleet) applyRolloutValue(v platform.Value) bool {
	if !f.rollouts.enabled() {
		return false
	}
	if pool, ok := strings.CutPrefix(v.Key(), progressPrefix); ok {
		p, err := decodeProgress(v)
		if err != nil {
			f.log.Emit(event.RecordRefused, event.F("error", err))
		}
		f.updateRollout(pool, func(r rollout.Rollout) rollout.Rollout {
			if err != nil {
				// The revision is needed to overwrite the invalid progress.
				p = r.Progress().WithRevision(v.Revision())
			}
			return r.WithProgress(p)
		})
		return true
	}
	if o, ok, err := f.rollouts.codec.Order(v); ok {
		if err != nil {
			f.log.Emit(event.RecordRefused, event.F("error", err))
			return true
		}
		f.updateRollout(o.Pool(), func(r rollout.Rollout) rollout.Rollout { return r.WithOrder(o) })
		return true
	}
	pool, s, ok, err := f.rollouts.codec.Status(v)
	if !ok {
		return false
	}
	if err != nil {
		// The revision is needed to overwrite the invalid status.
		f.log.Emit(event.RecordRefused, event.F("error", err))
		s = rollout.NewStatus(rollout.Pending, "", v.Revision())
	}
	f.updateRollout(pool, func(r rollout.Rollout) rollout.Rollout { return r.WithStatus(s) })
	return true
}

// progressEntry is the JSON form of a rollout's progress in the store.
type progressEntry struct {
	Order   *uint64  `json:"order"`
	Began   *int64   `json:"began_ms"`
	Shifted int64    `json:"shifted_ms,omitempty"`
	Barred  []string `json:"barred,omitempty"`
}

func encodeProgress(p rollout.Progress) []byte {
	order, began := p.OrderRevision(), millis(p.Began())
	// Marshalling strings and numbers can't fail.
	b, _ := json.Marshal(progressEntry{Order: &order, Began: &began, Shifted: millis(p.Shifted()), Barred: p.Barred()})
	return b
}

func decodeProgress(v platform.Value) (rollout.Progress, error) {
	var e progressEntry
	if err := json.Unmarshal(v.Data(), &e); err != nil {
		return rollout.Progress{}, &EntryError{Key: v.Key(), Reason: "cannot be decoded"}
	}
	if e.Order == nil || e.Began == nil {
		return rollout.Progress{}, &EntryError{Key: v.Key(), Reason: "without an order or when it began"}
	}
	return rollout.NewProgress(*e.Order, fromMillis(*e.Began), fromMillis(e.Shifted), e.Barred, v.Revision()), nil
}

// millis returns a time in Unix milliseconds, 0 for the zero time.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// TakeCandidates decides whether the next call of a pool goes to the version being rolled out.
// If so, it returns that version's targets and the name under which the balancer keeps
// their statistics.
func (f *Fleet) TakeCandidates(pool string) (name string, targets []membership.Record) {
	groups := f.view.rolloutGroups(pool)
	if len(groups.Candidates()) == 0 {
		return "", nil
	}
	rs, now := f.rollouts, f.clk.Now()
	limit := rs.limit()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pr := rs.byPool[pool]
	if pr == nil {
		return "", nil
	}
	_, shift := pr.elapsed(now)
	switch stage := pr.known.Stage(); stage {
	case rollout.StageCanary:
		if !pr.exposure.Take() {
			return "", nil
		}
		if rollout.CanariesOnly(now.Sub(pr.orderSeen)) {
			return pool + canarySuffix, groups.Canaries()
		}
		return pool + candidateSuffix, groups.Candidates()
	case rollout.StageShift:
		if rs.rng.Float64() >= rollout.Share(limit, stage, shift) {
			return "", nil
		}
		return pool + candidateSuffix, groups.Candidates()
	default:
		return "", nil
	}
}

// Suffixes of the names that Candidates returns; pool names contain no spaces.
const (
	canarySuffix    = " canary"
	candidateSuffix = " candidate"
)

// RecordResponse records that a call of this node reached a target of a pool.
func (f *Fleet) RecordResponse(pool string) {
	if len(f.view.rolloutGroups(pool).Candidates()) == 0 {
		return
	}
	rs := f.rollouts
	limit := rs.limit()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if pr := rs.byPool[pool]; pr != nil && pr.known.Stage() == rollout.StageCanary {
		pr.exposure.Credit(rollout.Share(limit, rollout.StageCanary, 0))
	}
}

// Admits reports whether the target beside this node may take calls. It may not if its
// version was rolled back or replaced, which the sender of a call may not know yet, or
// while this node does not know whether it was.
func (f *Fleet) Admits() bool {
	rs := f.rollouts
	unknown := rs.enabled() && !rs.synced.Load()
	if !unknown && !rs.hasOrders() {
		return true
	}
	self, _ := f.ownRecord()
	switch {
	case self.Version() == "":
		return true
	case unknown:
		return false
	}
	limit, now := rs.limit(), f.clk.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pr := rs.byPool[self.Pool()]
	if pr == nil {
		return true
	}
	_, shift := pr.elapsed(now)
	return pr.known.Admits(self.Version(), limit, shift, f.view.hasTarget(self.Pool(), pr.known.Order().Version()))
}

// Observe records a response of the target beside this node for the rollout's statistics.
func (f *Fleet) Observe(route string, took time.Duration, failed, warm bool) {
	if !f.rollouts.hasOrders() {
		return
	}
	self, _ := f.ownRecord()
	if r := f.rollouts.recorderOf(self.Pool()); r != nil {
		r.Record(route, took, failed, warm)
	}
}

// recorderOf returns the recorder of a pool's responses, nil if no rollout needs it.
func (rs *rolloutSet) recorderOf(pool string) *rollout.Recorder {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pr := rs.byPool[pool]
	if pr == nil || pr.known.Decided() {
		return nil
	}
	return pr.recorder
}
