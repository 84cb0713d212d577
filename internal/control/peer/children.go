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
	// repollGrace is how long a child may be without a poll before it is
	// probed. The next poll normally follows a response within a round trip.
	repollGrace = 300 * time.Millisecond
	// A stalled or overloaded process may take a second to answer, so an
	// instance is declared unresponsive only after probeAttempts probes of
	// probeTimeout each. A refused connection means that the process has ended
	// and needs no further attempt.
	probeTimeout  = time.Second
	probeAttempts = 3
	// maxProbes bounds the concurrent probes when many children disappear at
	// once.
	maxProbes = 16
)

type child struct {
	pendingPolls int
	// lostAt is when the last poll ended, if none is pending.
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
	ch.pendingPolls++
}

func (c *children) end(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.byName[name]
	if ch == nil {
		return
	}
	if ch.pendingPolls--; ch.pendingPolls == 0 {
		ch.lostAt = now
	}
}

// anyTracked reports whether nodes pull from this one or wait to be probed.
func (c *children) anyTracked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byName) > 0
}

// scheduleProbe schedules the probe of an instance that need not be a child,
// such as a parent that stopped answering.
func (c *children) scheduleProbe(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName[name] == nil {
		c.byName[name] = &child{lostAt: now}
	}
}

// takeLost removes and returns the children without a poll for at least
// repollGrace.
func (c *children) takeLost(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, ch := range c.byName {
		if ch.pendingPolls == 0 && now.Sub(ch.lostAt) >= repollGrace {
			out = append(out, name)
			delete(c.byName, name)
		}
	}
	return out
}

// watchChildren probes children that stopped pulling. One that moved to another
// relay answers; one that crashed or stalled does not. Without the probes a
// crashed instance would be detected only when its heartbeats time out, after
// calls to it have failed.
func (n *Node) watchChildren(ctx context.Context, done chan<- error) {
	tick := n.clock.Subscribe(repollGrace / 2)
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
			for _, name := range n.children.takeLost(n.clock.Now()) {
				probes.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					n.probe(ctx, name)
				})
			}
		}
	}
}

// probe queries an instance directly and marks it suspect if it does not
// answer. A live instance refutes that.
func (n *Node) probe(ctx context.Context, instance string) {
	domain := n.view.Domain()
	r, ok := n.view.Record(domain, instance)
	if !ok || r.State() == membership.Gone || r.State() == membership.Suspect {
		return
	}
	for range probeAttempts {
		if ctx.Err() != nil {
			return
		}
		pctx, cancel := n.clock.WithTimeout(ctx, probeTimeout)
		resp, err := n.peerClient(r.ControlAddress()).Status(pctx, &peerpb.StatusRequest{})
		cancel()
		if err == nil && resp.GetInstance() == instance && resp.GetBoot() == r.Boot() {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	// A record that changed during the probe is newer than its result.
	if now, ok := n.view.Record(domain, instance); !ok || now != r || ctx.Err() != nil {
		return
	}
	n.log.Emit(event.InstanceLost, event.F("instance", instance))
	// Merge the claim as this node's. If it were attributed to the instance, it
	// would not be sent to that instance, which could then not refute it.
	n.mergeFrom(suspectClaim(r), n.Self().Instance())
}

// suspectClaim returns the claim that an instance has been unresponsive since
// its announcement r.
func suspectClaim(r membership.Record) membership.Record {
	return membership.NewRecord(r.Instance(), membership.Domain(r.Domain()), membership.Pool(r.Pool()),
		membership.Address(r.Address()), membership.ControlAddress(r.ControlAddress()), membership.Boot(r.Boot()),
		membership.Seq(r.Seq()), membership.InState(membership.Suspect))
}
