package peer

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// lostGrace is how long a child may be without a poll before it is probed;
	// the next poll follows an answer within a round trip.
	lostGrace = 300 * time.Millisecond
	// probeTimeout is how long an instance has to answer a probe, and probeTries
	// how often it is asked. A busy machine lets a process wait for a second
	// now and then; three seconds without an answer are no such wait. One that
	// has died refuses the connection and is known at once.
	probeTimeout = time.Second
	probeTries   = 3
	// maxProbes bounds the probes that run at once when a rack goes.
	maxProbes = 16
)

type child struct {
	polls  int
	lostAt time.Time
}

// children are the nodes of the own failure domain that pull from this one.
type children struct {
	mu     sync.Mutex
	byName map[string]*child
}

func (c *children) begin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.byName[name]
	if ch == nil {
		ch = &child{}
		c.byName[name] = ch
	}
	ch.polls++
}

func (c *children) end(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.byName[name]
	if ch == nil {
		return
	}
	if ch.polls--; ch.polls == 0 {
		ch.lostAt = now
	}
}

// any reports whether nodes pull from this one.
func (c *children) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byName) > 0
}

// suspect has an instance probed though it is no child: the parent of this
// node that stopped answering.
func (c *children) suspect(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName[name] == nil {
		c.byName[name] = &child{lostAt: now}
	}
}

// lost removes and returns those without a poll for longer than the grace.
func (c *children) lost(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, ch := range c.byName {
		if ch.polls == 0 && now.Sub(ch.lostAt) >= lostGrace {
			out = append(out, name)
			delete(c.byName, name)
		}
	}
	return out
}

// watchChildren probes children that stopped pulling: one that went to another
// relay answers, one that died or froze does not. Without it a crashed target
// would be known by its silence only, and each caller would fail on it first.
func (n *Node) watchChildren(ctx context.Context, done chan<- error) {
	tick := n.clock.Subscribe(lostGrace / 2)
	defer tick.Stop()
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case <-ctx.Done():
			probes.Wait()
			done <- ctx.Err()
			return
		case <-tick.C():
			for _, name := range n.children.lost(n.clock.Now()) {
				probes.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					n.probe(ctx, name)
				})
			}
		}
	}
}

// probe asks an instance itself whether it lives and claims that it has fallen
// silent if it does not answer; the instance refutes the claim if it is wrong.
func (n *Node) probe(ctx context.Context, instance string) {
	domain := n.view.Domain()
	r, ok := n.view.Record(domain, instance)
	if !ok || r.State() == membership.Gone || r.State() == membership.Suspect {
		return
	}
	for range probeTries {
		if ctx.Err() != nil {
			return
		}
		pctx, cancel := n.clock.WithTimeout(ctx, probeTimeout)
		resp, err := n.dial(r.Peer()).Status(pctx, &peerpb.StatusRequest{})
		cancel()
		if err == nil && resp.GetInstance() == instance && resp.GetBoot() == r.Boot() {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	// What was heard since the probe began goes before it.
	if now, ok := n.view.Record(domain, instance); !ok || now != r || ctx.Err() != nil {
		return
	}
	n.log.Emit(event.InstanceLost, event.F("instance", instance))
	// The claim is this node's word: as the instance's own it would not be sent
	// to the instance, which could then not refute it.
	n.mergeFrom(suspected(r), n.Self().Instance())
}

// suspected returns the claim that an instance has fallen silent since an announcement.
func suspected(r membership.Record) membership.Record {
	return membership.NewRecord(r.Instance(), membership.Domain(r.Domain()), membership.Pool(r.Pool()),
		membership.Address(r.Address()), membership.Peer(r.Peer()), membership.Boot(r.Boot()),
		membership.Seq(r.Seq()), membership.InState(membership.Suspect))
}
