package snapshot

import (
	"encoding/hex"
	"math"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/config/configpb"
)

// FormatLevel is the newest format of objects and deltas that this program
// supports.
const FormatLevel = 1

// Digest identifies the content of a version: the exclusive or of the XXH3
// hashes of its encoded objects. It is the same whether the version was built
// from deltas or decoded as a whole.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestFrom returns the digest with the given bytes, or the zero digest if
// their length is wrong.
func DigestFrom(b []byte) Digest {
	var d Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// xor adds or removes the hash of one object. The result does not depend on the
// order of objects, so a delta updates the digest from its own objects alone.
func (d Digest) xor(h xxh3.Uint128) Digest {
	b := h.Bytes()
	for i := range d {
		d[i] ^= b[i]
	}
	return d
}

// Encode encodes an object for storage and distribution. It returns a
// DecodeError if a count of the object does not fit the encoding.
func Encode(o Object) ([]byte, error) {
	if !countsFitUint32(o) {
		return nil, &DecodeError{What: "object " + o.Key().String()}
	}
	m := &configpb.Object{}
	switch o := o.(type) {
	case Organisation:
		m.Kind = &configpb.Object_Organisation{Organisation: &configpb.Organisation{
			Name: o.name, Paying: o.class == Paying, KeyHashes: o.keyHashes, Priority: uint32(o.priority),
		}}
	case Service:
		m.Kind = &configpb.Object_Service{Service: &configpb.Service{Name: o.name}}
	case Pool:
		m.Kind = &configpb.Object_Pool{Pool: &configpb.Pool{
			Name: o.name, Service: o.service, Slots: uint32(o.slots), Promised: uint32(o.promised),
			Connections: uint32(o.connections), Upstreams: uint32(o.upstreams),
		}}
	case Route:
		m.Kind = &configpb.Object_Route{Route: &configpb.Route{
			Name: o.name, Host: o.host, Path: o.path, Methods: o.methods, Service: o.service, Pool: o.pool,
			Repeatable: o.idempotent, DeadlineMs: o.deadline.Milliseconds(), Retries: uint32(o.retries),
			Priority: uint32(o.priority), TargetLatencyMs: o.targetLatency.Milliseconds(), Split: encodeSplit(o.split),
			Anonymous: o.anonymous,
		}}
	case Limit:
		m.Kind = &configpb.Object_Limit{Limit: &configpb.Limit{
			Organisation: o.organisation, Rate: o.rate, Burst: o.burst, Concurrency: uint32(o.concurrency),
		}}
	case Objective:
		m.Kind = &configpb.Object_Objective{Objective: &configpb.Objective{
			Service: o.service, Availability: o.availability,
			LatencyMs: o.latency.Milliseconds(), WindowHours: int64(o.window / time.Hour),
		}}
	default:
		return nil, &DecodeError{What: "object"}
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, &DecodeError{What: "object", Err: err}
	}
	return b, nil
}

// countsFitUint32 reports whether the counts of an object fit 32 bits. One that
// wraps would decode to another value, which might pass every check.
func countsFitUint32(o Object) bool {
	var counts []int
	switch o := o.(type) {
	case Organisation:
		counts = []int{o.priority}
	case Pool:
		counts = []int{o.slots, o.promised, o.connections, o.upstreams}
	case Route:
		counts = []int{o.retries, o.priority}
		for _, sh := range o.split {
			counts = append(counts, sh.weight)
		}
	case Limit:
		counts = []int{o.concurrency}
	}
	for _, n := range counts {
		if n < 0 || n > math.MaxUint32 {
			return false
		}
	}
	return true
}

// Decode decodes an object. Unknown fields and kinds are a DecodeError, since
// ignoring them would apply a version in part.
func Decode(b []byte) (Object, error) {
	var m configpb.Object
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, &DecodeError{What: "object", Err: err}
	}
	if len(m.ProtoReflect().GetUnknown()) > 0 {
		return nil, &DecodeError{What: "object"}
	}
	switch k := m.Kind.(type) {
	case *configpb.Object_Organisation:
		o := k.Organisation
		class := Trial
		if o.GetPaying() {
			class = Paying
		}
		return NewOrganisation(o.GetName(), class, o.GetKeyHashes()...).WithPriority(int(o.GetPriority())), checkNoUnknownFields(o)
	case *configpb.Object_Service:
		return NewService(k.Service.GetName()), checkNoUnknownFields(k.Service)
	case *configpb.Object_Pool:
		p := k.Pool
		return NewPool(p.GetName(), p.GetService(), Slots(int(p.GetSlots())), Promised(int(p.GetPromised())),
			Connections(int(p.GetConnections())), Upstreams(int(p.GetUpstreams()))), checkNoUnknownFields(p)
	case *configpb.Object_Route:
		r := k.Route
		opts := []RouteOption{
			Host(r.GetHost()), Methods(r.GetMethods()...), Retries(int(r.GetRetries())),
			Deadline(time.Duration(r.GetDeadlineMs()) * time.Millisecond),
			Priority(int(r.GetPriority())), TargetLatency(time.Duration(r.GetTargetLatencyMs()) * time.Millisecond),
		}
		shares, err := decodeSplit(r.GetSplit())
		if err != nil {
			return nil, err
		}
		opts = append(opts, Split(shares...))
		if r.GetRepeatable() {
			opts = append(opts, Idempotent())
		}
		if r.GetAnonymous() {
			opts = append(opts, Anonymous())
		}
		return NewRoute(r.GetName(), r.GetPath(), r.GetService(), r.GetPool(), opts...), checkNoUnknownFields(r)
	case *configpb.Object_Limit:
		l := k.Limit
		return NewLimit(l.GetOrganisation(), l.GetRate(), int(l.GetConcurrency())).WithBurst(l.GetBurst()), checkNoUnknownFields(l)
	case *configpb.Object_Objective:
		o := k.Objective
		return NewObjective(o.GetService(), o.GetAvailability(), time.Duration(o.GetLatencyMs())*time.Millisecond,
			time.Duration(o.GetWindowHours())*time.Hour), checkNoUnknownFields(o)
	default:
		return nil, &DecodeError{What: "object"}
	}
}

func encodeSplit(shares []Share) []*configpb.Share {
	var out []*configpb.Share
	for _, sh := range shares {
		out = append(out, &configpb.Share{Service: sh.service, Pool: sh.pool, Weight: uint32(sh.weight)})
	}
	return out
}

func decodeSplit(shares []*configpb.Share) ([]Share, error) {
	var out []Share
	for _, sh := range shares {
		if err := checkNoUnknownFields(sh); err != nil {
			return nil, err
		}
		out = append(out, NewShare(sh.GetService(), sh.GetPool(), int(sh.GetWeight())))
	}
	return out, nil
}

// checkNoUnknownFields returns a DecodeError if the message itself has unknown
// fields; nested messages are not checked.
func checkNoUnknownFields(m proto.Message) error {
	if len(m.ProtoReflect().GetUnknown()) > 0 {
		return &DecodeError{What: "object"}
	}
	return nil
}

// entry is an object with the bytes it was decoded from. A node forwards these
// bytes unchanged, so that all nodes compute the same digest.
type entry struct {
	object Object
	bytes  []byte
	hash   xxh3.Uint128
}

func newEntry(b []byte) (Key, entry, error) {
	o, err := Decode(b)
	if err != nil {
		return Key{}, entry{}, err
	}
	return o.Key(), entry{object: o, bytes: b, hash: xxh3.Hash128(b)}, nil
}
