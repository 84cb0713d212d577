package poison

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/xxh3"
)

// Fingerprint identifies calls that are alike. The zero value identifies none.
type Fingerprint struct{ hi, lo uint64 }

// Call identifies a call across its retries, by two fingerprints: one of all that its
// caller chose, and one of what its retries have in common even if they differ in
// origin, route, method or query.
type Call struct{ Exact, Content Fingerprint }

// Description is what a call is identified by.
type Description struct {
	Organisation, Origin, Route string
	// Key replaces the fields below, if there is one.
	Key                 string
	Method, Path, Query string
	Body                []byte
	// BodyDigest stands for Body if that is not held in memory, and Extent says what it covers.
	BodyDigest Fingerprint
	Extent     Extent
}

// Extent is what a digest covers of a body.
type Extent uint8

// The extents of digests.
const (
	// WholeBody is a digest of the whole body.
	WholeBody Extent = iota
	// LongestPart is a digest of the first part of a body that is too long to be read into memory.
	LongestPart
	// FirstPart is a digest of the part that a caller's node has of each long body. It does not
	// identify a call; see Description.Mark.
	FirstPart
)

// NewCall returns the fingerprints of a call. Both include the organisation, so that no
// organisation can have the calls of another held back.
func NewCall(d Description) Call {
	var space [256]byte // enough for most calls, so that none is allocated
	b := appendParts(space[:0], d.Organisation, d.Key)
	if d.Key != "" {
		f := fingerprintOf(appendParts(b, d.Route))
		return Call{f, f}
	}
	content := d.content(b)
	return Call{fingerprintOf(appendParts(content.appendTo(b[:0]), d.Origin, d.Route, d.Method, d.Query)), content}
}

// Mark returns the fingerprint that calls of an organisation to a path share if their bodies begin
// alike. BodyDigest is of the first part.
func (d Description) Mark() Fingerprint {
	d.Extent = FirstPart
	return d.content(appendParts(nil, d.Organisation))
}

// content returns the fingerprint of what a call's retries have in common, after b.
func (d Description) content(b []byte) Fingerprint {
	b = appendParts(b, d.Path)
	b = binary.BigEndian.AppendUint64(b, uint64(d.Extent))
	if len(d.Body) > 0 {
		d.BodyDigest = Digest(d.Body)
	}
	if d.BodyDigest != (Fingerprint{}) {
		b = d.BodyDigest.appendTo(b)
	}
	return fingerprintOf(b)
}

// appendParts appends strings with their lengths: without these, ("a", "bc") and ("ab", "c")
// would be the same.
func appendParts(b []byte, parts ...string) []byte {
	for _, s := range parts {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
	}
	return b
}

// Digest returns the digest of a body, or of its first part.
func Digest(b []byte) Fingerprint { return fingerprintOf(b) }

// BodyHash computes the digest of a body that is not held in memory. It is not safe for
// concurrent use.
type BodyHash struct{ h xxh3.Hasher }

// Write adds bytes of the body. It never fails.
func (b *BodyHash) Write(p []byte) (int, error) { return b.h.Write(p) }

// Digest returns the digest of what has been written, as the function Digest does.
func (b *BodyHash) Digest() Fingerprint {
	sum := b.h.Sum128()
	return Fingerprint{sum.Hi, sum.Lo}
}

func fingerprintOf(b []byte) Fingerprint {
	sum := xxh3.Hash128(b)
	return Fingerprint{sum.Hi, sum.Lo}
}

func (f Fingerprint) appendTo(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, f.hi), f.lo)
}

// Text returns the text form of a fingerprint, which ParseFingerprint reads.
func (f Fingerprint) Text() string { return fmt.Sprintf("%016x%016x", f.hi, f.lo) }

// ParseFingerprint returns the fingerprint of a text form, and false for any other text.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var raw [fingerprintBytes]byte
	if len(text) != 2*fingerprintBytes {
		return Fingerprint{}, false
	}
	if _, err := hex.Decode(raw[:], []byte(text)); err != nil {
		return Fingerprint{}, false
	}
	return decodeFingerprint(raw[:]), true
}

// String returns both fingerprints for log events.
func (c Call) String() string { return c.Exact.String() + "/" + c.Content.String() }

// Without returns the call without the fingerprints for which excluded returns true.
func (c Call) Without(excluded func(Fingerprint) bool) Call {
	if excluded(c.Exact) {
		c.Exact = Fingerprint{}
	}
	if excluded(c.Content) {
		c.Content = Fingerprint{}
	}
	return c
}

// String returns the first half of the fingerprint in hexadecimal, for log events.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", f.hi) }
