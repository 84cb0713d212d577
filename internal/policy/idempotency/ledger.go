package idempotency

import (
	"slices"
	"time"
)

const (
	// Retention is how long a key's record is kept after the call's deadline: long
	// enough for a caller to restart and retry. With maxRecordBytes it allows
	// about 90 keys/s with answers of 300 bytes.
	Retention = 5 * time.Minute
	// clockSkew is the largest difference between the clocks of callers and nodes
	// for which the time in a key proves that the key is new.
	clockSkew = 10 * time.Second
	// blankTimeout is how long a new replica waits for records of the previous
	// replicas before it serves the partition without them. It exceeds the restart
	// time of a replica, about a second. Meanwhile the other new replicas of the partition
	// serve, if they can.
	blankTimeout = 3 * time.Second
	// maxRecordBytes bounds the records' memory: an eighth of a node's 128 MB.
	maxRecordBytes = 16 << 20
	// recordOverheadBytes is the memory of a record besides its key and answer,
	// with room for garbage not yet collected.
	recordOverheadBytes = 256
	// tokenBytes is the size of a Token.
	tokenBytes = 16
	// MaxAnswerBytes bounds an answer that is kept for later attempts.
	MaxAnswerBytes = 64 << 10
)

// Token identifies one attempt of a call: the boot number of the node that makes it
// and a number.
type Token struct{ Boot, Number uint64 }

// Record is a replica's state for one key.
type Record struct {
	Key   string
	Token Token
	// Rivals are other attempts whose claims came from other replicas during a
	// hand-over. Any one of them may have run, so the key is free only after all
	// have abandoned their claims.
	Rivals []Token
	// Epoch is the one in which the claim was granted. A repeated claim of the
	// same attempt is granted only in that epoch: at a later one, a claim without
	// a majority may have been transferred while the majority's was lost.
	Epoch  uint64
	Done   bool
	Answer []byte
	// Expires is when the record expires.
	Expires time.Time
}

func (r *Record) bytes() int {
	return recordOverheadBytes + len(r.Key) + len(r.Answer) + len(r.Rivals)*tokenBytes
}

// tokens returns all attempts that may hold the key.
func (r *Record) tokens() []Token { return append([]Token{r.Token}, r.Rivals...) }

// without returns the record without the claims for which drop returns true, and
// whether any claim remains.
func (r Record) without(drop func(Token) bool) (Record, bool) {
	remaining := slices.DeleteFunc(r.tokens(), drop)
	if len(remaining) == 0 {
		return r, false
	}
	r.Token, r.Rivals = remaining[0], remaining[1:]
	return r, true
}

// withClaimsOf returns the record with the claims of another record of its key
// added, and the later expiry of the two.
func (r Record) withClaimsOf(other Record) Record {
	for _, t := range other.tokens() {
		if !slices.Contains(r.tokens(), t) {
			r.Rivals = append(slices.Clip(r.Rivals), t)
		}
	}
	if other.Expires.After(r.Expires) {
		r.Expires = other.Expires
	}
	return r
}

// Ledger holds the claim records of one process. It is not safe for concurrent
// use.
type Ledger struct {
	// identities are this process under all boot numbers that it has announced; the
	// last one is current.
	identities []Member
	partitions map[int]*replica
	bytes      int
	limit      int
	stopped    bool
	abandoned  abandonedTokens
}

// replica is this process's state for a partition that it holds or has held.
type replica struct {
	assignment Assignment
	// next is the latest assignment received before this one was served.
	next Assignment
	// carriedOver: the records include all that this process granted up to the
	// previous epoch. serving: claims are accepted, as the previous replicas are
	// accounted for.
	carriedOver, serving bool
	// sealed: nothing more is granted in this epoch, as the next one has begun.
	sealed bool
	// inheritedBlank is when the partition became blank in an earlier epoch, blankHere when it
	// did in this one; zero if it did not.
	inheritedBlank, blankHere time.Time
	// blankReported: ServeOverdue has returned the blank partition.
	blankReported bool
	adoptedAt     time.Time
	// resolved are the previous replicas, by instance, that are sealed or ended;
	// transferred counts those whose records are included.
	resolved    map[string]bool
	transferred int
	records     map[string]*Record
}

