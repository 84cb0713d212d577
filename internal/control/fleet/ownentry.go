package fleet

import (
	"context"
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// removeTimeout bounds the removal of the entry on shutdown.
	removeTimeout = 300 * time.Millisecond
	// maxWriteRetry bounds the backoff of a node whose entry the store does not take.
	maxWriteRetry = 2 * time.Second
)

// ownEntry is what the node announces of itself. Its numbering continues that of the entry
// which an earlier process of the instance has left in the store, so that an entry that is
// still right need not be written again when the process restarts.
type ownEntry struct {
	base      membership.Record // the fields that don't change while the process runs
	self      membership.Record // the last announcement, or the earlier process's
	announced bool              // self has been set by Announce
	stored    membership.Record // the last known entry in the store, and its revision
	revision  uint64
}

// ownRecord returns the node's own record and whether it has been announced.
func (f *Fleet) ownRecord() (membership.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own.self, f.own.announced
}

// Departed returns what this node's record says of targets that have left.
func (f *Fleet) Departed() string {
	self, _ := f.ownRecord()
	return self.Departed()
}

// Announce sets the state that this node publishes in its entry, which Run writes to the
// store. crash describes the target's last crash, "" if there was none since the process
// started: the entry keeps that of an earlier process.
func (f *Fleet) Announce(state membership.State, target string, slots int, crash string, opts ...membership.RecordOption) {
	f.mu.Lock()
	o := &f.own
	if crash == "" {
		crash = o.self.Crash()
	}
	next := func(seq uint64) membership.Record {
		base := o.base
		return membership.NewRecord(base.Instance(), append([]membership.RecordOption{
			membership.Domain(base.Domain()), membership.Pool(base.Pool()), membership.Address(base.Address()), membership.ControlAddress(base.ControlAddress()),
			membership.Boot(o.self.Boot()), membership.Seq(seq), membership.InState(state),
			membership.TargetID(target), membership.Slots(slots), membership.Crash(crash), membership.LinkMbps(base.LinkMbps()),
		}, opts...)...)
	}
	if r := next(o.stored.Seq()); o.announced || r != o.stored {
		r = next(o.self.Seq() + 1)
		o.self = r
	} else {
		o.self = o.stored
	}
	o.announced = true
	self := o.self
	f.mu.Unlock()
	f.view.put(self, 0)
	f.signalEntryChanged()
}

// applyOwnRecord handles a record of this node from the store, then with its revision, or
// from another node. A newer one than its own was written by an earlier process, or by the
// root of its failure domain that took it for gone.
func (f *Fleet) applyOwnRecord(r membership.Record, revision uint64) {
	f.mu.Lock()
	o := &f.own
	if revision > 0 && revision < o.revision {
		// A read that may be stale was overtaken.
		f.mu.Unlock()
		return
	}
	if o.self.Crash() == "" && r.Crash() != "" {
		o.self = o.self.WithCrash(r.Crash()).WithSeq(o.self.Seq() + 1)
	}
	if o.self.Departed() == "" && r.Departed() != "" {
		o.self = o.self.WithDeparted(r.Departed()).WithSeq(o.self.Seq() + 1)
	}
	switch {
	case !o.announced && r.State() != membership.Gone && sameNode(r, o.base) && !o.stored.Newer(r):
		o.self = r
	case r.Newer(o.self):
		o.self = o.self.WithBoot(r.Boot() + 1)
		f.log.Emit(event.BootIncreased, event.F("boot", o.self.Boot()), event.F("left", r.Boot()))
	case revision > 0 && o.stored == (membership.Record{}) && sameAnnouncement(r, o.self):
		// The announcement came before the store was read.
		o.self = r
	}
	if revision > o.revision {
		f.setStored(r, revision)
	}
	self := o.self
	f.mu.Unlock()
	f.view.setOwn(self, revision)
	f.signalEntryChanged()
	if r.Departed() != "" {
		f.onDeparted(r.Departed())
	}
}

// setStored records the node's entry in the store; the caller holds the lock. The response to
// the write may have been lost.
func (f *Fleet) setStored(r membership.Record, revision uint64) {
	f.own.stored, f.own.revision = r, revision
	close(f.entryStored)
	f.entryStored = make(chan struct{})
}

// restoreOwnEntry reads the entry that an earlier process of this node has left in the
// store, until it gets an answer. Other reads may be stale, and lack what that process has
// announced last.
func (f *Fleet) restoreOwnEntry(ctx context.Context, done chan<- error) {
	for backoff := minRetry; ctx.Err() == nil && !f.ownEntryRead.Load(); backoff = min(2*backoff, maxStartRetry) {
		if f.readOwnEntry(ctx) == nil {
			f.setOwnEntryRead()
			break
		}
		_ = f.clk.Sleep(ctx, f.jitter(backoff))
	}
	<-ctx.Done()
	done <- ctx.Err()
}

