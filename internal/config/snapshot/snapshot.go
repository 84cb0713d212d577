package snapshot

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/config/configpb"
)

// Snapshot is one immutable version of the configuration.
type Snapshot struct {
	version uint64
	digest  Digest
	planID  string
	adopted bool
	faults  []error
	objects map[Key]entry
	lookup  lookup
}

// Empty returns version 0, the initial version, which has no objects.
func Empty() *Snapshot { return &Snapshot{objects: map[Key]entry{}, lookup: newLookup(nil)} }

// Check returns all faults of a set of objects as a CheckError, or nil.
func Check(objects []Object) error {
	entries := make(map[Key]entry, len(objects))
	for _, o := range objects {
		entries[o.Key()] = entry{object: o}
	}
	return check(entries)
}

// Assemble returns a checked version from the objects and version number of a
// configuration source that provides no deltas. The version has no digest, since
// its objects are not distributed to other nodes.
func Assemble(version uint64, objects []Object) (*Snapshot, error) {
	entries := make(map[Key]entry, len(objects))
	for _, o := range objects {
		if _, ok := entries[o.Key()]; ok {
			return nil, &OverlapError{First: o.Key(), Second: o.Key(), Claim: "one name"}
		}
		entries[o.Key()] = entry{object: o}
	}
	return build(version, Digest{}, "", entries)
}

func build(version uint64, digest Digest, planID string, objects map[Key]entry) (*Snapshot, error) {
	if err := check(objects); err != nil {
		return nil, err
	}
	return &Snapshot{version: version, digest: digest, planID: planID, objects: objects, lookup: newLookup(objects)}, nil
}

// Version returns the version number, which each confirm increases by one.
func (s *Snapshot) Version() uint64 { return s.version }

// Digest returns the digest of the whole content.
func (s *Snapshot) Digest() Digest { return s.digest }

// PlanID returns the ID of the plan that was confirmed as this version.
func (s *Snapshot) PlanID() string { return s.planID }

// Object returns the object with a key.
func (s *Snapshot) Object(k Key) (Object, bool) {
	e, ok := s.objects[k]
	return e.object, ok
}

// ObjectBytes returns an object's encoded bytes, or nil if there is none.
func (s *Snapshot) ObjectBytes(k Key) []byte { return s.objects[k].bytes }

// ObjectDigest returns the digest of one object's bytes, or the zero digest if
// there is none.
func (s *Snapshot) ObjectDigest(k Key) Digest {
	if e, ok := s.objects[k]; ok {
		return Digest{}.xor(e.hash)
	}
	return Digest{}
}

// Keys returns all keys in order.
func (s *Snapshot) Keys() []Key {
	return slices.SortedFunc(maps.Keys(s.objects), CompareKeys)
}

// Objects returns all objects in the order of their keys.
func (s *Snapshot) Objects() []Object {
	keys := s.Keys()
	out := make([]Object, len(keys))
	for i, k := range keys {
		out[i] = s.objects[k].object
	}
	return out
}

// EncodeFull encodes the whole version.
func (s *Snapshot) EncodeFull() ([]byte, error) {
	m := &configpb.Full{Format: FormatLevel, Version: s.version, Digest: s.digest[:], PlanId: s.planID}
	for _, k := range s.Keys() {
		m.Objects = append(m.Objects, s.objects[k].bytes)
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, &DecodeError{What: "snapshot", Err: err}
	}
	return b, nil
}

// DecodeFull decodes a whole version and checks its digest and objects as Apply
// does.
func DecodeFull(b []byte) (*Snapshot, error) {
	var m configpb.Full
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, &DecodeError{What: "snapshot", Err: err}
	}
	if m.GetFormat() > FormatLevel {
		return nil, &FormatError{Need: m.GetFormat(), Have: FormatLevel}
	}
	if checkNoUnknownFields(&m) != nil || len(m.GetDigest()) != len(Digest{}) {
		return nil, &DecodeError{What: "snapshot"}
	}
	objects := make(map[Key]entry, len(m.GetObjects()))
	var digest Digest
	for _, ob := range m.GetObjects() {
		k, e, err := newEntry(ob)
		if err != nil {
			return nil, err
		}
		if _, ok := objects[k]; ok {
			return nil, &OverlapError{First: k, Second: k, Claim: "one name"}
		}
		objects[k] = e
		digest = digest.xor(e.hash)
	}
	if want := DigestFrom(m.GetDigest()); digest != want {
		return nil, &DigestError{Version: m.GetVersion(), Want: want, Got: digest}
	}
	return build(m.GetVersion(), digest, m.GetPlanId(), objects)
}
