package message

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection. At most one goroutine may read and one may write at a time.
type Conn struct {
	net.Conn

	writing  sync.Mutex
	writeErr error // of the first write that failed
}

// NewConn returns a connection that reads and writes c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
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
