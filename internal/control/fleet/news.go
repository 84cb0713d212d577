package fleet

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// newsKey is where readers tell of the newest version, for those that watch
	// the fleet's own keys alone.
	newsKey = ownPrefix + "version"
	// newsStep is how long each further reader waits for those before it to tell:
	// a call to the store and the watch that brings it take 4 ms each. Twenty
	// readers take 0.3 s for it at the most, where only the last one has the
	// version; two that tell at once cost a call.
	newsStep = 15 * time.Millisecond
	// chasePause is between two rounds of asking the near readers, which get a
	// version at about the same time as the one that told of it.
	chasePause = 100 * time.Millisecond
	// fetchLate is when the next reader is asked while one has not answered: 35 KB
	// take 60 ms on a link of 5 Mbit/s, and twice that beside one more. A reader
	// that stands still would else cost half a second each time.
	fetchLate = 150 * time.Millisecond
	// farSources is how many readers of other failure domains are asked where no
	// near one has the version; what they send is paid for.
	farSources = 2
	// chaseTries bounds how often one version is looked for: a note may tell of
	// one that nobody has.
	chaseTries = 6
)

// news is the newest version that the store tells of.
type news struct {
	version, revision uint64
	tries             int
}

// heardNews takes in a note of the newest version. One that can't be read is
// remembered as version 0, so that the next reader writes over it.
func (f *Fleet) heardNews(v platform.Value) {
	version, err := strconv.ParseUint(string(v.Data()), 10, 64)
	if err != nil {
		f.log.Emit(event.RecordRefused, event.F("error", &EntryError{Key: newsKey, Reason: "is no number"}))
	}
	f.mu.Lock()
	if version != f.news.version {
		f.news.tries = 0
	}
	f.news.version, f.news.revision = version, v.Revision()
	f.mu.Unlock()
	f.wake(f.chased)
}

// heardOf returns the newest version that the store tells of, and the note's
// revision.
func (f *Fleet) heardOf() (version, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news.version, f.news.revision
}

// roster returns who reads the configuration from the store.
func (f *Fleet) roster() roster {
	self, _ := f.own()
	members := f.view.records()
	if !slices.ContainsFunc(members, func(r membership.Record) bool { return r.Instance() == self.Instance() }) {
		members = append(members, self)
	}
	return rosterOf(members, f.allRead)
}

// reads reports whether this node reads the configuration from the store.
func (f *Fleet) reads() bool {
	self, _ := f.own()
	return f.roster().rank(self.Instance()) >= 0
}

// tell writes down each new version for the nodes that don't read it. The readers
// do so one after the other until one has: usually the first.
func (f *Fleet) tell(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.fresh:
			f.tellOnce(ctx)
		}
	}
	done <- ctx.Err()
}

func (f *Fleet) tellOnce(ctx context.Context) {
	self, _ := f.own()
	r := f.roster()
	rank := r.rank(self.Instance())
	if rank < 0 || !r.others || f.clk.Sleep(ctx, time.Duration(rank)*newsStep) != nil {
		return
	}
	version := f.Current().Version()
	known, revision := f.heardOf()
	if known >= version {
		return
	}
	text := strconv.AppendUint(nil, version, 10)
	_, err := f.store.CompareAndSwap(ctx, newsKey, revision, text)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current == 0 {
		// The store has lost the note.
		_, err = f.store.CompareAndSwap(ctx, newsKey, 0, text)
	}
	switch {
	case errors.As(err, &conflict):
		// Another reader was first, or another writer; the watch brings it.
	case err != nil:
		f.lostStore(ctx, err)
	default:
		f.log.Emit(event.VersionTold, event.F("version", version), event.F("rank", rank))
	}
}

// chase fetches the versions that the store tells of from the nodes that read them;
// to those the watch brings them.
func (f *Fleet) chase(ctx context.Context, done chan<- error) {
	f.regularly(ctx, f.chased, f.chaseOnce)
	done <- ctx.Err()
}

func (f *Fleet) chaseOnce(ctx context.Context) {
	wanted, open := f.wanted()
	if !open {
		return
	}
	self, _ := f.own()
	r := f.roster()
	if r.rank(self.Instance()) >= 0 {
		return
	}
	near, far := r.sources(self)
	if f.fetch(ctx, near, wanted) || f.clk.Sleep(ctx, chasePause) != nil || f.fetch(ctx, near, wanted) {
		return
	}
	if f.fetch(ctx, far[:min(farSources, len(far))], wanted) {
		return
	}
	f.getConfiguration(ctx)
}

// wanted returns the version to look for, if there is one. One that is not found
// is taken for another writer's note, over which the next version may be written.
func (f *Fleet) wanted() (version uint64, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version = f.news.version
	switch {
	case f.Current().Version() >= version:
		return 0, false
	case f.news.tries >= chaseTries:
		f.news.version = 0
		f.log.Emit(event.RecordRefused, event.F("error", &EntryError{Key: newsKey, Reason: "tells of a version that nobody has"}))
		return 0, false
	}
	f.news.tries++
	return version, true
}

// fetch asks nodes for a version and reports whether it is there. The next one is
// asked as soon as one has answered without it, or is late.
func (f *Fleet) fetch(ctx context.Context, from []membership.Record, wanted uint64) bool {
	var asked sync.WaitGroup
	defer asked.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, r := range from {
		answered := make(chan struct{})
		asked.Go(func() {
			f.askPeer(ctx, r.Peer(), false)
			close(answered)
		})
		late := f.clk.After(fetchLate)
		select {
		case <-answered:
		case <-late.C():
		}
		late.Stop()
		if f.Current().Version() >= wanted || ctx.Err() != nil {
			return true
		}
	}
	asked.Wait()
	return f.Current().Version() >= wanted
}

// getConfiguration asks the store itself.
func (f *Fleet) getConfiguration(ctx context.Context) {
	if !f.storeOK.Load() {
		return
	}
	v, err := f.store.Get(ctx, f.configKey)
	if err != nil {
		f.lostStore(ctx, err)
		return
	}
	f.value(v)
}
