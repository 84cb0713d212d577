package peer

import (
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/klauspost/compress/zstd"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// maxRecentDeltas is how many deltas a node keeps for those that resume. At
// 8,900 changes a day it covers 40 minutes, longer than regions lose each
// other, and costs well under a megabyte.
const maxRecentDeltas = 256

// Holder keeps the version a node has in force and lets parts wait for the
// next one.
type Holder struct {
	current atomic.Pointer[snapshot.Snapshot]

	mu      sync.Mutex
	recent  []*snapshot.Delta
	full    []byte
	fullOf  uint64
	changed chan struct{}
}

// NewHolder returns a holder of the empty version.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(snapshot.Empty())
	return h
}

// Current returns the version in force; a call keeps the one it began with.
func (h *Holder) Current() *snapshot.Snapshot { return h.current.Load() }

// Changed returns a channel that is closed when the next version is in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer applies a delta if it leads from the version held to a greater one,
// and reports whether it did. A delta that is not new is no error: updates
// cross one another on the way out.
func (h *Holder) Offer(d *snapshot.Delta) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.current.Load()
	if d.Version() <= held.Version() {
		return false, nil
	}
	next, err := held.Apply(d)
	if err != nil {
		return false, err
	}
	h.recent = append(h.recent, d)
	if len(h.recent) > maxRecentDeltas {
		h.recent = append([]*snapshot.Delta(nil), h.recent[len(h.recent)-maxRecentDeltas:]...)
	}
	h.swap(next)
	return true, nil
}

// OfferFull puts a whole version in force if it is greater than the one held,
// and reports whether it did.
func (h *Holder) OfferFull(s *snapshot.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Version() <= h.current.Load().Version() {
		return false
	}
	// Deltas before a jump do not lead to it.
	h.recent = nil
	h.swap(s)
	return true
}

func (h *Holder) swap(s *snapshot.Snapshot) {
	h.current.Store(s)
	close(h.changed)
	h.changed = make(chan struct{})
}

// Since returns the deltas that lead from a version to the one held; it
// reports false when only the whole version will do.
func (h *Holder) Since(version, digest uint64) ([]*snapshot.Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, d := range h.recent {
		if d.Version() == version+1 && shortDigest(d.Parent()) == digest {
			return append([]*snapshot.Delta(nil), h.recent[i:]...), true
		}
	}
	return nil, false
}

// Full returns the version held, encoded and compressed once for all that ask.
func (h *Holder) Full() ([]byte, error) {
	s := h.Current()
	h.mu.Lock()
	if h.full != nil && h.fullOf == s.Version() {
		defer h.mu.Unlock()
		return h.full, nil
	}
	h.mu.Unlock()
	b, err := s.EncodeFull()
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, &snapshot.DecodeError{What: "snapshot", Err: err}
	}
	defer w.Close()
	b = w.EncodeAll(b, nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.full, h.fullOf = b, s.Version()
	return b, nil
}

// maxFullBytes bounds what a whole version may unpack to; the letter's size is
// under a megabyte, and an answer that unpacks without end must not take the
// node's memory.
const maxFullBytes = 64 << 20

func decodeFull(b []byte) (*snapshot.Snapshot, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFullBytes))
	if err != nil {
		return nil, &snapshot.DecodeError{What: "snapshot", Err: err}
	}
	defer r.Close()
	plain, err := r.DecodeAll(b, nil)
	if err != nil {
		return nil, &snapshot.DecodeError{What: "snapshot", Err: err}
	}
	return snapshot.DecodeFull(plain)
}

// shortDigest is the half of a digest that a pull carries: enough to tell two
// histories apart, and the digest of the result is checked in whole.
func shortDigest(d snapshot.Digest) uint64 { return binary.BigEndian.Uint64(d[:8]) }

// needsFull reports whether an error of Offer is mended by the whole version.
func needsFull(err error) bool {
	var parent *snapshot.ParentError
	var digest *snapshot.DigestError
	return errors.As(err, &parent) || errors.As(err, &digest)
}
