package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// State is the lifecycle state of an instance.
type State uint8

// The states of an instance. Suspect is not announced by the instance: the root of
// its failure domain claims it when the instance is unresponsive.
const (
	Starting State = iota + 1
	Ready
	Draining
	Gone
	Suspect
)

// String returns the state's name as the status shows it.
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

// Record is the latest announcement of an instance, or a claim about it.
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
	linkMbps int
	version  string
	departed string
}

// RecordOption sets one property of a record.
type RecordOption func(*Record)

// Domain sets the failure domain of the instance.
func Domain(d string) RecordOption { return func(r *Record) { r.domain = d } }

// Pool sets the pool that the instance's target serves, "" for none.
func Pool(p string) RecordOption { return func(r *Record) { r.pool = p } }

// Address sets the address at which the instance's node accepts calls from other
// nodes.
func Address(a netip.AddrPort) RecordOption { return func(r *Record) { r.address = a } }

// ControlAddress sets the address at which the instance's node serves control requests of
// other nodes.
func ControlAddress(a netip.AddrPort) RecordOption { return func(r *Record) { r.peer = a } }

// Boot sets the boot number, which grows with each process start of the instance.
func Boot(b uint64) RecordOption { return func(r *Record) { r.boot = b } }

// Seq sets the sequence number of the announcement within its boot.
func Seq(n uint64) RecordOption { return func(r *Record) { r.seq = n } }

// InState sets the announced state.
func InState(s State) RecordOption { return func(r *Record) { r.state = s } }

// TargetID sets the id of the target's process, if the platform provides one. Each
// start of the target has a different id.
func TargetID(id string) RecordOption { return func(r *Record) { r.target = id } }

// Slots sets how many calls the target runs concurrently, if it reports that
// itself.
func Slots(n int) RecordOption { return func(r *Record) { r.slots = n } }

// Crash sets the instance's description of its target's last crash; this package
// does not interpret it.
func Crash(text string) RecordOption { return func(r *Record) { r.crash = text } }

// LinkMbps sets the bandwidth of the instance's network link in Mbit/s, if known.
func LinkMbps(mbps int) RecordOption { return func(r *Record) { r.linkMbps = mbps } }

// Version sets the version of the target's software, if it reports one.
func Version(v string) RecordOption { return func(r *Record) { r.version = v } }

// Departed sets the instance's list of target processes that have left; this package does
// not interpret it.
func Departed(text string) RecordOption { return func(r *Record) { r.departed = text } }

// NewRecord returns an announcement of an instance, in state Starting by default.
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

// Address returns the address at which the instance's node accepts calls from
// other nodes.
func (r Record) Address() netip.AddrPort { return r.address }

// ControlAddress returns the address at which the instance's node serves control requests of
// other nodes.
func (r Record) ControlAddress() netip.AddrPort { return r.peer }

// Boot returns the boot number.
func (r Record) Boot() uint64 { return r.boot }

// Seq returns the sequence number of the announcement within its boot.
func (r Record) Seq() uint64 { return r.seq }

// State returns the announced or claimed state.
func (r Record) State() State { return r.state }

// TargetID returns the id of the target's process, or "" if unknown.
func (r Record) TargetID() string { return r.target }

// Slots returns how many calls the target runs concurrently, or 0 if it does not
// report that and its pool's declaration applies.
func (r Record) Slots() int { return r.slots }

// LinkMbps returns the bandwidth of the instance's network link in Mbit/s, or 0 if
// unknown.
func (r Record) LinkMbps() int { return r.linkMbps }

// Version returns the version of the target's software, or "" if unknown.
func (r Record) Version() string { return r.version }

// Departed returns the instance's list of target processes that have left, or "".
func (r Record) Departed() string { return r.departed }

// WithDeparted returns a copy of the record with another list of processes that have left.
func (r Record) WithDeparted(text string) Record {
	r.departed = text
	return r
}

// WithBoot returns a copy of the record with another boot number.
func (r Record) WithBoot(boot uint64) Record {
	r.boot = boot
	return r
}

// WithSeq returns a copy of the record with another sequence number.
func (r Record) WithSeq(seq uint64) Record {
	r.seq = seq
	return r
}

// WithCrash returns a copy of the record with another description of a crash.
func (r Record) WithCrash(text string) Record {
	r.crash = text
	return r
}

// AsGone returns a copy of the record in state Gone.
func (r Record) AsGone() Record {
	r.state = Gone
	return r
}

// Crash returns the instance's description of its target's last crash, or "".
func (r Record) Crash() string { return r.crash }

// Newer reports whether r supersedes other, a record of the same instance.
//
// A higher boot wins. Within a boot Gone is final, so that a delayed Ready can't
// revive an instance that has left. Otherwise the higher sequence number wins. At
// equal numbers Suspect wins, until the instance refutes it by announcing again.
// The remaining fields only break ties, so that views agree on one record.
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

// digest returns a hash of the fields that views compare.
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
