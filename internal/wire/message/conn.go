package message

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a client's connection that checks the responses which are read from it. At most one
// goroutine may read and one may write at a time.
type Conn struct {
	net.Conn
	check   check
	err     error // of the reads, once one has failed for good
	invalid atomic.Pointer[InvalidError]

	writing  sync.Mutex
	writeErr error // of the first write that failed
}

// NewConn returns a connection that reads and writes c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Expect states the method of the request that is sent next. Without it, no request may be HEAD.
func (c *Conn) Expect(method string) { c.check.headOnly = method == http.MethodHead }

// Invalid returns the error of a response that is not one of the protocol, or nil.
func (c *Conn) Invalid() *InvalidError { return c.invalid.Load() }

// Read implements net.Conn. It returns an InvalidError for a response that is not one of the
// protocol, and io.EOF only if the peer has closed its side. Of a block with invalid bytes it
// returns what belongs to whole responses before them.
//
// Of a block that begins an invalid response it returns one byte before the error. http.Transport
// takes an error before the first byte for a connection that was closed while idle, and sends the
// request again.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	begins := c.check.begins()
	if ended, invalid := c.check.next(p[:n]); invalid != nil {
		c.err = invalid
		c.invalid.Store(invalid)
		switch {
		case ended > 0:
			return ended, nil
		case begins:
			return 1, nil
		default:
			return 0, invalid
		}
	}
	if err == io.EOF {
		err = c.endError()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// pastDeadline makes a pending write fail at once.
var pastDeadline = time.Unix(1, 0)

// endError returns the error that the end of the stream is: io.EOF, or that of a connection that
// was reset.
//
// The kernel reports a reset once. If a write gets that error, reads see the end of the stream
// instead, as after a regular close. After a regular close a write fails with EPIPE.
func (c *Conn) endError() error {
	_ = c.SetWriteDeadline(pastDeadline) // a pending write may have the error
	c.writing.Lock()
	defer c.writing.Unlock()
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != syscall.EPIPE {
		return c.writeErr
	}
	return io.EOF
}
