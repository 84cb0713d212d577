package snapshot

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/config/configpb"
)

// Change lists objects to add or replace and the keys of objects to remove.
type Change struct {
	upserts []Object
	removes []Key
}

// NewChange returns a change that adds or replaces upserts and removes the
// objects with the keys in removes.
func NewChange(upserts []Object, removes []Key) Change {
	return Change{upserts: upserts, removes: removes}
}

// Upserts returns the objects that are added or replaced.
func (c Change) Upserts() []Object { return slices.Clone(c.upserts) }

// Removes returns the keys of the objects that are removed.
func (c Change) Removes() []Key { return slices.Clone(c.removes) }

// Empty reports whether the change has no upserts and no removes.
func (c Change) Empty() bool { return len(c.upserts) == 0 && len(c.removes) == 0 }

// Diff returns the smallest change that makes s hold exactly the wanted objects.
func (s *Snapshot) Diff(wanted []Object) (Change, error) {
	var c Change
	wantedKeys := make(map[Key]bool, len(wanted))
	for _, o := range wanted {
		k := o.Key()
		wantedKeys[k] = true
		b, err := Encode(o)
		if err != nil {
			return Change{}, err
		}
		if current, ok := s.objects[k]; !ok || !bytes.Equal(current.bytes, b) {
			c.upserts = append(c.upserts, o)
		}
	}
	for _, k := range s.Keys() {
		if !wantedKeys[k] {
			c.removes = append(c.removes, k)
		}
	}
	return c, nil
}

// Stamp records who confirmed a version, by which plan and when.
type Stamp struct {
	PlanID   string
	Operator string
	At       time.Time
}

// Delta is the difference between a version and the next one.
type Delta struct {
	message *configpb.Delta
	bytes   []byte
}

// Version returns the version the delta leads to.
func (d *Delta) Version() uint64 { return d.message.GetVersion() }

// Parent returns the digest of the version the delta applies to.
func (d *Delta) Parent() Digest { return DigestFrom(d.message.GetParentDigest()) }

// Digest returns the digest of the version the delta leads to.
func (d *Delta) Digest() Digest { return DigestFrom(d.message.GetDigest()) }

// Format returns the lowest format level that a program must support to apply
// the delta.
func (d *Delta) Format() uint32 { return d.message.GetFormat() }

// Stamp returns who confirmed the version, by which plan and when.
func (d *Delta) Stamp() Stamp {
	return Stamp{
		PlanID: d.message.GetPlanId(), Operator: d.message.GetOperator(),
		At: time.UnixMilli(d.message.GetConfirmedUnixMs()).UTC(),
	}
}

// Bytes returns the encoded delta, as stored and distributed.
func (d *Delta) Bytes() []byte { return d.bytes }

