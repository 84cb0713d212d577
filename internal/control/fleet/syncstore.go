package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// watchPause follows each watch that returned changes, so that a series of changes
	// costs each reader at most four calls a second. It is an eighth of the shortest time in
	// which a version has to be in force.
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
			case <-f.readerChanged:
			case <-changed:
			}
			continue
		}
		began := f.clk.Now()
		changes, result := f.syncOnce(ctx, m, &after)
		f.storeReturned(ctx, result.err)
		if platform.Answered(result.err) {
			f.standbyAnswered.Store(true)
			f.freshness.update(f.clk.Now(), 0)
			backoff = minRetry
			_ = f.clk.Sleep(ctx, m.pause(changes, result))
		} else {
			_ = f.clk.Sleep(ctx, f.jitter(backoff))
			backoff = min(2*backoff, maxRetry)
		}
		next := m.next(result)
		if f.rereadNeeded.Swap(false) && result.err == nil {
			next = fullRead
		}
		if next != m {
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
	revision, err := f.readAll(ctx)
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

// readAll reads and applies all values of the store and returns its revision.
func (f *Fleet) readAll(ctx context.Context) (uint64, error) {
	ownKey := f.domainKey.knownRevision()
	values, revision, err := f.store.Range(ctx, allKeys)
	if err != nil {
		return 0, err
	}
	f.applyValues(values)
	present, reachable := map[string]bool{}, map[string]bool{}
	for _, v := range values {
		if instance, ok := instanceOf(v.Key()); ok {
			present[instance] = true
		}
		if domain, ok := strings.CutPrefix(v.Key(), domainsPrefix); ok {
			reachable[domain] = true
		}
	}
	now := f.clk.Now()
	self, _ := f.ownRecord()
	if !reachable[self.Domain()] {
		f.domainKey.removeIf(ownKey, revision)
	}
	f.view.update(func(b *batch) {
		b.dropAbsent(allDomains, present, now)
		for _, domain := range slices.Collect(maps.Keys(f.view.domains)) {
			if domain == self.Domain() || reachable[domain] {
				b.domainReachable(domain)
			} else {
				b.domainUnreachable(domain, now)
			}
		}
	})
	f.rollouts.synced.Store(true)
	f.setOwnEntryRead()
	f.signalEntryChanged()
	f.setSynced(len(present), revision)
	return revision, nil
}

// setSynced records that the node knows the members.
func (f *Fleet) setSynced(members int, revision uint64) {
	if !f.synced.Swap(true) {
		f.log.Emit(event.StoreRead, event.F("members", members), event.F("revision", revision), event.F("version", f.Current().Version()))
		f.mu.Lock()
		close(f.syncedChanged)
		f.mu.Unlock()
	}
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
	lastVersion, versions := platform.Value{}, 0
	var written []platform.Value
	var left []string
	for _, e := range events {
		key := e.Value().Key()
		switch instance, ok := instanceOf(key); {
		case e.Deleted() && ok:
			left = append(left, instance)
			written = slices.DeleteFunc(written, func(v platform.Value) bool { return v.Key() == key })
		case e.Deleted():
			f.domainKeyDeleted(key, e.Value().Revision())
		case key == f.configKey:
			lastVersion = e.Value()
			versions++
		default:
			left = slices.DeleteFunc(left, func(name string) bool { return ok && name == instance })
			written = append(written, e.Value())
		}
	}
	f.removeLeft(left)
	f.applyValues(written)
	if versions > 0 {
		f.applyValues([]platform.Value{lastVersion})
		f.watchSchedule.versionArrived(f.clk.Now())
	}
	return versions
}

// removeLeft removes members whose entries were removed from the store: by themselves, or
// by the root of their failure domain because they don't answer.
func (f *Fleet) removeLeft(instances []string) {
	if len(instances) == 0 {
		return
	}
	self, _ := f.ownRecord()
	f.view.update(func(b *batch) {
		for _, name := range instances {
			delete(f.view.refuted, name)
			switch m := f.view.members[name]; {
			case m == nil:
			case name == self.Instance():
				m.revision = 0
			default:
				b.remove(m)
			}
		}
	})
	f.signalEntryChanged()
}

// applyValues applies values of the store.
func (f *Fleet) applyValues(values []platform.Value) {
	var members []memberEntry
	for _, v := range values {
		if _, ok := instanceOf(v.Key()); ok {
			r, err := decodeEntry(v.Key(), v.Data())
			if err != nil {
				f.log.Emit(event.RecordRefused, event.F("error", err))
				continue
			}
			members = append(members, memberEntry{r, v.Revision()})
			continue
		}
		switch {
		case v.Key() == f.configKey:
			f.applyConfig(version.Unknown, v.Data(), fromStore)
		case strings.HasPrefix(v.Key(), domainsPrefix):
			f.applyDomainKey(v)
		default:
			f.applyRolloutValue(v)
		}
	}
	f.applyMembers(members)
}

// maxLoggedMembers bounds the changes of one batch that are logged one by one.
const maxLoggedMembers = 8

// applyMembers applies records of members in one batch; a revision is 0 if the store is not
// known to hold the record.
func (f *Fleet) applyMembers(members []memberEntry) {
	var changed []memberEntry
	own := -1
	f.view.update(func(b *batch) {
		for i, m := range members {
			switch {
			case f.isOwn(m.record):
				own = i
			case m.record.State() == membership.Gone:
				b.applyDeparture(m.record)
			case b.put(m.record, m.revision):
				changed = append(changed, m)
			}
		}
	})
	if own >= 0 {
		f.applyOwnRecord(members[own].record, members[own].revision)
	}
	for _, m := range members {
		if m.record.Crash() != "" {
			f.onCrash(m.record.Crash())
		}
	}
	if len(changed) > maxLoggedMembers {
		f.log.Emit(event.MembersChanged, event.F("members", len(changed)), event.F("known", f.Size()))
		return
	}
	for _, m := range changed {
		f.log.Emit(event.MemberChanged, event.F("instance", m.record.Instance()), event.F("state", m.record.State()),
			event.F("target", m.record.TargetID()), event.F("pool", m.record.Pool()), event.F("revision", m.revision))
	}
}

func (f *Fleet) isOwn(r membership.Record) bool {
	self, _ := f.ownRecord()
	return r.Instance() == self.Instance()
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

// storeReturned records whether the store answered a call that returned err.
func (f *Fleet) storeReturned(ctx context.Context, err error) {
	if platform.Answered(err) {
		f.storeAnswered()
		return
	}
	f.storeFailed(ctx, err)
}

func (f *Fleet) storeAnswered() {
	f.lastStoreAnswer.Store(f.clk.Now().UnixNano())
	if !f.storeOK.Swap(true) {
		f.log.Emit(event.StoreAvailable)
		f.notifyStoreChanged()
	}
}

func (f *Fleet) storeFailed(ctx context.Context, err error) {
	if ctx.Err() == nil && f.storeOK.Swap(false) {
		f.log.Emit(event.StoreUnavailable, event.F("error", err))
		f.notifyStoreChanged()
	}
}

// setStoreLate records whether the store's response to a renewal is late.
func (f *Fleet) setStoreLate(late bool) {
	if f.storeLate.Swap(late) != late {
		f.notifyStoreChanged()
	}
}

func (f *Fleet) notifyStoreChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.storeChanged)
	f.storeChanged = make(chan struct{})
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
