package event

import (
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

const (
	// linesASecond is what each kind of event may write: more than a saturated node
	// refuses calls, and little beside what its log may take.
	linesASecond = 50
	// linesAtOnce is what may come in one moment, as when a target ends with all
	// its calls.
	linesAtOnce = 200
	// endsASecond and endsAtOnce are for the line that tells how a call ended
	// without an answer: it is what an engineer who has the call's id looks for, so
	// that it is left out last.
	endsASecond = 300
	endsAtOnce  = 2000
)

// allowance returns what a kind of event may write, a second and at once.
func allowance(c Code) (lines, atOnce float64) {
	if c == CallFailed || c == CallLeft {
		return endsASecond, endsAtOnce
	}
	return linesASecond, linesAtOnce
}

// Budget bounds how much each kind of event writes, and tells how many lines it
// left out.
type Budget struct {
	clk *timer.Service

	mu    sync.Mutex
	kinds map[Code]*kind
}

type kind struct {
	left    float64
	at      time.Time
	omitted uint64
}

// NewBudget returns a budget.
func NewBudget(clk *timer.Service) *Budget { return &Budget{clk: clk, kinds: map[Code]*kind{}} }

// allow reports whether an event may be written, and how many of its kind were
// left out since the last one that was.
func (b *Budget) allow(c Code) (omitted uint64, ok bool) {
	if b == nil {
		return 0, true
	}
	now := b.clk.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	lines, atOnce := allowance(c)
	k := b.kinds[c]
	if k == nil {
		k = &kind{left: atOnce, at: now}
		b.kinds[c] = k
	}
	k.left = min(atOnce, k.left+lines*now.Sub(k.at).Seconds())
	k.at = now
	if k.left < 1 {
		k.omitted++
		return 0, false
	}
	k.left--
	omitted, k.omitted = k.omitted, 0
	return omitted, true
}
