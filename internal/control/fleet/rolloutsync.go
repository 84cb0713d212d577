package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// revisions returns the revisions of all known rollouts, without their content.
func (rs *rolloutSet) revisions() []*fleetpb.Rollout {
	var out []*fleetpb.Rollout
	for pool, r := range rs.all() {
		out = append(out, revisionsOf(pool, r))
	}
	return out
}

func revisionsOf(pool string, r rollout.Rollout) *fleetpb.Rollout {
	return &fleetpb.Rollout{
		Pool: pool, Order: r.Order().Revision(), Status: r.Status().Revision(),
		Progress: r.Progress().Revision(), Halted: r.HaltedOrder(),
	}
}

// answer returns the rollouts that are not fully covered by the given revisions, and whether there
// may be others that this node does not know. That is read first: one that becomes complete
// meanwhile may have been read without them.
func (rs *rolloutSet) answer(known []*fleetpb.Rollout) (newer []*fleetpb.Rollout, unknown bool) {
	unknown = !rs.synced.Load()
	return rs.newerThan(known), unknown
}

// newerThan returns the rollouts that are not fully covered by the given revisions.
func (rs *rolloutSet) newerThan(known []*fleetpb.Rollout) []*fleetpb.Rollout {
	all := rs.all()
	if len(all) == 0 {
		return nil
	}
	byPool := map[string]*fleetpb.Rollout{}
	for _, m := range known {
		byPool[m.GetPool()] = m
	}
	var out []*fleetpb.Rollout
	for pool, r := range all {
		if !decodeRollout(byPool[pool]).Covers(r) {
			out = append(out, encodeRollout(pool, r))
		}
	}
	return out
}

func encodeRollout(pool string, r rollout.Rollout) *fleetpb.Rollout {
	m := revisionsOf(pool, r)
	o, s, p := r.Order(), r.Status(), r.Progress()
	m.Version, m.DurationMs = o.Version(), uint32(o.Duration().Milliseconds())
	m.State, m.StateVersion = uint32(s.State()), s.Version()
	m.ProgressOrder, m.BeganMs, m.ShiftedMs, m.Barred = p.OrderRevision(), millis(p.Began()), millis(p.Shifted()), p.Barred()
	return m
}

func decodeRollout(m *fleetpb.Rollout) rollout.Rollout {
	duration := time.Duration(m.GetDurationMs()) * time.Millisecond
	return rollout.Rollout{}.
		WithOrder(rollout.NewOrder(m.GetPool(), m.GetVersion(), duration, m.GetOrder())).
		WithStatus(rollout.NewStatus(rollout.State(m.GetState()), m.GetStateVersion(), m.GetStatus())).
		WithProgress(rollout.NewProgress(m.GetProgressOrder(), fromMillis(m.GetBeganMs()), fromMillis(m.GetShiftedMs()), m.GetBarred(), m.GetProgress())).
		WithHalt(m.GetHalted())
}

// mergeRollouts merges rollouts received from another node; complete reports whether that
// node knew all rollouts and left out only those that this node has.
func (f *Fleet) mergeRollouts(received []*fleetpb.Rollout, complete bool) {
	if !f.rollouts.enabled() {
		return
	}
	for _, m := range received {
		other := decodeRollout(m)
		f.updateRollout(m.GetPool(), func(r rollout.Rollout) rollout.Rollout { return r.Merge(other) })
	}
	if complete {
		f.rollouts.synced.Store(true)
	}
}

// sentReports tracks the reports sent to one peer.
type sentReports struct {
	mu   sync.Mutex
	peer string
	seqs map[string]uint64 // last sequence number sent, by pool and instance
}

// needs reports whether a peer may lack a report.
func (r *sentReports) needs(peer, key string, seq uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peer != peer || r.seqs[key] < seq
}

// markSent records the reports that a peer has been sent.
func (r *sentReports) markSent(peer string, seqs map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peer != peer {
		r.peer, r.seqs = peer, map[string]uint64{}
	}
	maps.Copy(r.seqs, seqs)
}

// unsentReports returns the reports, including this node's own, that a peer has not been
// sent, and their sequence numbers.
func (f *Fleet) unsentReports(sent *sentReports, peer string) (out []*fleetpb.RolloutReport, seqs map[string]uint64) {
	rs := f.rollouts
	seqs = map[string]uint64{}
	for _, pool := range rs.undecided() {
		f.recordOwnReport(pool)
		for instance, report := range rs.reportsOf(pool) {
			key := pool + " " + instance
			if !sent.needs(peer, key, report.Seq()) {
				continue
			}
			seqs[key] = report.Seq()
			out = append(out, encodeReport(pool, report))
		}
	}
	return out, seqs
}

// recordOwnReport updates the report of the target beside this node, if it belongs to the
// pool.
func (f *Fleet) recordOwnReport(pool string) {
	self, _ := f.ownRecord()
	if self.Pool() != pool || self.Version() == "" {
		return
	}
	rs := f.rollouts
	closed := !f.Admits()
	running := rs.running()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pr := rs.byPool[pool]
	if pr == nil || pr.recorder == nil {
		return
	}
	rs.seq++
	pr.judge.Add(rollout.NewReport(self.Instance(), self.Version(), f.own.base.Boot(), pr.known.Order().Revision(), rs.seq, running, pr.recorder.Routes()).WithClosed(closed))
}

// reportsOf returns the latest report of each of a pool's targets.
func (rs *rolloutSet) reportsOf(pool string) map[string]rollout.Report {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if pr := rs.byPool[pool]; pr != nil && pr.judge != nil {
		return pr.judge.Reports()
	}
	return nil
}

// addReports stores reports received from another node.
func (rs *rolloutSet) addReports(reports []*fleetpb.RolloutReport) {
	if len(reports) == 0 || !rs.enabled() {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, m := range reports {
		if pr := rs.byPool[m.GetPool()]; pr != nil && pr.judge != nil {
			pr.judge.Add(decodeReport(m))
		}
	}
}

func encodeReport(pool string, r rollout.Report) *fleetpb.RolloutReport {
	m := &fleetpb.RolloutReport{
		Pool: pool, Instance: r.Instance(), Version: r.Version(), Boot: r.Boot(), Order: r.OrderRevision(), Seq: r.Seq(), Running: uint32(r.Running()), Closed: r.Closed(),
	}
	for _, route := range slices.Sorted(maps.Keys(r.Routes())) {
		a := r.Routes()[route]
		m.Routes = append(m.Routes, &fleetpb.RouteAnswers{Route: route, Calls: a.Calls(), Failed: a.Failed(), Times: a.Latencies()})
	}
	return m
}

func decodeReport(m *fleetpb.RolloutReport) rollout.Report {
	routes := map[string]rollout.RouteStats{}
	for _, a := range m.GetRoutes() {
		routes[a.GetRoute()] = rollout.NewRouteStats(a.GetCalls(), a.GetFailed(), a.GetTimes())
	}
	return rollout.NewReport(m.GetInstance(), m.GetVersion(), m.GetBoot(), m.GetOrder(), m.GetSeq(), int(m.GetRunning()), routes).WithClosed(m.GetClosed())
}
