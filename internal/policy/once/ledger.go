package once

import (
	"slices"
	"time"
)

const (
	// Retention is how long a key is remembered after its call's deadline.
	// Callers' own re-sends come within seconds; five minutes let a caller
	// restart and ask again, at about 90 keys a second in the memory below with
	// answers of 300 bytes.
	Retention = 5 * time.Minute
	// clockSkew is how far the clocks of callers and nodes may differ where
	// a key's own time proves that it is new.
	clockSkew = 10 * time.Second
	// blankAfter is how long a new holder waits for records that may still come.
	// A holder that is there answers in milliseconds and a restarted one in a
	// second; meanwhile the row's other new holders serve, if they can.
	blankAfter = 3 * time.Second
	// maxBytes is an eighth of the 128 MB that a node may take.
	maxBytes = 16 << 20
	// recordBytes is what a record takes besides its key and answer: about 150
	// bytes of heap by BenchmarkRecord, and room for what is not collected yet.
	recordBytes = 256
	// tokenBytes is the size of a Token.
	tokenBytes = 16
	// MaxAnswerBytes bounds an answer that is kept for re-sends.
	MaxAnswerBytes = 64 << 10
)

// Token names one send of a call: its owner's process and a number.
type Token struct{ Boot, Number uint64 }

// Record is what a holder knows of a key.
type Record struct {
	Key   string
	Token Token
	// Rivals are other sends whose claims came from other holders as the row
	// changed hands. Any one of all may have run, so the key is free only when
	// each has given its claim back; it is, since those that lost do.
	Rivals []Token
	// Epoch is the one in which the claim was granted. The same send gets it
	// again only in that epoch: later a minority's claim may have come through
	// where a majority's was lost.
	Epoch  uint64
	Done   bool
	Answer []byte
	Until  time.Time
}

func (r *Record) bytes() int {
	return recordBytes + len(r.Key) + len(r.Answer) + len(r.Rivals)*tokenBytes
}

// claims returns all sends that may hold the key.
func (r *Record) claims() []Token { return append([]Token{r.Token}, r.Rivals...) }

// without returns the record without the claims that drop names, and whether
// one is left.
func (r Record) without(drop func(Token) bool) (Record, bool) {
	left := slices.DeleteFunc(r.claims(), drop)
	if len(left) == 0 {
		return r, false
	}
	r.Token, r.Rivals = left[0], left[1:]
	return r, true
}

// join returns the record with the claims of another one on its key.
func (r Record) join(other Record) Record {
	for _, t := range other.claims() {
		if !slices.Contains(r.claims(), t) {
			r.Rivals = append(slices.Clip(r.Rivals), t)
		}
	}
	if other.Until.After(r.Until) {
		r.Until = other.Until
	}
	return r
}

// Ledger is one process's part in holding records. It is not safe for
// concurrent use.
type Ledger struct {
	// selves are this process under all boot ids it has announced; the last
	// one is current.
	selves  []Member
	rows    map[int]*held
	bytes   int
	limit   int
	stopped bool
	given   given
}

// held is a row that the process holds or has held.
type held struct {
	row Row
	// next is a later epoch that waits until this one is served.
	next Row
	// carried: the records hold all that this process granted up to the epoch
	// before; serving: they meet every majority of it.
	carried, serving bool
	// sealed stops grants at this epoch: the next one has begun elsewhere.
	sealed bool
	blank  time.Time
	// told: the blank row has been reported.
	told    bool
	adopted time.Time
	// accounted are the previous holders that are sealed or lost.
	accounted map[string]bool
	states    int
	records   map[string]*Record
}

// NewLedger returns the empty ledger of a process.
func NewLedger(self Member) *Ledger {
	return &Ledger{selves: []Member{self}, rows: map[int]*held{}, limit: maxBytes}
}

// Renumber tells that this process announces itself by another boot id, as it
// does when its peers gave it up. It is no other process, so nothing is lost.
func (l *Ledger) Renumber(self Member) {
	if !l.is(self) {
		l.selves = append(l.selves, self)
	}
}

