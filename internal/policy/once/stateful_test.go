package once

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testRow = 0

// world plays one row: processes that hold it, the table, and sends of a few
// keys whose messages arrive late, twice, out of order or never.
type world struct {
	now    time.Time
	boots  uint64
	names  []string
	live   map[string]*Ledger
	row    Row
	sends  []*send
	late   []func()
	ran    map[string]int
	answer map[string]string
}

type send struct {
	key      string
	token    Token
	epoch    uint64
	holders  []Member
	verdicts map[string]Verdict
	got      []byte
	over     bool
	ran      bool
}

func newWorld() *world {
	w := &world{
		now: time.UnixMilli(1_700_000_000_000), names: []string{"a", "b", "c", "d", "e"},
		live: map[string]*Ledger{}, ran: map[string]int{}, answer: map[string]string{},
	}
	for _, n := range w.names {
		w.start(n)
	}
	w.row, _ = Place(Row{}, w.living()[:3])
	for _, n := range w.names {
		w.live[n].Adopt(w.now, testRow, w.row)
	}
	return w
}

func (w *world) start(name string) {
	w.boots++
	port := 1000 + uint16(name[0])
	w.live[name] = NewLedger(NewMember(name, w.boots, netip.AddrPortFrom(netip.IPv4Unspecified(), port)))
}

func (w *world) living() []Member {
	var out []Member
	for _, n := range w.names {
		if l := w.live[n]; l != nil {
			out = append(out, l.self())
		}
	}
	return out
}

func (w *world) begin(key string) {
	w.boots++
	w.sends = append(w.sends, &send{
		key: key, token: Token{w.boots, 1}, epoch: w.row.epoch, holders: w.row.holders, verdicts: map[string]Verdict{},
	})
}

// ask brings a claim to a holder and, unless the answer is lost, its word back.
func (w *world) ask(s *send, m Member, answered bool) {
	l := w.live[m.instance]
	if l == nil {
		return
	}
	epoch := s.epoch
	v, got := l.Claim(w.now, testRow, Claim{Key: s.key, Token: s.token, Epoch: epoch, Left: time.Second})
	if answered && !s.over && s.epoch == epoch {
		s.verdicts[m.instance] = v
		if v == Done {
			s.got = got
		}
	}
}

// claim asks some of a send's holders; it runs if they grant it.
func (w *world) claim(t *rapid.T, s *send) {
	for _, m := range s.holders {
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0:
		case 1:
			w.ask(s, m, false)
		default:
			w.ask(s, m, true)
		}
	}
	if !s.over {
		w.decide(t, s)
	}
}

// decide does what the sender's holders' words allow.
func (w *world) decide(t *rapid.T, s *send) {
	var vs []Verdict
	for _, v := range s.verdicts {
		vs = append(vs, v)
	}
	switch Decide(len(s.holders), vs) {
	case Run:
		s.over, s.ran = true, true
		if w.ran[s.key]++; w.ran[s.key] > 1 {
			t.Fatalf("call %q ran twice", s.key)
		}
	case Replay:
		s.over = true
		if string(s.got) != w.answer[s.key] || w.ran[s.key] != 1 {
			t.Fatalf("call %q got %q, its first answer was %q", s.key, s.got, w.answer[s.key])
		}
	case NotRun:
		s.over = true
		if w.ran[s.key] != 0 {
			t.Fatalf("call %q was said not to have run", s.key)
		}
	case Again, Unknown:
	}
}

// adopt brings the table to some processes.
func (w *world) adopt(t *rapid.T) {
	for _, m := range w.living() {
		if rapid.Bool().Draw(t, "hears") {
			w.live[m.instance].Adopt(w.now, testRow, w.row)
		}
	}
}

// seal lets processes ask those before them; answers may be lost or late.
func (w *world) seal(t *rapid.T) {
	for _, m := range w.living() {
		l := w.live[m.instance]
		for _, want := range l.Wanted() {
			for _, from := range want.From {
				of := w.live[from.instance]
				if of == nil {
					continue
				}
				how := rapid.IntRange(0, 5).Draw(t, "how")
				s, ok := of.Seal(want.Row, want.Epoch, from)
				if !ok || how == 0 {
					continue
				}
				merge := func() { l.Merge(w.now, want.Row, want.Epoch, from, s) }
				if how == 1 {
					w.late = append(w.late, merge)
					continue
				}
				merge()
			}
		}
	}
}

// A caller sends a few calls again and again, at any node. Meanwhile holders
// crash and come back without memory, the table's holders change under claims,
// nodes learn of the table late, and messages are lost, late or doubled. No
// call runs twice, a re-send that gets an answer gets the first one, and none
// that ran is said not to have run.
func TestStatefulCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		name := rapid.SampledFrom(w.names)
		keys := rapid.Just("k")
		pick := func(t *rapid.T) *send {
			if len(w.sends) == 0 {
				t.Skip("no send")
			}
			return w.sends[rapid.IntRange(0, len(w.sends)-1).Draw(t, "send")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				w.begin(keys.Draw(t, "key"))
				w.claim(t, w.sends[len(w.sends)-1])
			},
			"claim": func(t *rapid.T) { w.claim(t, pick(t)) },
			"claim at the table's epoch": func(t *rapid.T) {
				s := pick(t)
				if !s.over && s.epoch != w.row.epoch {
					s.epoch, s.holders, s.verdicts = w.row.epoch, w.row.holders, map[string]Verdict{}
				}
				w.claim(t, s)
			},
			"restart": func(t *rapid.T) { w.start(name.Draw(t, "name")) },
			"crash":   func(t *rapid.T) { w.live[name.Draw(t, "name")] = nil },
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				s := pick(t)
				if !s.ran {
					t.Skip("not run")
				}
				if w.answer[s.key] == "" {
					w.answer[s.key] = fmt.Sprint("answer of ", s.token)
				}
				if l := w.live[name.Draw(t, "name")]; l != nil {
					l.Complete(w.now, testRow, s.key, s.token, []byte(w.answer[s.key]))
				}
			},
			"refused by the target": func(t *rapid.T) {
				if s := pick(t); s.ran && w.answer[s.key] == "" {
					s.ran = false
					w.ran[s.key] = 0
				}
			},
			"give back": func(t *rapid.T) {
				s := pick(t)
				if s.ran {
					t.Skip("it may have run")
				}
				s.over = true
				if l := w.live[name.Draw(t, "name")]; l != nil {
					l.Abandon(testRow, s.key, s.token)
				}
			},
			"place": func(t *rapid.T) {
				// Who looks sees any part of the living, in any order.
				living := rapid.Permutation(w.living()).Draw(t, "living")
				w.row, _ = Place(w.row, living[:rapid.IntRange(0, len(living)).Draw(t, "seen")])
			},
			"replace one": func(t *rapid.T) {
				out := rapid.SampledFrom(w.row.holders).Draw(t, "out")
				w.row, _ = Place(w.row, slices.DeleteFunc(w.living(), out.is))
				w.adopt(t)
				w.seal(t)
			},
			"give up waiting": func(t *rapid.T) {
				w.now = w.now.Add(blankAfter)
				for _, m := range w.living() {
					w.live[m.instance].Settle(w.now)
				}
			},
			"adopt": w.adopt,
			"seal":  w.seal,
			"late": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("nothing is late")
				}
				w.late[rapid.IntRange(0, len(w.late)-1).Draw(t, "message")]()
			},
		})
	})
}
