package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// crossDomainRetry is the delay after a failed pull from another failure domain.
const crossDomainRetry = 200 * time.Millisecond

// pullFromDomains pulls from the peers that the node's position in the tree assigns to it,
// most of them in other failure domains. A root that can't reach the store, or whose watch
// receives nothing, thus gets newer versions and distributes them in its domain.
func (f *Fleet) pullFromDomains(ctx context.Context) {
	running := map[string]*domainPuller{}
	for ctx.Err() == nil {
		changed := f.view.changes()
		wanted := map[string][]membership.Record{}
		for _, q := range f.position().Peers() {
			wanted[q.Domain()] = q.Members()
		}
		for domain, puller := range running {
			if wanted[domain] == nil {
				puller.stop()
				delete(running, domain)
			}
		}
		for domain, members := range wanted {
			if running[domain] == nil {
				running[domain] = f.startDomainPuller(ctx, members)
			}
			running[domain].members.Store(&members)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	for _, puller := range running {
		puller.stop()
	}
}

// domainPuller continuously pulls from the peers in one failure domain.
type domainPuller struct {
	f       *Fleet
	members atomic.Pointer[[]membership.Record]
	reports sentReports
	cancel  context.CancelFunc
	done    chan error
}

func (f *Fleet) startDomainPuller(ctx context.Context, members []membership.Record) *domainPuller {
	ctx, cancel := context.WithCancel(ctx)
	p := &domainPuller{f: f, cancel: cancel, done: make(chan error, 1)}
	p.members.Store(&members)
	go p.run(ctx, p.done)
	return p
}

func (p *domainPuller) stop() {
	p.cancel()
	<-p.done
}

func (p *domainPuller) run(ctx context.Context, done chan<- error) {
	f := p.f
	for failures := 0; ctx.Err() == nil; {
		members := *p.members.Load()
		from := members[failures%len(members)]
		resp, err := f.pullFrom(ctx, from, cursor{}, f.requestedWait(), false, &p.reports)
		if err != nil {
			failures++
			_ = f.clk.Sleep(ctx, f.jitter(crossDomainRetry))
			continue
		}
		f.mergeRollouts(resp.GetRollouts(), !resp.GetRolloutsUnknown())
		if resp.GetVersion() > f.Current().Version() {
			f.Hint(from.ControlAddress(), resp.GetVersion())
			// Until the version is fetched, each further pull would return at once.
			_ = f.clk.Sleep(ctx, hintDelay)
		}
	}
	done <- ctx.Err()
}
