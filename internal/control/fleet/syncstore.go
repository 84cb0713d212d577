package fleet

import (
	"context"
	"errors"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// watchPause follows each watch that returned changes, so that a series of changes
	// costs each reader at most four calls a second.
	watchPause = 250 * time.Millisecond
	// versionPause follows a watch that returned a single version. Versions written during
	// it arrive in one response, which identifies a burst.
	versionPause = 100 * time.Millisecond
	// minRetry and maxRetry bound the backoff of store calls: a recovered store is noticed
	// soon, and an unavailable one gets about two calls a second from each reader.
	minRetry = 100 * time.Millisecond
	maxRetry = 500 * time.Millisecond
)

// allKeys is the empty prefix, which matches every key.
const allKeys = ""

// syncStore keeps the view and the configuration in sync with the store while this node
// reads it for its failure domain.
func (f *Fleet) syncStore(ctx context.Context) {
	m, after := fullRead, uint64(0)
	backoff := minRetry
	for ctx.Err() == nil {
		changed := f.view.changes()
		if !f.readsStore() {
			m = fullRead
			select {
			case <-ctx.Done():
			case <-f.orphanedChanged:
			case <-changed:
			}
			continue
		}
		began := f.clk.Now()
		changes, result := f.syncOnce(ctx, m, &after)
		var compacted *platform.CompactedError
		if result.err == nil || errors.As(result.err, &compacted) {
			f.storeAnswered()
			f.freshness.update(f.clk.Now(), 0)
			backoff = minRetry
			_ = f.clk.Sleep(ctx, m.pause(changes, result))
		} else {
			f.storeFailed(ctx, result.err)
			_ = f.clk.Sleep(ctx, f.jitter(backoff))
			backoff = min(2*backoff, maxRetry)
		}
		if next := m.next(result); next != m {
			if next == catchingUp || m == catchingUp {
				f.log.Emit(event.StoreCatchingUp, event.F("on", next == catchingUp), event.F("versions", result.versions),
					event.F("took", f.clk.Since(began)), event.F("version", f.Current().Version()), event.F("error", result.err))
			}
			m = next
		}
	}
}

// syncOnce makes one call of the given mode and returns the number of changes.
func (f *Fleet) syncOnce(ctx context.Context, m syncMode, after *uint64) (changes int, result syncResult) {
	if m == watching {
		return f.watch(ctx, after)
	}
	before := f.Current().Version()
	revision, err := f.readPrefix(ctx, allKeys)
	if err != nil {
		return 0, syncResult{err: err}
	}
	*after = revision
	if f.Current().Version() > before {
		f.watchSchedule.versionArrived(f.clk.Now())
		return 1, syncResult{versions: 1}
	}
	return 0, syncResult{}
}

// readPrefix reads and applies all values under a prefix and returns the store's revision.
func (f *Fleet) readPrefix(ctx context.Context, prefix string) (uint64, error) {
	values, revision, err := f.store.Range(ctx, prefix)
	if err != nil {
		return 0, err
	}
	present := map[string]bool{}
	self, _ := f.ownRecord()
	ownRollout := false
	for _, v := range values {
		f.applyValue(v)
		ownRollout = ownRollout || v.Key() == progressPrefix+self.Pool()
		if name, ok := strings.CutPrefix(v.Key(), MembersPrefix); ok {
			present[name] = true
		}
	}
	f.view.dropAbsent(present, f.clk.Now())
	f.signalEntryChanged()
	// Versions are barred only after their order's progress has been written.
	if prefix == allKeys || !ownRollout {
		f.rollouts.synced.Store(true)
	}
	if !f.synced.Swap(true) {
		f.log.Emit(event.StoreRead, event.F("members", len(present)), event.F("revision", revision), event.F("version", f.Current().Version()))
	}
	return revision, nil
}

// watch waits for changes after a revision and applies them.
func (f *Fleet) watch(ctx context.Context, after *uint64) (int, syncResult) {
	events, revision, err := f.store.WatchPrefix(ctx, allKeys, *after, f.watchWait())
	if err != nil {
		return 0, syncResult{err: err}
	}
	if len(events) == 0 && revision > *after {
		// The prefix matches every key, so a greater revision without events means that the
		// watch missed changes.
		return 0, syncResult{err: &platform.CompactedError{After: *after}}
	}
	*after = max(revision, *after)
	return len(events), syncResult{versions: f.applyEvents(events)}
}