// readOwnEntry reads and applies this node's entry, if the store has one.
func (f *Fleet) readOwnEntry(ctx context.Context) error {
	self, _ := f.ownRecord()
	v, err := f.store.Get(ctx, entryKey(self.Domain(), self.Instance()))
	f.storeReturned(ctx, err)
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		f.applyValues([]platform.Value{v})
	case !errors.As(err, &missing):
		return err
	}
	return nil
}

// setOwnEntryRead records that this node's own entry has been read, or that other nodes have
// reported it.
func (f *Fleet) setOwnEntryRead() {
	if !f.ownEntryRead.Swap(true) {
		f.onRestored()
		f.signalEntryChanged()
	}
}

// acceptPeersCopy takes what other nodes know of this node's entry for the whole of it if the
// store has not answered for some time: a node that can't reach the store serves by its peers'
// data in everything else, too.
func (f *Fleet) acceptPeersCopy() {
	if f.clk.Since(f.startedAt) > storeOutageAfter {
		f.setOwnEntryRead()
	}
}

// AwaitStored waits until the store has what this node announces. It returns the error of ctx
// if that ends before.
func (f *Fleet) AwaitStored(ctx context.Context) error {
	for {
		f.mu.Lock()
		stored, next := !f.own.announced || f.own.stored == f.own.self, f.entryStored
		f.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sameNode reports whether a record describes a process at the same addresses as base.
func sameNode(r, base membership.Record) bool {
	return r.Address() == base.Address() && r.ControlAddress() == base.ControlAddress() && r.Pool() == base.Pool() && r.LinkMbps() == base.LinkMbps()
}

// sameAnnouncement reports whether two records of an instance differ in nothing but their
// numbering.
func sameAnnouncement(a, b membership.Record) bool {
	return a.WithBoot(0).WithSeq(0) == b.WithBoot(0).WithSeq(0)
}

// entryWriter maintains the node's own entry in the store.
type entryWriter struct {
	f       *Fleet
	written membership.Record
}

// maintainEntry writes the node's entry when it changes.
func (f *Fleet) maintainEntry(ctx context.Context, done chan<- error) {
	w := &entryWriter{f: f}
	retry := time.Duration(0)
	for ctx.Err() == nil {
		if err := w.reconcile(ctx); err != nil {
			f.storeReturned(ctx, err)
			retry = min(max(minRetry, 2*retry), maxWriteRetry)
			_ = f.clk.Sleep(ctx, f.jitter(retry))
			continue
		}
		retry = 0
		select {
		case <-ctx.Done():
		case <-f.entryChanged:
		}
	}
	w.removeEntry(context.WithoutCancel(ctx))
	done <- ctx.Err()
}

// reconcile writes the node's entry to the store unless it is up to date there.
func (w *entryWriter) reconcile(ctx context.Context) error {
	f := w.f
	f.mu.Lock()
	self, announced, stored := f.own.self, f.own.announced, f.own.stored
	f.mu.Unlock()
	revision := f.view.revisionOf(self.Instance())
	switch {
	case !announced || !f.ownEntryRead.Load():
		return nil
	case revision > 0 && stored == self:
		w.written = self
		return nil
	}
	return w.write(ctx, self, revision)
}

// write replaces the entry if it is still at the known revision, so that a write that
// the store delays can't overwrite a later one.
func (w *entryWriter) write(ctx context.Context, self membership.Record, known uint64) error {
	f := w.f
	revision, err := f.store.CompareAndSwap(ctx, entryKey(self.Domain(), self.Instance()), known, encodeEntry(self))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		w.written = self
		f.mu.Lock()
		f.setStored(self, revision)
		f.mu.Unlock()
		f.view.put(self, revision)
		f.storeAnswered()
		f.log.Emit(event.EntryWritten, event.F("state", self.State()), event.F("target", self.TargetID()), event.F("revision", revision))
		return nil
	case errors.As(err, &conflict):
		// An earlier process may have written last, and have announced departures with it.
		f.view.setRevision(self, conflict.Current)
		if conflict.Current > 0 {
			if rerr := f.readOwnEntry(ctx); rerr != nil {
				return rerr
			}
		}
		return err
	default:
		return err
	}
}

// removeEntry removes the node's entry on shutdown. That of a draining target, or with
// targets that have left, is kept for the process that replaces this one; the root of the
// failure domain removes it otherwise, and also if the removal fails.
func (w *entryWriter) removeEntry(ctx context.Context) {
	f := w.f
	self := w.written
	if self.Instance() == "" || self.State() == membership.Draining || self.Departed() != "" {
		return
	}
	ctx, cancel := f.clk.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if _, err := f.store.CompareAndSwap(ctx, entryKey(self.Domain(), self.Instance()), f.view.revisionOf(self.Instance()), nil); err != nil {
		f.log.Emit(event.StoreUnavailable, event.F("error", err))
	}
}
