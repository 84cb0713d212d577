package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// State is where a target is in its life.
type State uint8

// The states of a target, in the order of a life; Suspect is no part of a life
// but the claim of its failure domain that the instance has fallen silent.
const (
	Starting State = iota + 1
	Ready
	Draining
	Gone
	Suspect
)

// String returns the state's name as status shows it.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	case Suspect:
		return "suspect"
	default:
		return "unknown"
	}
}

// Record is what one instance last announced of itself.
type Record struct {
	instance string
	domain   string
	pool     string
	address  netip.AddrPort
	peer     netip.AddrPort
	boot     uint64
	seq      uint64
	state    State
	target   string
	slots    int
	crash    string
	link     int
	version  string
}

// RecordOption sets one property of a record.
type RecordOption func(*Record)

// Domain sets the failure domain of the instance.
func Domain(d string) RecordOption { return func(r *Record) { r.domain = d } }

// Pool sets the pool that the instance's target serves; "" for none.
func Pool(p string) RecordOption { return func(r *Record) { r.pool = p } }

// Address sets where the instance's node takes calls from other nodes.
func Address(a netip.AddrPort) RecordOption { return func(r *Record) { r.address = a } }

// Peer sets where the instance's node answers other nodes' control calls.
func Peer(a netip.AddrPort) RecordOption { return func(r *Record) { r.peer = a } }

// Boot sets the number of the process's start, which grows with each start of
// the instance.
func Boot(b uint64) RecordOption { return func(r *Record) { r.boot = b } }

// Seq sets the number of the announcement within a boot.
func Seq(n uint64) RecordOption { return func(r *Record) { r.seq = n } }

// InState sets the announced state.
func InState(s State) RecordOption { return func(r *Record) { r.state = s } }

// Target sets the name of the target's process, which is another one after each
// start, where the platform gives one.
func Target(id string) RecordOption { return func(r *Record) { r.target = id } }

// Slots sets how many calls the target runs at once, where it says so itself.
func Slots(n int) RecordOption { return func(r *Record) { r.slots = n } }

// Crash sets what the instance tells of the last crash of its target; its words
// are the sender's and the reader's affair.
func Crash(text string) RecordOption { return func(r *Record) { r.crash = text } }

// Link sets the bandwidth of the instance's own link in Mbit/s, where it is known.
func Link(mbps int) RecordOption { return func(r *Record) { r.link = mbps } }

// Version sets the version of the target's software, where it tells one.
func Version(v string) RecordOption { return func(r *Record) { r.version = v } }

// NewRecord returns an announcement by an instance.
func NewRecord(instance string, opts ...RecordOption) Record {
	r := Record{instance: instance, state: Starting}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Instance returns the name of the instance.
func (r Record) Instance() string { return r.instance }

// Domain returns the failure domain of the instance.
func (r Record) Domain() string { return r.domain }

// Pool returns the pool that the instance's target serves, or "".
func (r Record) Pool() string { return r.pool }

// Address returns where the instance's node takes calls from other nodes.
func (r Record) Address() netip.AddrPort { return r.address }

// Peer returns where the instance's node answers other nodes' control calls.
func (r Record) Peer() netip.AddrPort { return r.peer }

// Boot returns the number of the process's start.
func (r Record) Boot() uint64 { return r.boot }

// Seq returns the number of the announcement within its boot.
func (r Record) Seq() uint64 { return r.seq }

// State returns the announced state.
func (r Record) State() State { return r.state }

// Target returns the name of the target's process, or "".
func (r Record) Target() string { return r.target }

// Slots returns how many calls the target runs at once, or 0 if only its pool's
// declaration says so.
func (r Record) Slots() int { return r.slots }

// Link returns the bandwidth of the instance's own link in Mbit/s, or 0.
func (r Record) Link() int { return r.link }

// Version returns the version of the target's software, or "".
func (r Record) Version() string { return r.version }

// Rebooted returns the record as a later boot of the instance announces it.
func (r Record) Rebooted(boot uint64) Record {
	r.boot = boot
	return r
}

// Departed returns the record of an instance that has gone since.
func (r Record) Departed() Record {
	r.state = Gone
	return r
}

// Crash returns what the instance tells of the last crash of its target, or "".
func (r Record) Crash() string { return r.crash }

// Newer reports whether r supersedes other, which is about the same instance.
//
// A later boot wins. Within a boot Gone is final, so that a delayed "ready"
// can't bring back what has left; then the later announcement wins, and at the
// same announcement the claim of silence does, until the instance refutes it
// by announcing again. The remaining fields only break ties, so that any two
// views settle on the same record.
func (r Record) Newer(other Record) bool { return r.compare(other) > 0 }

func (r Record) compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.boot, other.boot),
		compareBool(r.state == Gone, other.state == Gone),
		cmp.Compare(r.seq, other.seq),
		cmp.Compare(r.state, other.state),
		cmp.Compare(r.pool, other.pool),
		r.address.Compare(other.address),
		r.peer.Compare(other.peer),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// digest identifies what is known of an instance.
func (r Record) digest() uint64 {
	b := make([]byte, 0, 128)
	for _, s := range []string{r.instance, r.domain, r.pool} {
		b = append(append(b, s...), 0)
	}
	b = append(r.address.AppendTo(b), 0)
	b = append(r.peer.AppendTo(b), 0)
	b = binary.LittleEndian.AppendUint64(append(b, byte(r.state)), r.boot)
	return xxh3.Hash(binary.LittleEndian.AppendUint64(b, r.seq))
}
