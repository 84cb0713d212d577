package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The states of a body. The answer's head may be written while another
// goroutine still sends the body on, so the answer looks at the state alone.
const (
	bodyUnread int32 = iota
	bodyBegun
	bodyEnded
)

// body is a request body under a limit of size and of time.
type body struct {
	c      *conn
	rc     io.ReadCloser
	left   int64
	expect bool
	answer *answer
	state  atomic.Int32
	length int64
	err    error

	mu    sync.Mutex
	until time.Time
}

// newBody returns the body of a call, or nil if it has none.
func newBody(c *conn, r *http.Request) *body {
	if r.ContentLength == 0 {
		r.Body = http.NoBody
		return nil
	}
	expect := strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	return &body{c: c, rc: r.Body, left: c.s.maxBody, length: r.ContentLength, expect: expect}
}

// Read implements io.Reader; its errors are typed.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.state.CompareAndSwap(bodyUnread, bodyBegun)
	if b.expect {
		b.expect = false
		if err := b.answer.proceed(); err != nil {
			b.err = err
			return 0, err
		}
	}
	b.setDeadline()
	n, err := b.rc.Read(p)
	if b.left -= int64(n); b.left < 0 {
		err = &BodyTooLargeError{Limit: b.c.s.maxBody}
	}
	b.err = bodyError(err)
	if errors.Is(b.err, io.EOF) {
		b.state.Store(bodyEnded)
	}
	return n, b.err
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

func (b *body) setDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.c.s.clk.Now().Add(bodyTimeout)
	if !b.until.IsZero() && b.until.Before(until) {
		until = b.until
	}
	_ = b.c.rwc.SetReadDeadline(until)
}

// bound sets the time for the rest of the body; a time that is past ends a
// read that waits.
func (b *body) bound(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = until
	_ = b.c.rwc.SetReadDeadline(until)
}

// passed reports whether the connection stands at the next call, and reads a
// short body that the handler had no use for to get there.
func (b *body) passed() bool {
	switch b.state.Load() {
	case bodyEnded:
		return true
	case bodyUnread:
		if b.expect || b.length < 0 || b.length > lingerBytes {
			return false
		}
		b.bound(b.c.s.clk.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, b)
		return b.state.Load() == bodyEnded
	default:
		return false
	}
}

func bodyError(err error) error {
	var large *BodyTooLargeError
	switch {
	case err == nil, err == io.EOF, errors.As(err, &large):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &SlowSenderError{After: bodyTimeout}
	default:
		return &BodyCutOffError{Err: err}
	}
}
