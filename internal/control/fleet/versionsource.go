package fleet

import (
	"context"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// fetchHedgeDelay is the delay before a version is also requested from the next node,
	// in addition to the time that its transfer takes, at most maxTransferTime.
	fetchHedgeDelay = 150 * time.Millisecond
	maxTransferTime = time.Second
	// largeTransfer is the time of a transfer from the parent from which a source that
	// delivers sooner is looked for. On a link of 10 Mbit/s it is that of 16 KB.
	largeTransfer = 100 * time.Millisecond
)

// versionSource is a node that a version can be fetched from and the time that this takes.
type versionSource struct {
	peer     netip.AddrPort
	transfer time.Duration
}

// versionSources returns the nodes to fetch a version of some bytes from, in order: the
// parent that announced it, then the others. A large version is first fetched from where it
// comes soonest.
func (f *Fleet) versionSources(position tree.Position, from membership.Record, bytes uint32) []versionSource {
	transfer := f.transferTime(bytes, from)
	sources := sourcesOf(append([]membership.Record{from}, position.Parents()...), transfer)
	if transfer < largeTransfer {
		return sources
	}
	soonest, ok := f.soonestSource()
	if !ok {
		return sources
	}
	peer := soonest.Record().ControlAddress()
	sources = slices.DeleteFunc(sources, func(s versionSource) bool { return s.peer == peer })
	return slices.Insert(sources, 0, versionSource{peer, min(maxTransferTime, soonest.Time(int(bytes)))})
}

// sourcesOf returns the sources of a version, each node once.
func sourcesOf(records []membership.Record, transfer time.Duration) []versionSource {
	var out []versionSource
	for _, r := range records {
		if s := (versionSource{r.ControlAddress(), transfer}); !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// cachedSource caches the source of large versions, which depends on the members of the
// node's failure domain only.
type cachedSource struct {
	mu     sync.Mutex
	change uint64 // of the domain, that the source was computed from
	source tree.Source
	ok     bool
}

// soonestSource returns the parent from which a large version comes soonest.
func (f *Fleet) soonestSource() (tree.Source, bool) {
	self, _ := f.ownRecord()
	c := &f.cachedSource
	c.mu.Lock()
	defer c.mu.Unlock()
	if records, change := f.view.domainRecords(self.Domain(), c.change); change != c.change {
		c.change = change
		c.source, c.ok = tree.SourceOf(self.Instance(), self.Domain(), records)
	}
	return c.source, c.ok
}

// transferTime returns how long a version of some bytes takes from a parent that sends it to
// all its children, on the narrower of the two links.
func (f *Fleet) transferTime(bytes uint32, from membership.Record) time.Duration {
	self, _ := f.ownRecord()
	link := from.LinkMbps()
	if own := self.LinkMbps(); own > 0 && (link == 0 || own < link) {
		link = own
	}
	if link == 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(bytes) * bitsPerByte * tree.Fanout / (float64(link) * bitsPerMbit)
	return min(maxTransferTime, time.Duration(seconds*float64(time.Second)))
}

// silentFetch is how long a known version is only requested from other nodes while none of them
// sends anything.
const silentFetch = 500 * time.Millisecond

// fetchVersion requests a version from nodes in turn and reports whether it is active. The
// next node is queried once one has responded without the version or is late, given the
// time that the transfer and the pause in a series of versions take. A version that no node
// delivers is read from the store.
func (f *Fleet) fetchVersion(ctx context.Context, from []versionSource, wanted uint64) bool {
	var fetches sync.WaitGroup
	defer fetches.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		progress = fetchProgress{pending: map[netip.AddrPort]bool{}}
		answered = make(chan struct{}, len(from))
		asked    = make(chan struct{}) // closed once all nodes have been queried and have answered
		read     = make(chan bool, 1)  // whether the store was read
	)
	fetches.Go(func() { read <- f.readUndelivered(ctx, &progress, asked, wanted) })
	pending := 0
	for len(from) > 0 || pending > 0 {
		var hedge *timer.Subscription
		if len(from) > 0 {
			source := from[0]
			from = from[1:]
			pending++
			progress.begin(source.peer)
			fetches.Go(func() {
				progress.end(source.peer, f.queryPeer(progress.trace(ctx, source.peer), source.peer, false) >= wanted)
				answered <- struct{}{}
			})
			hedge = f.clk.After(fetchHedgeDelay + source.transfer + f.seriesPause())
		} else {
			hedge = f.clk.After(fetchTimeout)
		}
		select {
		case <-answered:
			pending--
		case tried := <-read:
			if read = nil; tried {
				from, pending = nil, 0
			}
		case <-hedge.C():
			// Once the bytes are there, the same ones from another node would not help.
			if version, _ := f.newest(); version >= wanted {
				<-answered
				pending--
			}
		}
		hedge.Stop()
		if f.Current().Version() >= wanted || ctx.Err() != nil {
			return true
		}
	}
	close(asked)
	if read != nil {
		<-read
	}
	return f.Current().Version() >= wanted
}

// readUndelivered reads the configuration from the store if other nodes don't deliver a version:
// once all have answered without it, or after silentFetch while none sends it. It reports whether
// it tried to.
func (f *Fleet) readUndelivered(ctx context.Context, progress *fetchProgress, asked <-chan struct{}, wanted uint64) bool {
	for {
		wait := f.clk.After(silentFetch)
		select {
		case <-ctx.Done():
			wait.Stop()
			return false
		case <-asked:
			wait.Stop()
		case <-wait.C():
			if progress.transferring() {
				continue
			}
		}
		if held, _ := f.newest(); held >= wanted || progress.delivered.Load() {
			return false
		}
		v, err := f.store.Get(ctx, f.configKey)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			f.storeFailed(ctx, err)
		default:
			f.storeAnswered()
			f.applyConfig(version.Unknown, v.Data(), fromStore)
		}
		return true
	}
}

// fetchProgress is what the queries for one version have returned, for concurrent use.
type fetchProgress struct {
	delivered atomic.Bool // some node has sent the version
	mu        sync.Mutex
	pending   map[netip.AddrPort]bool // whether a node that was queried has begun to respond
}

func (p *fetchProgress) begin(peer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[peer] = false
}

func (p *fetchProgress) end(peer netip.AddrPort, delivered bool) {
	if delivered {
		p.delivered.Store(true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, peer)
}

// trace returns a context in which the response of a node is noticed when it begins.
func (p *fetchProgress) trace(ctx context.Context, peer netip.AddrPort) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pending[peer] = true
	}})
}

// transferring reports whether some response has begun and not ended.
func (p *fetchProgress) transferring() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, began := range p.pending {
		if began {
			return true
		}
	}
	return false
}
