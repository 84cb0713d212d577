package fleet

import (
	"context"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/policy/version"
)

const (
	// fetchHedgeDelay is the delay before a version is also requested from the next node,
	// in addition to the time that its transfer takes.
	fetchHedgeDelay = 150 * time.Millisecond
	// silentFetch is how long a version is only requested from other nodes while none of them
	// sends anything.
	silentFetch = 500 * time.Millisecond
)

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
		progress  = fetchProgress{responding: map[netip.AddrPort]bool{}}
		answered  = make(chan struct{}, len(from))
		exhausted = make(chan struct{}) // closed once all nodes have been queried and have answered
		read      = make(chan struct{}) // closed once the store has been read, or need not be
	)
	fetches.Go(func() {
		defer close(read)
		f.readUndelivered(ctx, &progress, exhausted, wanted)
	})
	pending := 0
	for len(from) > 0 || pending > 0 {
		var hedge *timer.Subscription
		if len(from) > 0 {
			source := from[0]
			from = from[1:]
			pending++
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
		case <-read:
			read = nil // the nodes may still deliver what the store did not
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
	close(exhausted)
	fetches.Wait()
	return f.Current().Version() >= wanted
}

// readUndelivered reads the configuration from the store if other nodes don't deliver a version:
// once all have answered without it, or after silentFetch while none sends it.
func (f *Fleet) readUndelivered(ctx context.Context, progress *fetchProgress, exhausted <-chan struct{}, wanted uint64) {
	for {
		wait := f.clk.After(silentFetch)
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-exhausted:
			wait.Stop()
		case <-wait.C():
			if progress.transferring() {
				continue
			}
		}
		if held, _ := f.newest(); held >= wanted || progress.delivered.Load() {
			return
		}
		v, err := f.store.Get(ctx, f.configKey)
		if ctx.Err() != nil {
			return
		}
		f.storeReturned(ctx, err)
		if err == nil {
			f.applyConfig(version.Unknown, v.Data(), fromStore)
		}
		return
	}
}

// fetchProgress is what the queries for one version have returned, for concurrent use.
type fetchProgress struct {
	delivered  atomic.Bool // some node has sent the version
	mu         sync.Mutex
	responding map[netip.AddrPort]bool // nodes whose response has begun and not ended
}

func (p *fetchProgress) end(peer netip.AddrPort, delivered bool) {
	if delivered {
		p.delivered.Store(true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responding, peer)
}

// trace returns a context in which the response of a node is noticed when it begins.
func (p *fetchProgress) trace(ctx context.Context, peer netip.AddrPort) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.responding[peer] = true
	}})
}

// transferring reports whether some response has begun and not ended.
func (p *fetchProgress) transferring() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.responding) > 0
}
