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
	// watchPause follows each answer with changes, so that a row of changes
	// costs each node four calls a second at most; an eighth of the shortest
	// time in which a version has to be in force.
	watchPause = 250 * time.Millisecond
	// versionPause follows a version that came alone. What is written meanwhile
	// comes in one answer, by which a row of versions is known.
	versionPause = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause before a call to the store is
	// made again: a store that is back is noticed soon, and one that is out is asked
	// about twice a second by each reader.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// everything is the prefix of all keys.
const everything = ""

// follow keeps the view and the configuration at what the store holds, while the
// node reads it for its failure domain.
func (f *Fleet) follow(ctx context.Context) {
	m, after := reading, uint64(0)
	pause := retryFirst
	for ctx.Err() == nil {
		changed := f.view.changes()
		if !f.reads() {
			m = reading
			select {
			case <-ctx.Done():
			case <-f.turned:
			case <-changed:
			}
			continue
		}
		began := f.clk.Now()
		changes, a := f.get(ctx, m, &after)
		var gone *platform.CompactedError
		if a.err == nil || errors.As(a.err, &gone) {
			f.heardStore()
			pause = retryFirst
			_ = f.clk.Sleep(ctx, m.pause(changes, a))
		} else {
			f.lostStore(ctx, a.err)
			_ = f.clk.Sleep(ctx, f.jitter(pause))
			pause = min(2*pause, retryMost)
		}
		if next := m.next(a); next != m {
			if next == catching || m == catching {
				f.log.Emit(event.StoreCatching, event.F("on", next == catching), event.F("versions", a.versions),
					event.F("took", f.clk.Since(began)), event.F("version", f.Current().Version()), event.F("error", a.err))
			}
			m = next
		}
	}
}

// get makes one call as the mode has it and returns how many changes it brought.
func (f *Fleet) get(ctx context.Context, m mode, after *uint64) (changes int, a answer) {
	if m == watching {
		return f.watch(ctx, after)
	}
	before := f.Current().Version()
	at, err := f.read(ctx, everything)
	if err != nil {
		return 0, answer{err: err}
	}
	*after = at
	if f.Current().Version() > before {
		f.rhythm.version(f.clk.Now())
		return 1, answer{versions: 1}
	}
	return 0, answer{}
}

// read takes in all that the store holds under a prefix.
func (f *Fleet) read(ctx context.Context, prefix string) (uint64, error) {
	values, at, err := f.store.Range(ctx, prefix)
	if err != nil {
		return 0, err
	}
	present := map[string]bool{}
	for _, v := range values {
		f.value(v)
		if name, ok := strings.CutPrefix(v.Key(), MembersPrefix); ok {
			present[name] = true
		}
	}
	f.view.keepOnly(present, f.clk.Now())
	f.nudge()
	if !f.synced.Swap(true) {
		f.log.Emit(event.FleetRead, event.F("members", len(present)), event.F("revision", at), event.F("version", f.Current().Version()))
	}
	return at, nil
}

// watch takes in the changes after a revision.
func (f *Fleet) watch(ctx context.Context, after *uint64) (int, answer) {
	events, at, err := f.store.WatchPrefix(ctx, everything, *after, f.watchWait())
	if err != nil {
		return 0, answer{err: err}
	}
	if len(events) == 0 && at > *after {
		// Every change of the store is under the prefix, so some were kept from
		// the watch.
		return 0, answer{err: &platform.CompactedError{After: *after}}
	}
	*after = max(at, *after)
	return len(events), answer{versions: f.changes(events)}
}

// watchWait returns how long the next watch waits.
func (f *Fleet) watchWait() time.Duration {
	self, _ := f.own()
	index, domains := f.view.domain(self.Domain())
	return f.rhythm.wait(f.clk.Now(), index, domains)
}

// changes takes in changes and returns how many versions they held; of several
// only the last one is read, as each holds all of the configuration.
func (f *Fleet) changes(events []platform.Event) int {
	last, versions := -1, 0
	for i, e := range events {
		key := e.Value().Key()
		switch {
		case key == f.configKey && !e.Deleted():
			last = i
			versions++
		case e.Deleted():
			if name, ok := strings.CutPrefix(key, MembersPrefix); ok {
				f.view.drop(name, f.clk.Now())
				f.nudge()
			}
		case key != f.configKey:
			f.value(e.Value())
		}
	}
	if last >= 0 {
		f.value(events[last].Value())
		f.rhythm.version(f.clk.Now())
	}
	return versions
}

// value takes in one value of the store.
func (f *Fleet) value(v platform.Value) {
	if v.Key() == f.configKey {
		f.take(v.Data(), fromStore)
		return
	}
	if f.rolloutValue(v) || !strings.HasPrefix(v.Key(), MembersPrefix) {
		return
	}
	r, err := decode(v.Key(), v.Data())
	if err != nil {
		f.log.Emit(event.RecordRefused, event.F("error", err))
		return
	}
	if f.isOwn(r) {
		f.outliveEarlier(r)
		self, _ := f.own()
		f.view.revise(self, v.Revision())
		return
	}
	f.put(r, v.Revision())
}

// put takes in another node's entry; revision is 0 where the store is not known to
// hold it.
func (f *Fleet) put(r membership.Record, revision uint64) {
	if r.Crash() != "" {
		f.onCrash(r.Crash())
	}
	if f.view.put(r, revision) {
		f.log.Emit(event.MemberChanged, event.F("instance", r.Instance()), event.F("state", r.State()),
			event.F("target", r.Target()), event.F("pool", r.Pool()), event.F("revision", revision))
	}
}

func (f *Fleet) isOwn(r membership.Record) bool {
	self, _ := f.own()
	return r.Instance() == self.Instance()
}

// outliveEarlier takes in an entry under the node's own name. One that would win
// over the node's own is of a process before it, whose clock was ahead: the node
// takes a later boot, or the others would go on with what has ended.
func (f *Fleet) outliveEarlier(r membership.Record) {
	f.mu.Lock()
	if r.Newer(f.self) {
		f.self = f.self.Rebooted(r.Boot() + 1)
		f.log.Emit(event.BootRaised, event.F("boot", f.self.Boot()), event.F("left", r.Boot()))
	}
	self := f.self
	f.mu.Unlock()
	f.view.put(self, 0)
	f.nudge()
}

func (f *Fleet) nudge() { f.wake(f.change) }

// wake tells one that waits on a channel of one; a word that waits there already
// is enough.
func (f *Fleet) wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (f *Fleet) heardStore() {
	f.heard.Store(f.clk.Now().UnixNano())
	if !f.storeOK.Swap(true) {
		f.log.Emit(event.StoreBack)
	}
}

func (f *Fleet) lostStore(ctx context.Context, err error) {
	if ctx.Err() == nil && f.storeOK.Swap(false) {
		f.log.Emit(event.StoreUnavailable, event.F("error", err))
	}
}

// jitter spreads a pause between itself and half as much again, so that nodes
// that lost the store in one moment do not return to it in one.
func (f *Fleet) jitter(d time.Duration) time.Duration { return f.between(d, d+d/2) }

// between draws a time.
func (f *Fleet) between(least, most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return least + time.Duration(f.rng.Float64()*float64(most-least))
}