func (l *Ledger) self() Member { return l.selves[len(l.selves)-1] }

func (l *Ledger) is(m Member) bool { return slices.ContainsFunc(l.selves, m.is) }

// replaces reports whether this process proves that m has ended.
func (l *Ledger) replaces(m Member) bool { return !l.is(m) && l.self().replaces(m) }

// Stop ends all grants for good: a process must not answer once a later one may
// listen at its address.
func (l *Ledger) Stop() { l.rows, l.bytes, l.stopped = map[int]*held{}, 0, true }

// Bytes returns about how much memory the records take.
func (l *Ledger) Bytes() int { return l.bytes }

// Adopt takes a row of the table and reports whether it was news. An older
// epoch is left out: tables arrive from peers in any order.
func (l *Ledger) Adopt(now time.Time, row int, r Row) bool {
	h := l.rows[row]
	if l.stopped || h != nil && h.row.epoch >= r.epoch {
		return false
	}
	holds := slices.ContainsFunc(r.holders, l.is)
	if h != nil && !h.serving && slices.ContainsFunc(h.row.holders, l.is) {
		// Holders of the next epoch need this one's: it is finished first.
		if r.epoch > h.next.epoch {
			h.next = r
		}
		return true
	}
	if h == nil {
		if !holds {
			return false
		}
		h = &held{records: map[string]*Record{}}
		l.rows[row] = h
	}
	carried := h.serving && h.row.epoch == r.epoch-1
	if !carried {
		l.drop(h)
	}
	h.row, h.next, h.carried, h.sealed = r, Row{}, carried, false
	h.accounted, h.states, h.serving, h.adopted = map[string]bool{}, 0, false, now
	if !holds {
		return true
	}
	if len(r.previous) == 0 {
		// Nobody granted anything before the first epoch.
		h.serving = true
		return true
	}
	for _, p := range r.previous {
		switch {
		case l.is(p) && carried:
			l.account(now, h, p, true)
		case l.replaces(p):
			l.account(now, h, p, false)
		}
	}
	return true
}

func (l *Ledger) drop(h *held) {
	for _, r := range h.records {
		l.bytes -= r.bytes()
	}
	h.records, h.blank, h.told = map[string]*Record{}, time.Time{}, false
}

// account counts a previous holder as sealed with its records, or as lost.
func (l *Ledger) account(now time.Time, h *held, m Member, state bool) {
	if h.accounted[m.instance] || h.serving {
		return
	}
	h.accounted[m.instance] = true
	if state {
		h.states++
	}
	l.settle(now, h)
}

// settle serves a row once it may be served. While a majority may still bring its
// records, a lost holder is not counted: the row would refuse new keys for nothing.
func (l *Ledger) settle(now time.Time, h *held) {
	need := majority(len(h.row.previous))
	switch {
	case h.serving:
		return
	case h.states >= need:
	case len(h.accounted) == len(h.row.previous),
		len(h.accounted) >= need && now.Sub(h.adopted) >= blankAfter:
		// Every grant of the epoch before came before now: no majority of it
		// can be had any more.
		h.blank = now
	default:
		return
	}
	h.serving = true
}

// Settle gives up the records of holders that have not answered for long and
// returns the rows that have come to be served without some.
func (l *Ledger) Settle(now time.Time) []int {
	var rows []int
	for n, h := range l.rows {
		if len(h.accounted) > 0 {
			l.settle(now, h)
		}
		if h.serving && !h.blank.IsZero() && !h.told {
			h.told = true
			rows = append(rows, n)
		}
		l.follow(now, n, h)
	}
	return rows
}

// Stood tells that this process itself has stood still for d. Holders that could
// not be heard meanwhile are not silent: without this a process that wakes from a
// freeze, or shares its processor with too many, gives their records up at once and
// refuses new keys although all of them would have answered.
func (l *Ledger) Stood(d time.Duration) {
	for _, h := range l.rows {
		h.adopted = h.adopted.Add(d)
	}
}

