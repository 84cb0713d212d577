package hop

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/policy/poison"
)

// ReplayBytes is the length of the longest body that is read completely before a
// target is picked. Such a call can be retried, and a slow sender does not occupy a
// slot.
const ReplayBytes = 32 << 10

// examinedBytes is the length of the first part by which a body longer than that is identified.
const examinedBytes = 1 << 20

// Body is the body of a call: a None, Buffered or *Stream.
type Body interface{ isBody() }

// None is an empty body.
type None struct{}

// Buffered is a body held in memory; it can be sent more than once.
type Buffered struct{ bytes []byte }

// Stream is a body that is sent while it is read; it can be sent only once.
type Stream struct {
	r         io.Reader
	length    int64
	interrupt func()
	started   bool
	prefix    poison.Fingerprint         // digest of the first ReplayBytes; zero if not known
	digest    atomic.Pointer[bodyDigest] // nil until enough of the body was read, or if it isn't computed
}

// bodyDigest identifies a long body.
type bodyDigest struct {
	sum    poison.Fingerprint
	extent poison.Extent // WholeBody or LongestPart
}

func (None) isBody()     {}
func (Buffered) isBody() {}
func (*Stream) isBody()  {}

// NewBuffered returns a body that consists of b.
func NewBuffered(b []byte) Buffered { return Buffered{bytes: b} }

// NewStream returns a body that is read from r. length is -1 if unknown; interrupt
// must make a blocked read of r return.
func NewStream(r io.Reader, length int64, interrupt func()) *Stream {
	return &Stream{r: r, length: length, interrupt: interrupt}
}

// Replayable reports whether the complete body can still be sent.
func Replayable(b Body) bool {
	s, ok := b.(*Stream)
	return !ok || !s.started
}

// ReadBody reads the body of a caller's call: a short one completely, a long one as a stream, of
// which it reads the first ReplayBytes and whose digest is computed on the way. Reads fail after
// the call's deadline. The error is a BodyError.
func ReadBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (Body, error) {
	if bodyless(r) {
		return None{}, nil
	}
	interrupt := limitReads(w, deadline)
	if 0 < r.ContentLength && r.ContentLength <= ReplayBytes {
		b := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, b); err != nil {
			return nil, &BodyError{Err: err}
		}
		return NewBuffered(b), readEOF(r.Body)
	}
	// A body of ReplayBytes is a short one, also in chunks.
	b, err := io.ReadAll(io.LimitReader(r.Body, ReplayBytes+1))
	switch {
	case err != nil:
		return nil, &BodyError{Err: err}
	case len(b) > ReplayBytes:
		s := NewStream(io.MultiReader(newReader(b), r.Body), r.ContentLength, interrupt)
		s.computeDigest()
		s.prefix = poison.Digest(b[:ReplayBytes])
		return s, nil
	case r.ContentLength > 0:
		return nil, &BodyError{Err: io.ErrUnexpectedEOF}
	default:
		return NewBuffered(b), nil
	}
}

// ReceiveBody reads the body of a call from another node. One that the sender knows as a long one is
// passed on unread. Unless the sender has its digest, that is computed on the way.
func ReceiveBody(w http.ResponseWriter, r *http.Request, m Meta, deadline time.Time) (Body, error) {
	long := m.bodyPrefix != (poison.Fingerprint{})
	if bodyless(r) || !long && r.ContentLength <= ReplayBytes {
		return ReadBody(w, r, deadline)
	}
	s := NewStream(r.Body, r.ContentLength, limitReads(w, deadline))
	s.prefix = m.bodyPrefix
	switch {
	case m.bodyDigest != (bodyDigest{}):
		digest := m.bodyDigest // so that m stays on the stack
		s.digest.Store(&digest)
	case long:
		s.computeDigest()
	}
	return s, nil
}

func bodyless(r *http.Request) bool {
	return r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody
}

// limitReads makes reads of the body fail after a deadline. interrupt makes them fail at once.
func limitReads(w http.ResponseWriter, deadline time.Time) (interrupt func()) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	return func() { _ = control.SetReadDeadline(pastDeadline) }
}

// computeDigest has the digest computed of what is read from now on.
func (s *Stream) computeDigest() { s.r = &digestReader{r: s.r, digest: &s.digest} }

// digestReader computes the digest of a body that is read from it.
type digestReader struct {
	r      io.Reader
	hash   poison.BodyHash
	n      int                         // bytes in hash
	digest *atomic.Pointer[bodyDigest] // set once enough was read
}

func (d *digestReader) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	if d.digest.Load() != nil {
		return n, err
	}
	part := p[:min(n, examinedBytes-d.n)]
	_, _ = d.hash.Write(part)
	d.n += len(part)
	switch {
	case len(part) < n:
		d.digest.Store(&bodyDigest{d.hash.Digest(), poison.LongestPart})
	case err == io.EOF:
		d.digest.Store(&bodyDigest{d.hash.Digest(), poison.WholeBody})
	}
	return n, err
}

// examinedStep is how much of a body Examine reads at once.
const examinedStep = 64 << 10

// Examine reads as much into memory of a caller's body that is not sent yet as identifies it. For
// each part it takes memory; if that returns false, the body is known once it has been sent. The
// error is a BodyError.
func (s *Stream) Examine(take func(bytes int) bool) error {
	var b bytes.Buffer
	for s.digest.Load() == nil && take(examinedStep) {
		_, err := io.CopyN(&b, s.r, examinedStep)
		switch {
		case err == io.EOF && s.length >= 0 && s.length != int64(b.Len()):
			return &BodyError{Err: io.ErrUnexpectedEOF}
		case err != nil && err != io.EOF:
			return &BodyError{Err: err}
		}
	}
	s.r = io.MultiReader(&b, s.r)
	return nil
}

// readEOF reads the io.EOF after the body, which the server needs to reuse the
// connection.
func readEOF(r io.Reader) error {
	var one [1]byte
	if _, err := r.Read(one[:]); err != nil && !errors.Is(err, io.EOF) {
		return &BodyError{Err: err}
	}
	return nil
}
