package once

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Verdict is one holder's word on a claim.
type Verdict uint8

// The verdicts.
const (
	// Silent is the word of a holder that did not answer.
	Silent Verdict = iota
	// Granted records the claim.
	Granted
	// Done brings the answer of the call.
	Done
	// Taken says that another send holds the claim.
	Taken
	// Stale says that the claim's epoch is not the holder's.
	Stale
	// Unready says that the holder does not serve the row now.
	Unready
	// Old says that the key can't be proved to be new.
	Old
	// Full says that there is no record of the key and no room for one.
	Full
)

// Claim is what a sender asks of each holder of a row.
type Claim struct {
	Key   string
	Token Token
	Epoch uint64
	// Left is how long the call may still run.
	Left time.Duration
}

// Claim answers a claim on a key of a row, with the answer if it is done.
func (l *Ledger) Claim(now time.Time, row int, c Claim) (Verdict, []byte) {
	h := l.rows[row]
	if h == nil || h.row.epoch < c.Epoch {
		return Unready, nil
	}
	if h.row.epoch > c.Epoch {
		return Stale, nil
	}
	if !h.serving || h.sealed || !slices.ContainsFunc(h.row.holders, l.is) {
		return Unready, nil
	}
	if l.given.has(c.Token) {
		// The claim was overtaken by its own end. Held now, it would keep the key
		// from every other send until its time is over.
		return Taken, nil
	}
	if r := h.records[c.Key]; r != nil {
		switch {
		case r.Done:
			return Done, r.Answer
		case r.Token == c.Token && len(r.Rivals) == 0 && r.Epoch == c.Epoch:
			return Granted, nil
		default:
			return Taken, nil
		}
	}
	if !h.provesNew(now, c.Key) {
		return Old, nil
	}
	r := Record{Key: c.Key, Token: c.Token, Epoch: c.Epoch, Until: now.Add(c.Left + Retention)}
	if l.bytes+r.bytes() > l.limit {
		return Full, nil
	}
	l.put(h, r)
	return Granted, nil
}

// provesNew reports whether a key without a record can't have had one that was
// lost or forgotten. A key without a time of its own is taken for one that its
// caller does not send again after Retention.
func (h *held) provesNew(now time.Time, key string) bool {
	blank := !h.blank.IsZero() && now.Before(h.blank.Add(Retention+clockSkew))
	born, ok := Born(key)
	if !ok {
		return !blank
	}
	if born.After(now.Add(clockSkew)) || born.Before(now.Add(clockSkew-Retention)) {
		return false
	}
	return !blank || born.After(h.blank.Add(2*clockSkew))
}

// Born returns the time in a key whose last part is a UUID of version 7
// (RFC 9562).
func Born(key string) (time.Time, bool) {
	u := key[strings.LastIndexByte(key, '\x00')+1:]
	if len(u) != 36 || u[8] != '-' || u[13] != '-' || u[14] != '7' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString("0000" + u[:8] + u[9:13])
	if err != nil {
		return time.Time{}, false
	}
	var ms int64
	for _, x := range b {
		ms = ms<<8 | int64(x)
	}
	return time.UnixMilli(ms), true
}

// Complete keeps the answer of the call that a send ran. It goes before a claim
// of another send, which can't have had a majority.
func (l *Ledger) Complete(now time.Time, row int, key string, t Token, answer []byte) {
	h := l.rows[row]
	if h == nil {
		return
	}
	if r := h.records[key]; r != nil && r.Done {
		return
	}
	done := Record{Key: key, Token: t, Done: true, Answer: answer, Until: now.Add(Retention)}
	if len(answer) > MaxAnswerBytes || l.bytes+done.bytes() > l.limit+recordBytes {
		// The claim stays: a re-send is told that the outcome is unknown.
		return
	}
	l.put(h, done)
}

// Abandon gives back the claim of a send that has not run and will not.
func (l *Ledger) Abandon(row int, key string, t Token) {
	l.given.add(t)
	h := l.rows[row]
	if h == nil {
		return
	}
	r := h.records[key]
	if r == nil || r.Done {
		return
	}
	if left, held := r.without(func(c Token) bool { return c == t }); held {
		l.put(h, left)
		return
	}
	l.bytes -= r.bytes()
	delete(h.records, key)
}

// Decision is what a sender does after its holders answered.
type Decision uint8

// The decisions.
const (
	// Run: the call may run.
	Run Decision = iota + 1
	// Replay: a holder has the answer.
	Replay
	// Again: the claim may succeed at another epoch, or its answer is near.
	Again
	// NotRun: a majority has no record and takes none.
	NotRun
	// Unknown: nothing is proved, and the call is not run.
	Unknown
)

// Decide weighs the verdicts of the holders of a row at one epoch.
func Decide(holders int, verdicts []Verdict) Decision {
	var count [Full + 1]int
	for _, v := range verdicts {
		count[v]++
	}
	need := majority(holders)
	switch {
	case count[Done] > 0:
		return Replay
	case count[Granted] >= need:
		return Run
	case count[Full] >= need:
		return NotRun
	case count[Stale] > 0 || count[Unready] > 0 || count[Taken] > 0:
		return Again
	default:
		return Unknown
	}
}
