package hop

import (
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Parent is the call that a target was running when it made one of its own.
type Parent struct {
	until        time.Time
	depth        int
	organisation string
	class        snapshot.Class
}

// NewParent returns the context that a call gives to those it leads to.
func NewParent(organisation string, class snapshot.Class, depth int, until time.Time) Parent {
	return Parent{until: until, depth: depth, organisation: organisation, class: class}
}

// Until returns the parent's deadline.
func (p Parent) Until() time.Time { return p.until }

// Depth returns the parent's depth.
func (p Parent) Depth() int { return p.depth }

// Organisation returns the organisation that the parent was made for.
func (p Parent) Organisation() string { return p.organisation }

// Class returns the class of that organisation.
func (p Parent) Class() snapshot.Class { return p.class }

// Sealer makes and opens the value of CallHeader.
//
// The target sees the value and hands it back, so it is sealed: a target, or
// whoever it passes the value on to, can neither raise its class nor forget
// its depth. All nodes derive the same key from the fleet key, so that a value
// outlives a restart of the node that made it.
type Sealer struct{ key []byte }

// NewSealer returns the sealer of a fleet key.
func NewSealer(fleetKey string) *Sealer {
	return &Sealer{key: mac([]byte(fleetKey), []byte("banyanlug call 1"))}
}

const (
	sealVersion = 1
	// sealBytes is half a SHA-256: beyond guessing, and the header stays short.
	sealBytes = 16
	sealHead  = 1 + 8 + 1 + 1
)

// Seal returns a parent as the value of CallHeader.
func (s *Sealer) Seal(p Parent) string {
	b := make([]byte, 0, sealHead+len(p.organisation)+sealBytes)
	b = append(b, sealVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(p.until.UnixMilli()))
	b = append(b, byte(p.depth), byte(p.class))
	b = append(b, p.organisation...)
	b = append(b, mac(s.key, b)[:sealBytes]...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Open returns the parent that a value of CallHeader stands for.
func (s *Sealer) Open(value string) (Parent, error) {
	b, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil || len(b) < sealHead+sealBytes {
		return Parent{}, &SealError{}
	}
	body, seal := b[:len(b)-sealBytes], b[len(b)-sealBytes:]
	if subtle.ConstantTimeCompare(mac(s.key, body)[:sealBytes], seal) != 1 || body[0] != sealVersion {
		return Parent{}, &SealError{}
	}
	return Parent{
		until:        time.UnixMilli(int64(binary.BigEndian.Uint64(body[1:]))),
		depth:        int(body[9]),
		class:        snapshot.Class(body[10]),
		organisation: string(body[sealHead:]),
	}, nil
}
