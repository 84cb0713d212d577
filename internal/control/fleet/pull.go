package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/control/fleet/fleetpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

const (
	// pullWait is how long a node above may hold a pull for want of news, and
	// pullSlack what the answer may take besides. One that stands still is left
	// after both, well within the time in which a version has to be in force.
	pullWait  = 800 * time.Millisecond
	pullSlack = 400 * time.Millisecond
	// maxAsked bounds the nodes above that are asked side by side.
	maxAsked = 3
	// pullPause follows news of members, so that a row of changes goes down the
	// tree in few answers; a level more costs a version this much.
	pullPause = 50 * time.Millisecond
	// staleAfter is from which silence of the store a node's word is too old. A
	// node at rest that reads the store hears from it with each renewal.
	staleAfter = 2500 * time.Millisecond
	// holdDown keeps a node away from one above it that has failed.
	holdDown = 3 * time.Second
	// aloneAfter is how long nobody above may answer before a node reads the
	// store itself; processes that start together need about that long.
	aloneAfter = 800 * time.Millisecond
	// fetchLate is when the next node is asked for a version while one has not
	// answered, which may sit behind a narrow link.
	fetchLate = 150 * time.Millisecond
	// fetchPause follows a version that nobody above could hand out.
	fetchPause = 100 * time.Millisecond
)

// puller takes what is new from the nodes above this one.
type puller struct {
	f        *Fleet
	selector *tree.Selector
	at       cursor
	reporter reporter
}

// cursor is a place in another node's changes of members.
type cursor struct {
	instance      string
	epoch, change uint64
}

// pull follows a node above this one, another one if it fails.
func (f *Fleet) pull(ctx context.Context) {
	f.mu.Lock()
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
	f.mu.Unlock()
	p := &puller{f: f, selector: tree.NewSelector(rng,
		tree.StaleAfter(staleAfter), tree.HoldDown(holdDown), tree.AloneAfter(aloneAfter))}
	for ctx.Err() == nil {
		p.step(ctx)
	}
}

func (p *puller) step(ctx context.Context) {
	f := p.f
	changed := f.view.changes()
	position := f.position()
	p.selector.Update(position)
	from, wait := p.selector.Next(f.clk.Now())
	f.setAlone(p.selector.Alone(f.clk.Now()))
	if from.Instance() == "" {
		f.idle(ctx, changed, wait)
		return
	}
	a := p.ask(ctx, from)
	if a.err != nil {
		p.at = cursor{}
		return
	}
	from, resp, now := a.from, a.resp, f.clk.Now()
	if p.at.instance != from.Instance() {
		p.at = cursor{instance: from.Instance()}
	}
	age := time.Duration(resp.GetAgeMs()) * time.Millisecond
	f.age.note(now, age)
	p.selector.Answered(now, from.Instance(), age)
	p.at.epoch, p.at.change = resp.GetEpoch(), resp.GetCursor()
	f.rollouts(resp.GetRollouts())
	f.members(resp, from)
	told := resp.GetVersion()
	if told > f.Current().Version() && !f.fetch(ctx, append([]netip.AddrPort{from.Peer()}, peersOf(position.Parents())...), told) {
		// Asked again at once, who can't hand out what it tells of is asked without end.
		_ = f.clk.Sleep(ctx, fetchPause)
	}
	if len(resp.GetMembers()) > 0 {
		_ = f.clk.Sleep(ctx, pullPause)
	}
}

// pulled is what came of one pull.
type pulled struct {
	from membership.Record
	resp *fleetpb.PullResponse
	err  error
}

// ask pulls from a parent, and from further ones beside it while none answers: of
// several that stand still each would else cost a whole time-out, in a row. It
// returns the first answer, or a failure if no parent has any.
func (p *puller) ask(ctx context.Context, first membership.Record) pulled {
	f := p.f
	answers := make(chan pulled, maxAsked)
	var asked sync.WaitGroup
	defer asked.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := map[string]bool{}
	start := func(from membership.Record) *timer.Subscription {
		at := cursor{}
		if p.at.instance == from.Instance() {
			at = p.at
		}
		pending[from.Instance()] = true
		asked.Go(func() {
			resp, err := f.pullFrom(ctx, from, at, true, &p.reporter)
			answers <- pulled{from, resp, err}
		})
		return f.clk.After(patience(at))
	}
	late, last := start(first), first
	defer func() { late.Stop() }()
	for {
		select {
		case a := <-answers:
			if a.err == nil || ctx.Err() != nil {
				return a
			}
			f.log.Emit(event.PeerLost, event.F("peer", a.from.Instance()), event.F("error", a.err))
			p.selector.Failed(f.clk.Now(), a.from.Instance())
			delete(pending, a.from.Instance())
			if len(pending) == 0 {
				return a
			}
		case <-late.C():
			p.selector.Failed(f.clk.Now(), last.Instance())
			next, _ := p.selector.Next(f.clk.Now())
			if next.Instance() == "" || pending[next.Instance()] || len(pending) == maxAsked {
				continue
			}
			late, last = start(next), next
		}
	}
}