// watchWait returns the maximum duration of the next watch.
func (f *Fleet) watchWait() time.Duration {
	self, _ := f.ownRecord()
	index, domains := f.view.domainIndex(self.Domain())
	return f.watchSchedule.wait(f.clk.Now(), index, domains)
}

// applyEvents applies changes and returns how many configuration versions they contain.
// Only the last version is decoded, as each is a complete configuration.
func (f *Fleet) applyEvents(events []platform.Event) int {
	last, versions := -1, 0
	for i, e := range events {
		key := e.Value().Key()
		switch {
		case key == f.configKey && !e.Deleted():
			last = i
			versions++
		case e.Deleted():
			if name, ok := strings.CutPrefix(key, MembersPrefix); ok {
				f.view.entryDropped(name, f.clk.Now())
				f.signalEntryChanged()
			}
		case key != f.configKey:
			f.applyValue(e.Value())
		}
	}
	if last >= 0 {
		f.applyValue(events[last].Value())
		f.watchSchedule.versionArrived(f.clk.Now())
	}
	return versions
}

// applyValue applies one value of the store.
func (f *Fleet) applyValue(v platform.Value) {
	if v.Key() == f.configKey {
		f.applyConfig(v.Data(), fromStore)
		return
	}
	if f.applyRolloutValue(v) || !strings.HasPrefix(v.Key(), MembersPrefix) {
		return
	}
	r, err := decodeEntry(v.Key(), v.Data())
	if err != nil {
		f.log.Emit(event.RecordRefused, event.F("error", err))
		return
	}
	if f.isOwn(r) {
		f.supersedeEarlier(r)
		self, _ := f.ownRecord()
		f.view.setRevision(self, v.Revision())
		return
	}
	f.putMember(r, v.Revision())
}

// putMember stores another node's record; revision is 0 if the store is not known to
// hold it.
func (f *Fleet) putMember(r membership.Record, revision uint64) {
	if r.Crash() != "" {
		f.onCrash(r.Crash())
	}
	if f.view.put(r, revision) {
		f.log.Emit(event.MemberChanged, event.F("instance", r.Instance()), event.F("state", r.State()),
			event.F("target", r.TargetID()), event.F("pool", r.Pool()), event.F("revision", revision))
	}
}

func (f *Fleet) isOwn(r membership.Record) bool {
	self, _ := f.ownRecord()
	return r.Instance() == self.Instance()
}

// supersedeEarlier handles an entry under the node's own name. If it is newer than the
// node's own record, an earlier process with a clock ahead wrote it; the node then takes
// a greater boot number, as other nodes would otherwise keep the obsolete entry.
func (f *Fleet) supersedeEarlier(r membership.Record) {
	f.mu.Lock()
	if r.Newer(f.self) {
		f.self = f.self.WithBoot(r.Boot() + 1)
		f.log.Emit(event.BootIncreased, event.F("boot", f.self.Boot()), event.F("left", r.Boot()))
	}
	self := f.self
	f.mu.Unlock()
	f.view.put(self, 0)
	f.signalEntryChanged()
}

func (f *Fleet) signalEntryChanged() { f.signal(f.entryChanged) }

// signal wakes the receiver of a channel of capacity 1; a signal that is pending already
// is enough.
func (f *Fleet) signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (f *Fleet) storeAnswered() {
	f.lastStoreAnswer.Store(f.clk.Now().UnixNano())
	if !f.storeOK.Swap(true) {
		f.log.Emit(event.StoreAvailable)
	}
}

func (f *Fleet) storeFailed(ctx context.Context, err error) {
	if ctx.Err() == nil && f.storeOK.Swap(false) {
		f.log.Emit(event.StoreUnavailable, event.F("error", err))
	}
}

// jitter returns a random duration from d to 1.5*d, so that nodes that lost the store at
// the same time don't reconnect at the same time.
func (f *Fleet) jitter(d time.Duration) time.Duration { return f.randomDuration(d, d+d/2) }

// randomDuration returns a random duration between the bounds.
func (f *Fleet) randomDuration(minimum, maximum time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return minimum + time.Duration(f.rng.Float64()*float64(maximum-minimum))
}
