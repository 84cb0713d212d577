package balance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/play"
)

const (
	ms    = time.Millisecond
	slots = 12
)

// server is one target in a play: so many slots and a line before them.
type server struct {
	name    string
	domain  string
	slow    func() float64
	fails   func() float64
	deaf    func() bool
	running int
	line    []func()

	got, longest int
}

// picker is what the callers of a play use: balancers, or a simpler policy.
type picker interface {
	pick(caller int, a Ask) (server int, done func(time.Duration, Report), ok bool)
}

// stage plays callers in some domains and servers in others, a millisecond
// apart.
type stage struct {
	*play.Play
	callers []string
	servers []*server
	picker  picker
	rng     *rand.Rand
	service time.Duration

	asked, done, failed, none int
	took                      []time.Duration
	at                        []time.Duration
}

func newStage(callers []string, servers ...*server) *stage {
	s := &stage{Play: play.New(), callers: callers, servers: servers, rng: play.Rand(99), service: 10 * ms}
	for i, sv := range servers {
		sv.name = fmt.Sprintf("target-%d", i)
		if sv.slow == nil {
			sv.slow = func() float64 { return 1 }
		}
		if sv.fails == nil {
			sv.fails = func() float64 { return 0 }
		}
		if sv.deaf == nil {
			sv.deaf = func() bool { return false }
		}
	}
	return s
}

func servers(n int, domain string) []*server {
	out := make([]*server, n)
	for i := range out {
		out[i] = &server{domain: domain}
	}
	return out
}

// play sends rate calls a second from random callers.
func (s *stage) play(rate float64, until time.Duration) {
	s.Arrivals(play.Rand(7), rate, 0, until, s.call)
	s.Run()
}

func (s *stage) call() {
	s.asked++
	caller := s.rng.IntN(len(s.callers))
	i, done, ok := s.picker.pick(caller, NewAsk("broker", snapshot.Paying))
	if !ok {
		s.none++
		return
	}
	sv := s.servers[i]
	began := s.Now()
	sv.got++
	end := func(r Report) {
		took := s.Now().Sub(began)
		if r.kind == answered {
			s.done++
			s.took = append(s.took, took)
			s.at = append(s.at, began.Sub(play.Start))
		} else {
			s.failed++
		}
		done(took, r)
	}
	way := ms / 10
	if sv.domain != s.callers[caller] {
		way = ms
	}
	if sv.deaf() {
		s.After(2*way, func() { end(Unreachable()) })
		return
	}
	s.After(way, func() {
		if s.rng.Float64() < sv.fails() {
			s.After(way, func() { end(Failed(Load(sv.load()))) })
			return
		}
		sv.take(s, func() {
			load := sv.load()
			s.After(way, func() { end(Answered(Load(load), Kept())) })
		})
	})
}

func (sv *server) load() float64 { return float64(sv.running+len(sv.line)) / slots }

func (sv *server) take(s *stage, done func()) {
	run := func() {
		sv.running++
		s.After(time.Duration(float64(play.Exp(s.rng, s.service))*sv.slow()), func() {
			sv.running--
			if len(sv.line) > 0 {
				next := sv.line[0]
				sv.line = sv.line[1:]
				next()
			}
			done()
		})
	}
	if sv.running < slots {
		run()
		return
	}
	sv.line = append(sv.line, run)
	sv.longest = max(sv.longest, len(sv.line))
}

// p99 returns the 99th percentile of the calls that began in a span.
func (s *stage) p99(from, to time.Duration) time.Duration {
	var in []time.Duration
	for i, at := range s.at {
		if at >= from && at < to {
			in = append(in, s.took[i])
		}
	}
	return play.Percentile(in, 0.99)
}

// balanced is the real policy, a balancer for each caller.
type balanced struct {
	s         *stage
	balancers []*Balancer
}

func balance(s *stage) *stage {
	b := &balanced{s: s}
	var records []membership.Record
	for i, sv := range s.servers {
		records = append(records, record(i, sv.domain, 1, membership.Ready))
	}
	for i, domain := range s.callers {
		one := New(s.Now(), play.Rand(uint64(1000+i)), Domain(domain))
		one.Update(s.Now().Add(-time.Minute), "pool", slots, records)
		b.balancers = append(b.balancers, one)
	}
	s.picker = b
	return s
}

// reboot announces the first n targets anew, as just started.
func (b *balanced) reboot(n int) {
	var records []membership.Record
	for i, sv := range b.s.servers {
		boot := uint64(1)
		if i < n {
			boot = 2
		}
		records = append(records, record(i, sv.domain, boot, membership.Ready))
	}
	for _, one := range b.balancers {
		one.Update(b.s.Now(), "pool", slots, records)
	}
}

func record(i int, domain string, boot uint64, state membership.State) membership.Record {
	return membership.NewRecord(fmt.Sprintf("target-%d", i), membership.Domain(domain), membership.Pool("pool"),
		membership.Address(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))),
		membership.Boot(boot), membership.InState(state))
}

func (b *balanced) pick(caller int, a Ask) (int, func(time.Duration, Report), bool) {
	balancer := b.balancers[caller]
	switch c := balancer.Pick(b.s.Now(), "pool", a, nil).(type) {
	case Picked:
		for i, sv := range b.s.servers {
			if sv.name == c.Record().Instance() {
				return i, func(took time.Duration, r Report) { balancer.Done(b.s.Now(), c, a, took, r) }, true
			}
		}
	case None:
	}
	return 0, nil, false
}

// inTurn is the simpler policy: each target in turn, whatever happens.
type inTurn struct {
	n    int
	next []int
}

func roundRobin(s *stage) *stage {
	r := &inTurn{n: len(s.servers), next: make([]int, len(s.callers))}
	for i := range r.next {
		r.next[i] = i
	}
	s.picker = r
	return s
}

func (r *inTurn) pick(caller int, _ Ask) (int, func(time.Duration, Report), bool) {
	r.next[caller]++
	return r.next[caller] % r.n, func(time.Duration, Report) {}, true
}

func domains(n int, names ...string) []string {
	var out []string
	for _, name := range names {
		for range n {
			out = append(out, name)
		}
	}
	return out
}