// NewLedger returns a process's ledger without partitions.
func NewLedger(self Member) *Ledger {
	return &Ledger{identities: []Member{self}, partitions: map[int]*replica{}, limit: maxRecordBytes}
}

// AddIdentity adds a boot number of this process, which announces a new one after its
// peers have declared it failed. It has not restarted, so its records remain valid.
func (l *Ledger) AddIdentity(self Member) {
	if !l.isSelf(self) {
		l.identities = append(l.identities, self)
	}
}

func (l *Ledger) self() Member { return l.identities[len(l.identities)-1] }

func (l *Ledger) isSelf(m Member) bool { return slices.ContainsFunc(l.identities, m.sameProcess) }

// supersedes reports whether this process proves that m has ended.
func (l *Ledger) supersedes(m Member) bool { return !l.isSelf(m) && l.self().supersedes(m) }

// Stop drops all records and refuses all later claims. It must precede the start
// of another process at this address, as that proves this one to have ended.
func (l *Ledger) Stop() { l.partitions, l.bytes, l.stopped = map[int]*replica{}, 0, true }

// Bytes returns the approximate memory of the records.
func (l *Ledger) Bytes() int { return l.bytes }

// Adopt applies a partition's assignment and reports whether it was newer than the
// known one. Older epochs are ignored, since peers send tables in any order.
func (l *Ledger) Adopt(now time.Time, partition int, a Assignment) bool {
	rep := l.partitions[partition]
	if l.stopped || rep != nil && rep.assignment.epoch >= a.epoch {
		return false
	}
	assigned := slices.ContainsFunc(a.replicas, l.isSelf)
	if rep != nil && !rep.serving && slices.ContainsFunc(rep.assignment.replicas, l.isSelf) {
		// The next epoch's replicas need this epoch's records, so the hand-over in
		// progress finishes first.
		if a.epoch > rep.next.epoch {
			rep.next = a
		}
		return true
	}
	if rep == nil {
		if !assigned {
			return false
		}
		rep = &replica{records: map[string]*Record{}}
		l.partitions[partition] = rep
	}
	carriedOver := rep.serving && rep.assignment.epoch == a.epoch-1
	if !carriedOver {
		l.dropRecords(rep)
	}
	rep.inheritedBlank, rep.blankHere = rep.blankSince(), time.Time{}
	rep.assignment, rep.next, rep.carriedOver, rep.sealed = a, Assignment{}, carriedOver, false
	rep.resolved, rep.transferred, rep.serving, rep.adoptedAt = map[string]bool{}, 0, false, now
	if !assigned {
		return true
	}
	if len(a.previous) == 0 {
		// There are no grants before the first epoch.
		rep.serving = true
		return true
	}
	for _, p := range a.previous {
		switch {
		case l.isSelf(p) && carriedOver:
			l.resolve(now, rep, p, true)
		case l.supersedes(p):
			l.resolve(now, rep, p, false)
		}
	}
	return true
}

func (l *Ledger) dropRecords(rep *replica) {
	for _, r := range rep.records {
		l.bytes -= r.bytes()
	}
	rep.records, rep.inheritedBlank, rep.blankHere, rep.blankReported = map[string]*Record{}, time.Time{}, time.Time{}, false
}

// blankSince returns when the partition became blank, zero if it is not.
func (rep *replica) blankSince() time.Time {
	if rep.blankHere.After(rep.inheritedBlank) {
		return rep.blankHere
	}
	return rep.inheritedBlank
}

