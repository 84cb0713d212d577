package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/play"
)

// hedgeStage is ten targets of twelve slots with a line each; a call goes to
// the shorter of two random ones.
type hedgeStage struct {
	*play.Play
	rng     *rand.Rand
	running [10]int
	line    [10][]func()
	work    time.Duration
	took    []time.Duration
	// after returns when a call gets a second attempt, if it may.
	after func(*Call) (time.Duration, bool)
	hedge func(*Call) bool
	// budgets learn from each call, also where they don't decide.
	budgets *Budgets
}

func (s *hedgeStage) call() {
	c := NewCall("wall", s.Now().Add(time.Second), Idempotent(), Retries(1))
	s.budgets.Fresh(&c)
	began, over := s.Now(), false
	done := func() {
		if !over {
			over = true
			s.budgets.Took(&c, s.Now().Sub(began))
			s.took = append(s.took, s.Now().Sub(began))
		}
	}
	s.attempt(&over, done)
	if after, ok := s.after(&c); ok {
		s.After(after, func() {
			if !over && s.hedge(&c) {
				s.attempt(&over, done)
			}
		})
	}
}

// attempt runs one attempt; one still in line when the call is over is dropped,
// one that runs goes on.
func (s *hedgeStage) attempt(over *bool, done func()) {
	i, j := s.rng.IntN(10), s.rng.IntN(10)
	if s.running[j]+len(s.line[j]) < s.running[i]+len(s.line[i]) {
		i = j
	}
	took := play.Exp(s.rng, 5*ms)
	if s.rng.IntN(100) == 0 {
		took *= 20
	}
	run := func() bool {
		if *over {
			return false
		}
		s.running[i]++
		s.work += took
		s.After(took, func() {
			s.running[i]--
			for len(s.line[i]) > 0 && s.running[i] < 12 {
				next := s.line[i][0]
				s.line[i] = s.line[i][1:]
				next()
			}
			done()
		})
		return true
	}
	if s.running[i] < 12 {
		run()
		return
	}
	s.line[i] = append(s.line[i], func() { run() })
}

func hedgePlay(load float64, policy func(*hedgeStage)) *hedgeStage {
	s := &hedgeStage{Play: play.New(), rng: play.Rand(5), budgets: NewBudgets(play.Rand(6))}
	policy(s)
	// A call takes 5 ms and one in a hundred twenty times that: 5.95 ms.
	s.Arrivals(play.Rand(7), load*120/0.00595, 0, 4*time.Second, s.call)
	s.Run()
	return s
}

// One call in a hundred takes twenty times as long, for reasons of the target:
// a second attempt elsewhere would be faster. The budgeted second attempt is
// played beside none and beside one for every late call. Below saturation it
// must take the tail away for little work; in saturation, where every call is
// late, it must not make things much worse.
func TestHedgingShortensTheTailWithinItsBudget(t *testing.T) {
	t.Parallel()
	none := func(s *hedgeStage) { s.after = func(*Call) (time.Duration, bool) { return 0, false } }
	budgeted := func(s *hedgeStage) { s.after, s.hedge = s.budgets.HedgeAfter, s.budgets.Hedge }
	always := func(s *hedgeStage) {
		s.after = func(*Call) (time.Duration, bool) { return 20 * ms, true }
		s.hedge = func(*Call) bool { return true }
	}
	for _, c := range []struct {
		name string
		load float64
		// tail is the most that the p99.9 may be of that without hedging.
		tail float64
	}{
		{"half load", 0.5, 0.25},
		{"four fifths", 0.8, 0.25},
		{"nearly all", 0.95, 0.3},
		{"saturation", 1.05, 1.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			plain, hedged, free := hedgePlay(c.load, none), hedgePlay(c.load, budgeted), hedgePlay(c.load, always)
			tail := func(s *hedgeStage) time.Duration { return play.Percentile(s.took, 0.999) }
			work := func(s *hedgeStage) float64 { return float64(s.work) / float64(plain.work) }
			if got := float64(tail(hedged)) / float64(tail(plain)); got > c.tail {
				t.Errorf("p99.9 %v, without hedging %v", tail(hedged), tail(plain))
			}
			if work(hedged) > 1+repeatShare {
				t.Errorf("%.3f times the work", work(hedged))
			}
			if c.load > 1 && float64(tail(free)) <= c.tail*float64(tail(plain)) {
				t.Error("the play can't tell hedging without a budget apart")
			}
			t.Logf("p99 %v, p99.9 %v; hedged %v, %v, work %.3f; without budget %v, %v, work %.3f",
				play.Percentile(plain.took, 0.99), tail(plain), play.Percentile(hedged.took, 0.99), tail(hedged), work(hedged),
				play.Percentile(free.took, 0.99), tail(free), work(free))
		})
	}
}

func TestHedge(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		opts []CallOption
		want bool
	}{
		{"an idempotent call from outside is hedged", []CallOption{Idempotent(), Retries(1)}, true},
		{"one that may not be repeated is not", []CallOption{Retries(1)}, false},
		{"nor one whose route allows no retry", []CallOption{Idempotent()}, false},
		{"nor one further down", []CallOption{Idempotent(), Retries(1), Depth(1)}, false},
		{"nor a retry", []CallOption{Idempotent(), Retries(1), Carried(1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := rich()
			call := NewCall("quote", play.Start.Add(time.Second), c.opts...)
			b.Took(&call, 10*ms)
			if _, got := b.HedgeAfter(&call); got != c.want {
				t.Errorf("hedged: %v", got)
			}
			if c.want && (!b.Hedge(&call) || call.Carries() != 1 || b.Hedge(&call)) {
				t.Error("a call is not hedged just once, carrying one retry")
			}
		})
	}
}