// ChangedKeys returns the keys of the objects that the delta adds, replaces or
// removes, or a DecodeError or KeyError.
func (d *Delta) ChangedKeys() ([]Key, error) {
	var keys []Key
	for _, b := range d.message.GetUpserts() {
		k, _, err := newEntry(b)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	for _, text := range d.message.GetRemoves() {
		k, err := ParseKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// DecodeDelta decodes a delta. It returns a FormatError for a newer format and
// a DecodeError for malformed bytes.
func DecodeDelta(b []byte) (*Delta, error) {
	m := &configpb.Delta{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, &DecodeError{What: "delta", Err: err}
	}
	// The format level is checked before unknown fields, so that a newer format
	// yields a FormatError and not "malformed".
	if m.GetFormat() > FormatLevel {
		return nil, &FormatError{Need: m.GetFormat(), Have: FormatLevel}
	}
	if m.GetVersion() == 0 || len(m.GetDigest()) != len(Digest{}) || checkNoUnknownFields(m) != nil {
		return nil, &DecodeError{What: "delta"}
	}
	return &Delta{message: m, bytes: b}, nil
}

// Next returns the next version, which results from a change to s, and the
// delta that leads to it.
func (s *Snapshot) Next(c Change, stamp Stamp) (*Delta, *Snapshot, error) {
	m := &configpb.Delta{
		Format: FormatLevel, Version: s.version + 1, ParentDigest: s.digest[:],
		PlanId: stamp.PlanID, Operator: stamp.Operator, ConfirmedUnixMs: stamp.At.UnixMilli(),
	}
	for _, o := range c.upserts {
		b, err := Encode(o)
		if err != nil {
			return nil, nil, err
		}
		m.Upserts = append(m.Upserts, b)
	}
	for _, k := range c.removes {
		m.Removes = append(m.Removes, k.String())
	}
	objects, digest, err := s.patch(m)
	if err != nil {
		return nil, nil, err
	}
	m.Digest = digest[:]
	next, err := build(m.GetVersion(), digest, stamp.PlanID, objects)
	if err != nil {
		return nil, nil, err
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, nil, &DecodeError{What: "delta", Err: err}
	}
	return &Delta{message: m, bytes: b}, next, nil
}

// Apply returns the version that d leads to. It returns a ParentError if d does
// not directly follow s, a DigestError if the result has another digest than d
// states, and a CheckError if the result is invalid; s never changes.
func (s *Snapshot) Apply(d *Delta) (*Snapshot, error) {
	if d.Version() != s.version+1 || d.Parent() != s.digest {
		return nil, &ParentError{Held: s.version, HeldDigest: s.digest, Delta: d.Version(), DeltaParent: d.Parent()}
	}
	objects, digest, err := s.patch(d.message)
	if err != nil {
		return nil, err
	}
	if digest != d.Digest() {
		return nil, &DigestError{Version: d.Version(), Want: d.Digest(), Got: digest}
	}
	return build(d.Version(), digest, d.message.GetPlanId(), objects)
}

// ApplyAll returns the version that consecutive deltas lead to, with the errors
// of Apply. It compares the digest of each version, but checks and builds only
// the last one, since no call uses the others.
func (s *Snapshot) ApplyAll(deltas []*Delta) (*Snapshot, error) {
	if len(deltas) == 0 {
		return s, nil
	}
	objects := maps.Clone(s.objects)
	version, digest := s.version, s.digest
	for _, d := range deltas {
		if d.Version() != version+1 || d.Parent() != digest {
			return nil, &ParentError{Held: version, HeldDigest: digest, Delta: d.Version(), DeltaParent: d.Parent()}
		}
		var err error
		if digest, err = patchObjects(objects, digest, d.message); err != nil {
			return nil, err
		}
		if digest != d.Digest() {
			return nil, &DigestError{Version: d.Version(), Want: d.Digest(), Got: digest}
		}
		version = d.Version()
	}
	return build(version, digest, deltas[len(deltas)-1].message.GetPlanId(), objects)
}

// patch returns a copy of the objects of s with a delta applied, and the digest
// of the result.
func (s *Snapshot) patch(m *configpb.Delta) (map[Key]entry, Digest, error) {
	objects := maps.Clone(s.objects)
	digest, err := patchObjects(objects, s.digest, m)
	return objects, digest, err
}

// patchObjects applies a delta to objects in place and returns the new digest.
func patchObjects(objects map[Key]entry, digest Digest, m *configpb.Delta) (Digest, error) {
	remove := func(k Key) {
		if old, ok := objects[k]; ok {
			digest = digest.xor(old.hash)
			delete(objects, k)
		}
	}
	for _, text := range m.GetRemoves() {
		k, err := ParseKey(text)
		if err != nil {
			return Digest{}, err
		}
		remove(k)
	}
	for _, b := range m.GetUpserts() {
		k, e, err := newEntry(b)
		if err != nil {
			return Digest{}, err
		}
		remove(k)
		objects[k] = e
		digest = digest.xor(e.hash)
	}
	return digest, nil
}
