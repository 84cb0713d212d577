package idempotency

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testPartition = 0

// simulation models one partition: its processes, its assignment, and attempts of a
// call whose messages are lost, delayed, repeated or reordered.
type simulation struct {
	now        time.Time
	boots      uint64
	names      []string
	running    map[string]*Ledger
	assignment Assignment
	attempts   []*attempt
	delayed    []func()
	ran        map[string]int
	answers    map[string]string
}

type attempt struct {
	key      string
	token    Token
	epoch    uint64
	replicas []Member
	verdicts map[string]Verdict
	replayed []byte
	finished bool
	ran      bool
}

func newSimulation() *simulation {
	sim := &simulation{
		now: time.UnixMilli(1_700_000_000_000), names: []string{"a", "b", "c", "d", "e"},
		running: map[string]*Ledger{}, ran: map[string]int{}, answers: map[string]string{},
	}
	for _, n := range sim.names {
		sim.startProcess(n)
	}
	sim.assignment, _ = Repair(Assignment{}, sim.runningMembers()[:3])
	for _, n := range sim.names {
		sim.running[n].Adopt(sim.now, testPartition, sim.assignment)
	}
	return sim
}

func (sim *simulation) startProcess(name string) {
	sim.boots++
	port := 1000 + uint16(name[0])
	sim.running[name] = NewLedger(NewMember(name, sim.boots, netip.AddrPortFrom(netip.IPv4Unspecified(), port)))
}

func (sim *simulation) runningMembers() []Member {
	var out []Member
	for _, n := range sim.names {
		if l := sim.running[n]; l != nil {
			out = append(out, l.self())
		}
	}
	return out
}

func (sim *simulation) beginAttempt(key string) {
	sim.boots++
	sim.attempts = append(sim.attempts, &attempt{
		key: key, token: Token{sim.boots, 1}, epoch: sim.assignment.epoch, replicas: sim.assignment.replicas, verdicts: map[string]Verdict{},
	})
}

// claimAt delivers a claim to a replica and, if delivered, the response.
func (sim *simulation) claimAt(a *attempt, m Member, delivered bool) {
	l := sim.running[m.instance]
	if l == nil {
		return
	}
	epoch := a.epoch
	v, answer := l.Claim(sim.now, testPartition, Claim{Key: a.key, Token: a.token, Epoch: epoch, Remaining: time.Second})
	if delivered && !a.finished && a.epoch == epoch {
		a.verdicts[m.instance] = v
		if v == Done {
			a.replayed = answer
		}
	}
}

// claim sends the claim to some of the attempt's replicas; a majority of grants
// lets it run.
func (sim *simulation) claim(t *rapid.T, a *attempt) {
	for _, m := range a.replicas {
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0:
		case 1:
			sim.claimAt(a, m, false)
		default:
			sim.claimAt(a, m, true)
		}
	}
	if !a.finished {
		sim.decide(t, a)
	}
}

// decide applies the attempt's decision and checks it against what has run.
func (sim *simulation) decide(t *rapid.T, a *attempt) {
	var vs []Verdict
	for _, v := range a.verdicts {
		vs = append(vs, v)
	}
	switch Decide(len(a.replicas), vs) {
	case Run:
		a.finished, a.ran = true, true
		if sim.ran[a.key]++; sim.ran[a.key] > 1 {
			t.Fatalf("call %q ran twice", a.key)
		}
	case Replay:
		a.finished = true
		if string(a.replayed) != sim.answers[a.key] || sim.ran[a.key] != 1 {
			t.Fatalf("call %q got %q, its first answer was %q", a.key, a.replayed, sim.answers[a.key])
		}
	case NotRun:
		a.finished = true
		if sim.ran[a.key] != 0 {
			t.Fatalf("call %q was reported as not run, but ran", a.key)
		}
	case Retry, Unknown:
	}
}

// adopt delivers the assignment to some processes.
func (sim *simulation) adopt(t *rapid.T) {
	for _, m := range sim.runningMembers() {
		if rapid.Bool().Draw(t, "receives") {
			sim.running[m.instance].Adopt(sim.now, testPartition, sim.assignment)
		}
	}
}

