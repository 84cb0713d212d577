package version

import (
	"banyanlug.example/banyanlug/internal/config/snapshot"
)

const (
	// logDeltas covers a node that was away for two hours at 8,900 changes a
	// day.
	logDeltas = 768
	// logBytes is under a hundredth of a node's memory; beyond it a whole
	// version is the shorter answer.
	logBytes = 1 << 20
)

// Log holds the latest deltas that led to a node's version, so that it can
// answer others that are behind. It is not safe for concurrent use.
type Log struct {
	head   ID
	deltas []*snapshot.Delta
	bytes  int
}

// NewLog returns a log that starts at a version.
func NewLog(head ID) *Log { return &Log{head: head} }

// Head returns the version that the log leads to.
func (l *Log) Head() ID { return l.head }

// Append notes the delta that a node has just applied.
func (l *Log) Append(d *snapshot.Delta) {
	if d.Version() != l.head.Version+1 || d.Parent() != l.head.Digest {
		l.Restart(ID{d.Version(), d.Digest()})
		return
	}
	l.head = ID{d.Version(), d.Digest()}
	l.deltas = append(l.deltas, d)
	l.bytes += len(d.Bytes())
	for len(l.deltas) > logDeltas || l.bytes > logBytes && len(l.deltas) > 1 {
		l.bytes -= len(l.deltas[0].Bytes())
		l.deltas[0] = nil
		l.deltas = l.deltas[1:]
	}
}

// Restart notes that a whole version was applied, to which no deltas led.
func (l *Log) Restart(head ID) { *l = Log{head: head} }

// Answer is UpToDate, Behind, Deltas, Whole or Forked.
type Answer interface{ isAnswer() }

// UpToDate says that both hold the same version.
type UpToDate struct{}

// Behind says that the one asked holds an older version than the one asking.
type Behind struct{}

// Deltas brings the steps from the version asked from, in order.
type Deltas struct{ Deltas []*snapshot.Delta }

// Whole says that only the whole version leads there.
type Whole struct{}

// Forked says that the one asking holds another configuration under a number
// that the one asked knows; it must not be given a whole version, which would
// revert what it holds.
type Forked struct{ Err error }

func (UpToDate) isAnswer() {}
func (Behind) isAnswer()   {}
func (Deltas) isAnswer()   {}
func (Whole) isAnswer()    {}
func (Forked) isAnswer()   {}

// Answer returns what a node answers to one that holds a version.
func (l *Log) Answer(from ID) Answer {
	first := l.head.Version - uint64(len(l.deltas))
	switch {
	case from.Version > l.head.Version:
		return Behind{}
	case from.Version < first:
		return Whole{}
	}
	if known := l.digestAt(from.Version - first); from.Digest != known {
		return Forked{Err: &ForkError{Version: from.Version, Held: from.Digest, Other: known}}
	}
	if from.Version == l.head.Version {
		return UpToDate{}
	}
	return Deltas{Deltas: l.deltas[from.Version-first:]}
}

// digestAt returns the digest after the first n deltas.
func (l *Log) digestAt(n uint64) snapshot.Digest {
	if n == uint64(len(l.deltas)) {
		return l.head.Digest
	}
	return l.deltas[n].Parent()
}