// awaitsLateRecords reports whether the partition is served while a previous replica that is neither
// sealed nor ended may still have records.
func (rep *replica) awaitsLateRecords() bool {
	return !rep.blankHere.IsZero() && len(rep.resolved) < len(rep.assignment.previous)
}

// needsRecords reports whether records of previous replicas are still taken.
func (rep *replica) needsRecords() bool { return !rep.serving || rep.awaitsLateRecords() }

// resolve marks a previous replica as sealed, with its records, or as ended.
func (l *Ledger) resolve(now time.Time, rep *replica, m Member, withRecords bool) {
	if rep.resolved[m.instance] || !rep.needsRecords() {
		return
	}
	rep.resolved[m.instance] = true
	if withRecords {
		rep.transferred++
	}
	if rep.transferred >= majority(len(rep.assignment.previous)) {
		// Each claim that a majority of the previous epoch granted is among the records.
		rep.blankHere = time.Time{}
	}
	l.tryServe(now, rep)
}

// tryServe starts serving a partition once that is safe. Until blankTimeout it
// waits for the records of a majority, since a blank partition refuses new keys.
func (l *Ledger) tryServe(now time.Time, rep *replica) {
	quorum := majority(len(rep.assignment.previous))
	switch {
	case rep.serving:
		return
	case rep.transferred >= quorum:
	case len(rep.resolved) == len(rep.assignment.previous),
		len(rep.resolved) >= quorum && now.Sub(rep.adoptedAt) >= blankTimeout:
		// A majority of the previous epoch can grant nothing from now on, so lost
		// records are older than blankHere.
		rep.blankHere = now
	default:
		return
	}
	rep.serving = true
}

// ServeOverdue starts serving the partitions that have waited for blankTimeout,
// without all records of the previous replicas, and returns those that have become
// blank since the last call.
func (l *Ledger) ServeOverdue(now time.Time) []int {
	var blank []int
	for partition, rep := range l.partitions {
		if len(rep.resolved) > 0 {
			l.tryServe(now, rep)
		}
		if rep.serving && !rep.blankSince().IsZero() && !rep.blankReported {
			rep.blankReported = true
			blank = append(blank, partition)
		}
		l.adoptNext(now, partition, rep)
	}
	return blank
}

// ExcludeStall extends the wait for previous replicas by a time d in which this
// process did not run. Otherwise a paused process would serve blank partitions at
// once, though the previous replicas would have responded.
func (l *Ledger) ExcludeStall(d time.Duration) {
	for _, rep := range l.partitions {
		rep.adoptedAt = rep.adoptedAt.Add(d)
	}
}

// adoptNext applies a later assignment that was deferred until this one was served.
func (l *Ledger) adoptNext(now time.Time, partition int, rep *replica) {
	if rep.serving && rep.next.epoch > 0 {
		l.Adopt(now, partition, rep.next)
	}
}

// PendingSeal names previous replicas that have to be sealed before a partition can
// be served.
type PendingSeal struct {
	Partition int
	Epoch     uint64
	From      []Member
}

// PendingSeals returns the partitions that wait for their previous replicas.
func (l *Ledger) PendingSeals() []PendingSeal {
	var out []PendingSeal
	for partition, rep := range l.partitions {
		if !rep.serving && slices.ContainsFunc(rep.assignment.replicas, l.isSelf) {
			out = append(out, l.unresolved(partition, rep))
		}
	}
	return out
}

// LateSeals returns the partitions that refuse keys though previous replicas that may have
// the missing records have not been sealed.
func (l *Ledger) LateSeals(now time.Time) []PendingSeal {
	var out []PendingSeal
	for partition, rep := range l.partitions {
		if rep.awaitsLateRecords() && rep.recordsLost(now) {
			out = append(out, l.unresolved(partition, rep))
		}
	}
	return out
}

