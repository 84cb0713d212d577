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
	prefix    poison.Fingerprint                 // digest of the first ReplayBytes; zero if not known
	whole     atomic.Pointer[poison.Fingerprint] // digest of the body; nil until all of it was read, or if it isn't computed
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
// which it reads the first ReplayBytes. Reads fail after the call's deadline. The error is a
// BodyError.
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
		s.prefix = poison.Digest(b[:ReplayBytes])
		return s, nil
	case r.ContentLength > 0:
		return nil, &BodyError{Err: io.ErrUnexpectedEOF}
	default:
		return NewBuffered(b), nil
	}
}

// ReceiveBody reads the body of a call from another node. One that the sender streams is passed
// on unread, and its digest is computed on the way.
func ReceiveBody(w http.ResponseWriter, r *http.Request, m Meta, deadline time.Time) (Body, error) {
	streamed := m.bodyPrefix != (poison.Fingerprint{})
	if bodyless(r) || !streamed && r.ContentLength <= ReplayBytes {
		return ReadBody(w, r, deadline)
	}
	s := NewStream(r.Body, r.ContentLength, limitReads(w, deadline))
	if streamed {
		s.prefix, s.r = m.bodyPrefix, &digestReader{r: r.Body, whole: &s.whole}
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

// digestReader computes the digest of what it reads.
type digestReader struct {
	r     io.Reader
	hash  poison.BodyHash
	whole *atomic.Pointer[poison.Fingerprint] // set at the end
}

func (d *digestReader) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	_, _ = d.hash.Write(p[:n])
	if err == io.EOF {
		digest := d.hash.Digest()
		d.whole.Store(&digest)
	}
	return n, err
}

// Buffer reads a body that is not sent yet into memory if it has no more than limit bytes. A longer
// one stays a stream. The error is a BodyError.
func (s *Stream) Buffer(limit int64) (Body, error) {
	if s.length > limit {
		return s, nil
	}
	var b bytes.Buffer
	_, err := io.CopyN(&b, s.r, limit+1)
	switch {
	case err == io.EOF && (s.length < 0 || s.length == int64(b.Len())):
		return NewBuffered(b.Bytes()), nil
	case err == nil:
		s.r = io.MultiReader(&b, s.r)
		return s, nil
	default:
		return nil, &BodyError{Err: err}
	}
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
