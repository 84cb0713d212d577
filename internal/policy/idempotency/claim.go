package idempotency

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Verdict is one replica's response to a claim.
type Verdict uint8

// The verdicts. Their numbers are sent between nodes.
const (
	// NoResponse stands for a replica that did not respond.
	NoResponse Verdict = iota
	// Granted: the claim is recorded.
	Granted
	// Done: the call has run, and its answer is returned.
	Done
	// Taken: another attempt holds the claim, or this one was abandoned.
	Taken
	// Stale: the replica has a later epoch than the claim.
	Stale
	// NotServing: the process does not serve the partition.
	NotServing
	// NotProvenNew: the key can't be proved to be new; its record may have been lost
	// or may have expired.
	NotProvenNew
	// Full: there is no record of the key and no memory for one.
	Full
)

// Claim is a request to one replica for the right to run a call.
type Claim struct {
	Key   string
	Token Token
	Epoch uint64
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// Claim handles a claim on a key of a partition. The bytes are the call's answer
// if the verdict is Done.
func (l *Ledger) Claim(now time.Time, partition int, c Claim) (Verdict, []byte) {
	rep := l.partitions[partition]
	if rep == nil || rep.assignment.epoch < c.Epoch {
		return NotServing, nil
	}
	if rep.assignment.epoch > c.Epoch {
		return Stale, nil
	}
	if !rep.serving || rep.sealed || !slices.ContainsFunc(rep.assignment.replicas, l.isSelf) {
		return NotServing, nil
	}
	if l.abandoned.has(c.Token) {
		// The abandonment arrived before the claim. Granting it now would block the
		// key until the record expires.
		return Taken, nil
	}
	if r := rep.records[c.Key]; r != nil {
		switch {
		case r.Done:
			return Done, r.Answer
		case r.Token == c.Token && len(r.Rivals) == 0 && r.Epoch == c.Epoch:
			return Granted, nil
		default:
			return Taken, nil
		}
	}
	if !rep.provenNew(now, c.Key) {
		return NotProvenNew, nil
	}
	r := Record{Key: c.Key, Token: c.Token, Epoch: c.Epoch, Expires: now.Add(c.Remaining + Retention)}
	if l.bytes+r.bytes() > l.limit {
		return Full, nil
	}
	l.put(rep, r)
	return Granted, nil
}

// provenNew reports whether a key that has no record is certain never to have had
// one. A key without an embedded time counts as new unless records were lost, since
// callers must not reuse such a key after Retention.
func (rep *replica) provenNew(now time.Time, key string) bool {
	recordsLost := rep.recordsLost(now)
	created, ok := KeyTime(key)
	if !ok {
		return !recordsLost
	}
	if created.After(now.Add(clockSkew)) || created.Before(now.Add(clockSkew-Retention)) {
		return false
	}
	return !recordsLost || created.After(rep.blankSince().Add(2*clockSkew))
}

// recordsLost reports whether records that would be valid now may be missing.
func (rep *replica) recordsLost(now time.Time) bool {
	blankSince := rep.blankSince()
	return !blankSince.IsZero() && now.Before(blankSince.Add(Retention+clockSkew))
}

// KeyTime returns the creation time in a key whose last NUL-separated part is a
// UUID of version 7 (RFC 9562), and whether it has one.
func KeyTime(key string) (time.Time, bool) {
	uuid := key[strings.LastIndexByte(key, '\x00')+1:]
	if len(uuid) != 36 || uuid[8] != '-' || uuid[13] != '-' || uuid[14] != '7' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString("0000" + uuid[:8] + uuid[9:13])
	if err != nil {
		return time.Time{}, false
	}
	var ms int64
	for _, x := range b {
		ms = ms<<8 | int64(x)
	}
	return time.UnixMilli(ms), true
}

// Complete records the answer of the call that the attempt t ran. It replaces a
// claim of another attempt, which can't have had a majority.
func (l *Ledger) Complete(now time.Time, partition int, key string, t Token, answer []byte) {
	rep := l.partitions[partition]
	if rep == nil {
		return
	}
	if r := rep.records[key]; r != nil && r.Done {
		return
	}
	done := Record{Key: key, Token: t, Done: true, Answer: answer, Expires: now.Add(Retention)}
	if len(answer) > MaxAnswerBytes || l.bytes+done.bytes() > l.limit+recordOverheadBytes {
		// The claim stays, so later attempts get an unknown outcome.
		return
	}
	l.put(rep, done)
}

// Abandon releases the claim of an attempt that has not run and will not.
func (l *Ledger) Abandon(partition int, key string, t Token) {
	l.abandoned.add(t)
	rep := l.partitions[partition]
	if rep == nil {
		return
	}
	r := rep.records[key]
	if r == nil || r.Done {
		return
	}
	if remaining, claimed := r.without(func(c Token) bool { return c == t }); claimed {
		l.put(rep, remaining)
		return
	}
	l.bytes -= r.bytes()
	delete(rep.records, key)
}

// Decision is the next step of an attempt after the responses of the replicas.
type Decision uint8

// The decisions.
const (
	// Run: the call may run.
	Run Decision = iota + 1
	// Replay: the call has run, and its answer is returned.
	Replay
	// Retry: the claim may succeed in another epoch, or the answer may come soon.
	Retry
	// NotRun: a majority has no record of the key and no memory for one.
	NotRun
	// Unknown: whether the call has run can't be proved, so it must not run.
	Unknown
)

// Decide combines the responses of a partition's replicas in one epoch.
func Decide(replicas int, verdicts []Verdict) Decision {
	var count [Full + 1]int
	for _, v := range verdicts {
		count[v]++
	}
	quorum := majority(replicas)
	switch {
	case count[Done] > 0:
		return Replay
	case count[Granted] >= quorum:
		return Run
	case count[Full] >= quorum:
		return NotRun
	case count[Stale] > 0 || count[NotServing] > 0 || count[Taken] > 0:
		return Retry
	default:
		return Unknown
	}
}