// follow goes on to the epoch that waited until this one was served.
func (l *Ledger) follow(now time.Time, row int, h *held) {
	if h.serving && h.next.epoch > 0 {
		l.Adopt(now, row, h.next)
	}
}

// Wanted is a row whose previous holders have to be sealed.
type Wanted struct {
	Row   int
	Epoch uint64
	From  []Member
}

// Wanted returns what this process needs to serve.
func (l *Ledger) Wanted() []Wanted {
	var out []Wanted
	for n, h := range l.rows {
		if h.serving || !slices.ContainsFunc(h.row.holders, l.is) {
			continue
		}
		w := Wanted{Row: n, Epoch: h.row.epoch}
		for _, p := range h.row.previous {
			if !h.accounted[p.instance] && !l.is(p) {
				w.From = append(w.From, p)
			}
		}
		out = append(out, w)
	}
	return out
}

// Sealed is what a process says that is asked to seal a row.
type Sealed struct {
	// Lost says that the process asked for has ended.
	Lost bool
	// Records hold all that it granted.
	Records []Record
	Blank   time.Time
}

// Seal stops grants of the epoch before epoch and hands out the records; asked
// is the process that is meant. It returns false if it can't answer yet.
func (l *Ledger) Seal(row int, epoch uint64, asked Member) (Sealed, bool) {
	if !l.is(asked) {
		return Sealed{Lost: true}, l.replaces(asked)
	}
	h := l.rows[row]
	switch {
	case h == nil:
		return Sealed{}, false
	case h.row.epoch == epoch-1 && h.serving:
		h.sealed = true
	case h.row.epoch == epoch && h.carried:
	default:
		return Sealed{}, false
	}
	s := Sealed{Blank: h.blank}
	for _, r := range h.records {
		s.Records = append(s.Records, *r)
	}
	return s, true
}

// Merge takes what a previous holder answered for an epoch.
func (l *Ledger) Merge(now time.Time, row int, epoch uint64, from Member, s Sealed) {
	h := l.rows[row]
	if h == nil || h.row.epoch != epoch || h.serving || !slices.ContainsFunc(h.row.previous, from.is) {
		return
	}
	for _, r := range s.Records {
		old := h.records[r.Key]
		if old != nil && old.Done {
			continue
		}
		if !r.Done {
			// A claim may have been given back here before the holder of the
			// epoch before, sealed earlier, brings it: nobody would do so again.
			var held bool
			if r, held = r.without(l.given.has); !held {
				continue
			}
			if old != nil {
				r = old.join(r)
			}
		}
		l.put(h, r)
	}
	if s.Blank.After(h.blank) {
		h.blank = s.Blank
	}
	l.account(now, h, from, !s.Lost)
	l.follow(now, row, h)
}

func (l *Ledger) put(h *held, r Record) {
	if old := h.records[r.Key]; old != nil {
		l.bytes -= old.bytes()
	}
	h.records[r.Key] = &r
	l.bytes += r.bytes()
}

// Begun returns the latest epoch of a row that this process knows to have begun.
func (l *Ledger) Begun(row int) uint64 {
	h := l.rows[row]
	switch {
	case h == nil:
		return 0
	case h.sealed:
		return max(h.row.epoch+1, h.next.epoch)
	default:
		return max(h.row.epoch, h.next.epoch)
	}
}

// Sweep forgets records whose time is over.
func (l *Ledger) Sweep(now time.Time) {
	for _, h := range l.rows {
		for k, r := range h.records {
			if now.After(r.Until) {
				l.bytes -= r.bytes()
				delete(h.records, k)
			}
		}
	}
}

// Serves returns how many rows this process answers claims for.
func (l *Ledger) Serves() int {
	n := 0
	for _, h := range l.rows {
		if h.serving && !h.sealed && slices.ContainsFunc(h.row.holders, l.is) {
			n++
		}
	}
	return n
}