// patience returns how long a pull may go without an answer before another node is
// asked beside. One from the start of the changes is answered at once. A node that is
// followed already gets the whole time: under load it is often late, and another one
// would send all members.
func patience(at cursor) time.Duration {
	if at.epoch == 0 {
		return pullSlack
	}
	return pullWait + pullSlack
}

// idle waits for a change of the members, or for a time if there is one.
func (f *Fleet) idle(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	if wait <= 0 {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return
	}
	t := f.clk.After(min(wait, aloneAfter))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C():
	}
}

// pullFrom makes one pull.
func (f *Fleet) pullFrom(ctx context.Context, from membership.Record, at cursor, members bool, reported *reporter) (*fleetpb.PullResponse, error) {
	ctx, cancel := f.clk.WithTimeout(ctx, pullWait+pullSlack)
	defer cancel()
	self, _ := f.own()
	client := fleetpb.NewFleetProtobufClient("http://"+from.Peer().String(), f.kept)
	reports, numbers := f.reports(reported, from.Instance())
	resp, err := client.Pull(ctx, &fleetpb.PullRequest{
		Version: f.Current().Version(), Epoch: at.epoch, Cursor: at.change,
		WaitMs: uint32(f.hold().Milliseconds()), Members: members, Peer: self.Peer().String(),
		Rollouts: f.deliveries.marks(), Reports: reports,
	})
	if err == nil {
		reported.delivered(from.Instance(), numbers)
	}
	return resp, err
}

// hold returns how long a node above may hold a pull, which also carries the reports of
// rollouts up.
func (f *Fleet) hold() time.Duration {
	if len(f.deliveries.undecided()) > 0 {
		return steerEvery
	}
	return pullWait
}

// members takes in the members that an answer brings.
func (f *Fleet) members(resp *fleetpb.PullResponse, from membership.Record) {
	present := map[string]bool{}
	for _, m := range resp.GetMembers() {
		r, err := decodeAny(m.GetEntry())
		if err != nil {
			f.log.Emit(event.RecordRefused, event.F("error", err), event.F("from", from.Instance()))
			continue
		}
		present[r.Instance()] = true
		f.member(r, m.GetRevision())
	}
	if resp.GetWhole() {
		self, _ := f.own()
		present[self.Instance()] = true // its own word, and not another's
		f.view.keepOnly(present, f.clk.Now())
	}
}

// member takes in one member as another node knows it.
func (f *Fleet) member(r membership.Record, revision uint64) {
	switch {
	case f.isOwn(r):
		f.outliveEarlier(r)
	case r.State() == membership.Gone:
		f.view.bury(r)
	default:
		f.put(r, revision)
	}
}

// peersOf returns where nodes answer others.
func peersOf(records []membership.Record) []netip.AddrPort {
	out := make([]netip.AddrPort, len(records))
	for i, r := range records {
		out[i] = r.Peer()
	}
	return out
}

// fetch asks nodes for a version and reports whether it is there. The next one is
// asked as soon as one has answered without it, or is late.
func (f *Fleet) fetch(ctx context.Context, from []netip.AddrPort, wanted uint64) bool {
	var asked sync.WaitGroup
	defer asked.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, peer := range from {
		answered := make(chan struct{})
		asked.Go(func() {
			f.askPeer(ctx, peer, false)
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

// age is how old the node's knowledge of the store is, as those above it tell.
type age struct {
	mu sync.Mutex
	at time.Time // when the store answered who read it
}

func (a *age) note(now time.Time, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = now.Add(-age)
}

func (a *age) since(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.at)
}

// known reports whether anybody above has told an age.
func (a *age) known() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.at.IsZero()
}

// maxAge bounds what is told of an age.
const maxAge = time.Hour

// knowledgeAge returns how long ago the store is known to have answered whoever
// reads it for this node.
func (f *Fleet) knowledgeAge() time.Duration {
	if f.reads() {
		return min(f.StoreAge(), maxAge)
	}
	return min(f.age.since(f.clk.Now()), maxAge)
}
