package poison

import (
	"encoding/binary"
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
	// StreamLength is the length of a body that is not known, -1 if that isn't either;
	// it stands for Body.
	StreamLength int64
}

// NewCall returns the fingerprints of a call. Both include the organisation, so that no
// organisation can have the calls of another held back.
func NewCall(d Description) Call {
	var space [256]byte // enough for most calls, so that none is allocated
	b := appendParts(space[:0], d.Organisation, d.Key)
	if d.Key != "" {
		f := fingerprintOf(appendParts(b, d.Route))
		return Call{f, f}
	}
	b = appendParts(b, d.Path)
	b = binary.BigEndian.AppendUint64(b, uint64(d.StreamLength))
	if len(d.Body) > 0 {
		b = fingerprintOf(d.Body).appendTo(b)
	}
	content := fingerprintOf(b)
	return Call{fingerprintOf(appendParts(content.appendTo(b[:0]), d.Origin, d.Route, d.Method, d.Query)), content}
}

// appendParts appends strings with their lengths: without these, ("a", "bc") and ("ab", "c")
// would be the same.
func appendParts(b []byte, parts ...string) []byte {
	for _, s := range parts {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
	}
	return b
}

func fingerprintOf(b []byte) Fingerprint {
	sum := xxh3.Hash128(b)
	return Fingerprint{sum.Hi, sum.Lo}
}

func (f Fingerprint) appendTo(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, f.hi), f.lo)
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
