package membership

import "time"

// Verdict says what an instance does about what its peers hold of it.
type Verdict uint8

// The verdicts of Learn.
const (
	// Stands: the peers know this process as it is, or not yet.
	Stands Verdict = iota
	// Again: the peers hold something wrong; the new announcement refutes it.
	Again
	// Superseded: a later process runs under this instance's name; this one
	// drains and ends.
	Superseded
)

// Self makes the announcements of one process. It is not safe for concurrent
// use.
type Self struct {
	record Record
	// known is set once peers held this boot: from then on a higher boot is
	// another process, and no memory of an earlier one.
	known bool
}

// NewSelf returns the announcements of a process that starts now. Nothing is
// kept on the instance, so the boot number is the clock's; if the clock has
// gone back since an earlier boot, Learn finds that out from the peers.
func NewSelf(now time.Time, instance string, opts ...RecordOption) *Self {
	r := NewRecord(instance, opts...)
	r.boot, r.seq = uint64(max(now.UnixMilli(), 1)), 1
	return &Self{record: r}
}

// Record returns the latest announcement.
func (s *Self) Record() Record { return s.record }

// Announce returns the announcement of a new state.
func (s *Self) Announce(state State) Record {
	if state != s.record.state {
		s.record.state = state
		s.record.seq++
	}
	return s.record
}

// Learn compares what peers hold of this instance with what it announced.
func (s *Self) Learn(held Record) Verdict {
	r := &s.record
	switch {
	case held.instance != r.instance || held.domain != r.domain || held.boot < r.boot:
		return Stands
	case held.boot > r.boot && s.known && held.state != Gone:
		return Superseded
	case held.boot > r.boot || held.state == Gone && r.state != Gone:
		// An earlier process's clock was ahead, or this one was silent for so
		// long that it was given up. Only a later boot is believed now.
		r.boot, r.seq = held.boot+1, 1
		s.known = false
		return Again
	case held.seq > r.seq || held.seq == r.seq && held != *r:
		r.seq = held.seq + 1
		s.known = true
		return Again
	default:
		s.known = true
		return Stands
	}
}