// seal lets processes seal their previous replicas except the silent one; responses
// may be lost or delayed.
func (sim *simulation) seal(t *rapid.T, silent string) {
	for _, m := range sim.runningMembers() {
		l := sim.running[m.instance]
		for _, pending := range append(l.PendingSeals(), l.LateSeals(sim.now)...) {
			for _, from := range pending.From {
				previous := sim.running[from.instance]
				if previous == nil || from.instance == silent {
					continue
				}
				fate := rapid.IntRange(0, 5).Draw(t, "fate")
				s, ok := previous.Seal(pending.Partition, pending.Epoch, from)
				if !ok || fate == 0 {
					continue
				}
				merge := func() { l.Merge(sim.now, pending.Partition, pending.Epoch, from, s) }
				if fate == 1 {
					sim.delayed = append(sim.delayed, merge)
					continue
				}
				merge()
			}
		}
	}
}

// timeOut passes the time after which processes serve without missing records.
func (sim *simulation) timeOut() {
	sim.now = sim.now.Add(blankTimeout)
	for _, m := range sim.runningMembers() {
		sim.running[m.instance].ServeOverdue(sim.now)
	}
}

// Despite restarts without records, new assignments and unreliable messages, no call runs
// twice or is reported as not run though it ran, and all its answers are the first one.
func TestStatefulCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		name := rapid.SampledFrom(sim.names)
		keys := rapid.Just("k")
		pick := func(t *rapid.T) *attempt {
			if len(sim.attempts) == 0 {
				t.Skip("no attempt")
			}
			return sim.attempts[rapid.IntRange(0, len(sim.attempts)-1).Draw(t, "attempt")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				sim.beginAttempt(keys.Draw(t, "key"))
				sim.claim(t, sim.attempts[len(sim.attempts)-1])
			},
			"claim": func(t *rapid.T) { sim.claim(t, pick(t)) },
			"claim at the latest epoch": func(t *rapid.T) {
				a := pick(t)
				if !a.finished && a.epoch != sim.assignment.epoch {
					a.epoch, a.replicas, a.verdicts = sim.assignment.epoch, sim.assignment.replicas, map[string]Verdict{}
				}
				sim.claim(t, a)
			},
			"restart": func(t *rapid.T) { sim.startProcess(name.Draw(t, "name")) },
			"crash":   func(t *rapid.T) { sim.running[name.Draw(t, "name")] = nil },
			"pass time": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				a := pick(t)
				if !a.ran {
					t.Skip("not run")
				}
				if sim.answers[a.key] == "" {
					sim.answers[a.key] = fmt.Sprint("answer of ", a.token)
				}
				if l := sim.running[name.Draw(t, "name")]; l != nil {
					l.Complete(sim.now, testPartition, a.key, a.token, []byte(sim.answers[a.key]))
				}
			},
			"rejected by the target": func(t *rapid.T) {
				if a := pick(t); a.ran && sim.answers[a.key] == "" {
					a.ran = false
					sim.ran[a.key] = 0
				}
			},
			"finish without running": func(t *rapid.T) {
				a := pick(t)
				if a.ran {
					t.Skip("the attempt may have run")
				}
				a.finished = true
				if l := sim.running[name.Draw(t, "name")]; l != nil {
					l.Abandon(testPartition, a.key, a.token)
				}
			},
			"place replicas": func(t *rapid.T) {
				// The process that changes the assignment may know any subset of the
				// live ones.
				live := rapid.Permutation(sim.runningMembers()).Draw(t, "live")
				sim.assignment, _ = Repair(sim.assignment, live[:rapid.IntRange(0, len(live)).Draw(t, "seen")])
			},
			"replace one replica": func(t *rapid.T) {
				out := rapid.SampledFrom(sim.assignment.replicas).Draw(t, "out")
				sim.assignment, _ = Repair(sim.assignment, slices.DeleteFunc(sim.runningMembers(), out.sameProcess))
				sim.adopt(t)
				sim.seal(t, "")
			},
			"hand-over times out": func(*rapid.T) { sim.timeOut() },
			"one replica restarts while another is silent": func(t *rapid.T) {
				replicas := rapid.Permutation(sim.assignment.replicas).Draw(t, "replicas")
				if len(replicas) < replicasPerPartition {
					t.Skip("too few replicas")
				}
				sim.startProcess(replicas[0].instance)
				sim.assignment, _ = Repair(sim.assignment, sim.runningMembers())
				for _, m := range sim.runningMembers() {
					sim.running[m.instance].Adopt(sim.now, testPartition, sim.assignment)
				}
				sim.seal(t, replicas[1].instance)
				sim.timeOut()
			},
			"adopt": sim.adopt,
			"seal":  func(t *rapid.T) { sim.seal(t, "") },
			"late response": func(t *rapid.T) {
				if len(sim.delayed) == 0 {
					t.Skip("no delayed response")
				}
				sim.delayed[rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "message")]()
			},
		})
	})
}
