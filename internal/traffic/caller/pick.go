package caller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Picker chooses targets and learns from what calls see of them.
type Picker interface {
	// Pick chooses among the ready targets of a pool, leaving out those that
	// the call has tried, as long as there are others.
	Pick(now time.Time, pool string, ready []membership.Record, tried []string) (membership.Record, bool)
	// Begin and End frame one attempt at a target.
	Begin(now time.Time, to membership.Record)
	End(now time.Time, to membership.Record, took time.Duration, how Attempted)
}

// Attempted says how an attempt at a target ended.
type Attempted uint8

// The ends of an attempt.
const (
	// Answered is an answer by the target.
	Answered Attempted = iota + 1
	// Refused is a certified refusal by the target's node.
	Refused
	// Unreachable is a node to which nothing could be sent.
	Unreachable
	// Broken is an attempt that broke off after it had begun.
	Broken
)

func (c *call) pick(tried []string) (membership.Record, error) {
	ready := c.h.directory.Targets(c.rt.Pool())
	to, ok := c.h.picker.Pick(c.h.clk.Now(), c.rt.Pool(), ready, tried)
	if !ok {
		return membership.Record{}, &NoTargetError{Pool: c.rt.Pool()}
	}
	return to, nil
}

// twoChoices takes the less busy of two random targets.
type twoChoices struct {
	mu   sync.Mutex
	busy map[string]int
}

func newPicker() *twoChoices { return &twoChoices{busy: map[string]int{}} }

func (p *twoChoices) Pick(_ time.Time, _ string, ready []membership.Record, tried []string) (membership.Record, bool) {
	if len(tried) > 0 {
		fresh := slices.DeleteFunc(slices.Clone(ready), func(r membership.Record) bool {
			return slices.Contains(tried, r.Instance())
		})
		if len(fresh) > 0 {
			ready = fresh
		}
	}
	if len(ready) == 0 {
		return membership.Record{}, false
	}
	a, b := ready[rand.IntN(len(ready))], ready[rand.IntN(len(ready))]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[b.Instance()] < p.busy[a.Instance()] {
		return b, true
	}
	return a, true
}

func (p *twoChoices) Begin(_ time.Time, to membership.Record) { p.add(to.Instance(), 1) }

func (p *twoChoices) End(_ time.Time, to membership.Record, _ time.Duration, _ Attempted) {
	p.add(to.Instance(), -1)
}

func (p *twoChoices) add(instance string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[instance] += n; p.busy[instance] == 0 {
		delete(p.busy, instance)
	}
}