func (l *Ledger) unresolved(partition int, rep *replica) PendingSeal {
	pending := PendingSeal{Partition: partition, Epoch: rep.assignment.epoch}
	for _, p := range rep.assignment.previous {
		if !rep.resolved[p.instance] && !l.isSelf(p) {
			pending.From = append(pending.From, p)
		}
	}
	return pending
}

// SealResult is a process's response to the request to seal a partition.
type SealResult struct {
	// Ended: the process to be sealed has ended.
	Ended bool
	// Records are all that the process granted.
	Records []Record
	// BlankSince is when the partition became blank; zero if it is not.
	BlankSince time.Time
}

// Seal stops grants of the epoch before the given one and returns the records. If the
// recipient is an earlier process that this one proves to have ended, the result is
// Ended. Seal returns false if there is no result yet.
func (l *Ledger) Seal(partition int, epoch uint64, recipient Member) (SealResult, bool) {
	if !l.isSelf(recipient) {
		return SealResult{Ended: true}, l.supersedes(recipient)
	}
	rep := l.partitions[partition]
	var s SealResult
	switch {
	case rep == nil:
		return SealResult{}, false
	case rep.assignment.epoch == epoch-1 && rep.serving:
		rep.sealed = true
		s.BlankSince = rep.blankSince()
	case rep.assignment.epoch == epoch && rep.carriedOver:
		// What others lost since doesn't make this process's records incomplete.
		s.BlankSince = rep.inheritedBlank
	default:
		return SealResult{}, false
	}
	for _, r := range rep.records {
		s.Records = append(s.Records, *r)
	}
	return s, true
}

// Merge adds the records that a previous replica returned for an epoch.
func (l *Ledger) Merge(now time.Time, partition int, epoch uint64, from Member, s SealResult) {
	rep := l.partitions[partition]
	if rep == nil || rep.assignment.epoch != epoch || !rep.needsRecords() || !slices.ContainsFunc(rep.assignment.previous, from.sameProcess) {
		return
	}
	for _, r := range s.Records {
		old := rep.records[r.Key]
		if old != nil && old.Done {
			continue
		}
		if !r.Done {
			// The claim may have been abandoned here after the previous replica was
			// sealed. Nothing would release it later.
			var claimed bool
			if r, claimed = r.without(l.abandoned.has); !claimed {
				continue
			}
			if old != nil {
				r = old.withClaimsOf(r)
			}
		}
		l.put(rep, r)
	}
	if s.BlankSince.After(rep.inheritedBlank) {
		rep.inheritedBlank = s.BlankSince
	}
	l.resolve(now, rep, from, !s.Ended)
	l.adoptNext(now, partition, rep)
}

func (l *Ledger) put(rep *replica, r Record) {
	if old := rep.records[r.Key]; old != nil {
		l.bytes -= old.bytes()
	}
	rep.records[r.Key] = &r
	l.bytes += r.bytes()
}

// LatestEpoch returns the latest epoch of a partition of which this process has
// received an assignment or a request to seal the previous one.
func (l *Ledger) LatestEpoch(partition int) uint64 {
	rep := l.partitions[partition]
	switch {
	case rep == nil:
		return 0
	case rep.sealed:
		return max(rep.assignment.epoch+1, rep.next.epoch)
	default:
		return max(rep.assignment.epoch, rep.next.epoch)
	}
}

// RemoveExpired removes expired records.
func (l *Ledger) RemoveExpired(now time.Time) {
	for _, rep := range l.partitions {
		for k, r := range rep.records {
			if now.After(r.Expires) {
				l.bytes -= r.bytes()
				delete(rep.records, k)
			}
		}
	}
}

// ServedPartitions returns the number of partitions for which this process accepts
// claims.
func (l *Ledger) ServedPartitions() int {
	n := 0
	for _, rep := range l.partitions {
		if rep.serving && !rep.sealed && slices.ContainsFunc(rep.assignment.replicas, l.isSelf) {
			n++
		}
	}
	return n
}
