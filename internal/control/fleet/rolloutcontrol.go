package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/rollout"
)

// rolloutInterval is how often a rollout's next step is decided, and how long a pull is
// held during a rollout, as pulls carry the reports and decisions.
const rolloutInterval = 250 * time.Millisecond

// controlRollouts decides the next steps of rollouts, on the root of each failure domain
// and on orphaned nodes. Concurrent controllers are safe: each step is a compare-and-swap
// against the state it was decided on, so only one succeeds, and another controller can
// take over after any step.
func (f *Fleet) controlRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.rollouts.changes()
		pools := f.rollouts.undecided()
		if len(pools) == 0 {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if f.position().IsRoot() || f.orphaned.Load() {
			for _, pool := range pools {
				f.controlRollout(ctx, pool)
			}
		}
		_ = f.clk.Sleep(ctx, rolloutInterval)
	}
}

func (f *Fleet) controlRollout(ctx context.Context, pool string) {
	f.recordOwnReport(pool)
	targets, longest := f.view.ready(pool), f.longestDeadline(pool)
	known, s := f.rollouts.situation(f.clk.Now(), pool, targets)
	s.MaxCallTime = longest
	step := known.Next(s)
	if _, wait := step.(rollout.Wait); wait {
		return
	}
	if stop, ok := step.(rollout.Stop); ok && known.HaltedOrder() < known.Order().Revision() {
		// Propagate the halt to the nodes first, as the store may be unavailable.
		f.updateRollout(pool, func(r rollout.Rollout) rollout.Rollout { return r.WithHalt(known.Order().Revision()) })
		f.log.Emit(event.RolloutHalted, event.F("pool", pool), event.F("version", known.Order().Version()), event.F("reason", stop.Reason))
	}
	err := f.applyStep(ctx, pool, known, step)
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		f.storeFailed(ctx, err)
	}
}

// situation returns a pool's rollout and the inputs for deciding its next step.
func (rs *rolloutSet) situation(now time.Time, pool string, targets []membership.Record) (rollout.Rollout, rollout.Situation) {
	limit := rs.limit()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pr := rs.forPool(pool)
	s := rollout.Situation{Limit: limit, Verdict: pr.judge.Verdict(now)}
	s.Elapsed, s.SinceShift = pr.elapsed(now)
	if !pr.stopSeen.IsZero() {
		s.SinceStop = now.Sub(pr.stopSeen)
	}
	candidates, current := pr.known.ByVersion(targets)
	s.Candidates, s.CandidatesClosed = len(candidates), pr.judge.Closed(candidates)
	s.Current, s.CurrentClosed = len(current), pr.judge.Closed(current)
	return pr.known, s
}

// applyStep writes the outcome of a step to the store.
func (f *Fleet) applyStep(ctx context.Context, pool string, known rollout.Rollout, step rollout.Step) error {
	var err error
	o, p := known.Order(), known.Progress()
	switch step.(type) {
	case rollout.Begin:
		if p.OrderRevision() != o.Revision() {
			known, err = f.writeProgress(ctx, pool, known, rollout.NewProgress(o.Revision(), f.clk.Now(), time.Time{}, p.Barred(), 0))
		}
		if err != nil {
			return err
		}
		return f.writeStatus(ctx, pool, known, rollout.Running)
	case rollout.Shift:
		_, err = f.writeProgress(ctx, pool, known, rollout.NewProgress(o.Revision(), p.Began(), f.clk.Now(), p.Barred(), 0))
		return err
	case rollout.Complete:
		return f.writeStatus(ctx, pool, known, rollout.Completed)
	case rollout.Stop, rollout.RollBack:
		if barred := p.Barred(); !slices.Contains(barred, o.Version()) {
			barred = append(slices.Clone(barred), o.Version())
			known, err = f.writeProgress(ctx, pool, known, rollout.NewProgress(o.Revision(), p.Began(), p.Shifted(), barred, 0))
		}
		if _, stop := step.(rollout.Stop); stop || err != nil {
			return err
		}
		return f.writeStatus(ctx, pool, known, rollout.RolledBack)
	default:
		return nil
	}
}

// writeProgress swaps the progress in the store and returns the updated rollout.
func (f *Fleet) writeProgress(ctx context.Context, pool string, known rollout.Rollout, next rollout.Progress) (rollout.Rollout, error) {
	revision, err := f.store.CompareAndSwap(ctx, progressPrefix+pool, known.Progress().Revision(), encodeProgress(next))
	if err != nil {
		return known, err
	}
	written := rollout.NewProgress(next.OrderRevision(), next.Began(), next.Shifted(), next.Barred(), revision)
	setProgress := func(r rollout.Rollout) rollout.Rollout { return r.WithProgress(written) }
	f.updateRollout(pool, setProgress)
	return setProgress(known), nil
}

// writeStatus swaps the status, provided that the progress is unchanged: a node with stale
// data could otherwise publish the end of an order that has been replaced.
func (f *Fleet) writeStatus(ctx context.Context, pool string, known rollout.Rollout, state rollout.State) error {
	version := known.Order().Version()
	key, value := f.rollouts.codec.EncodeStatus(pool, state, version)
	revision, err := f.store.CompareAndSwap(ctx, key, known.Status().Revision(), value,
		platform.IfRevision(progressPrefix+pool, known.Progress().Revision()))
	if err != nil {
		return err
	}
	f.log.Emit(event.RolloutStatusWritten, event.F("pool", pool), event.F("version", version), event.F("state", state), event.F("revision", revision))
	f.updateRollout(pool, func(r rollout.Rollout) rollout.Rollout {
		return r.WithStatus(rollout.NewStatus(state, version, revision))
	})
	return nil
}

// longestDeadline returns the longest deadline of the routes that use a pool.
func (f *Fleet) longestDeadline(pool string) time.Duration {
	out := time.Duration(0)
	for _, o := range f.Current().Objects() {
		r, ok := o.(snapshot.Route)
		if !ok {
			continue
		}
		usesPool := r.Pool() == pool || slices.ContainsFunc(r.Split(), func(s snapshot.Share) bool { return s.Pool() == pool })
		if usesPool {
			out = max(out, r.Deadline())
		}
	}
	return out
}
