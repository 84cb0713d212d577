package http1

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
)

// buffers are the buffers of one call. They are pooled, so that a connection has them
// only while it carries a call: most connections of a node are idle, and their buffers
// would take more memory than all else that belongs to them.
type buffers struct {
	br *bufio.Reader
	bw *bufio.Writer
}

var (
	smallBuffers = sync.Pool{New: func() any { return newBuffers(initialBufferBytes) }}
	// largeBuffers are for connections on which a head did not fit into a small buffer.
	largeBuffers = sync.Pool{New: func() any { return newBuffers(MaxHeadBytes) }}
)

func newBuffers(readBytes int) *buffers {
	return &buffers{br: bufio.NewReaderSize(nil, readBytes), bw: bufio.NewWriter(nil)}
}

// awaitBytes waits until the connection has unread bytes. It holds no read buffer
// while it waits, unless there was one with the start of a call.
//
// TLS reads into a buffer of its own and can't wait without one, so connections with
// TLS keep their read buffer while they are idle.
func (c *conn) awaitBytes() error {
	raw, ok := c.rwc.(*rawSyscallConn)
	if !ok {
		c.takeBuffers()
		_, err := c.br.Peek(1)
		return err
	}
	if c.buffers != nil && c.br.Buffered() > 0 {
		return nil
	}
	if err := raw.raw.Read(c.tryFill); err != nil {
		return err
	}
	return c.fillErr
}

// fillOnce reads the first bytes of a call. If there are none, it returns the buffers
// to the pool and false, and the caller waits for the connection to become readable.
// The call before has ended then and uses the buffers no more.
func (c *conn) fillOnce(fd uintptr) bool {
	c.takeBuffers()
	c.in.once, c.in.fd = true, fd
	_, c.fillErr = c.br.Peek(1)
	c.in.once = false
	if c.fillErr == errNoBytes {
		c.releaseBuffers()
		return false
	}
	return true
}

// noBytesError reports a connection without unread bytes.
type noBytesError struct{}

func (*noBytesError) Error() string { return "no unread bytes" }

var errNoBytes error = &noBytesError{}

// connReader reads from a connection.
type connReader struct {
	conn net.Conn
	// While once is set, Read doesn't wait but fails with errNoBytes; fd is the
	// descriptor of conn, which is a rawSyscallConn then.
	once bool
	fd   uintptr
}

// Read implements io.Reader.
func (r *connReader) Read(p []byte) (int, error) {
	if !r.once {
		return r.conn.Read(p)
	}
	rc := r.conn.(*rawSyscallConn)
	rc.readBuf = p
	ready := rc.readOnce(r.fd)
	rc.readBuf = nil
	if !ready {
		return 0, errNoBytes
	}
	return rc.readResult()
}

// takeBuffers gets buffers from the pool unless the connection has some.
func (c *conn) takeBuffers() {
	if c.buffers != nil {
		return
	}
	pool := &smallBuffers
	if c.longHeads {
		pool = &largeBuffers
	}
	c.buffers = pool.Get().(*buffers)
	c.br.Reset(&c.in)
	c.bw.Reset(&c.out)
}

// releaseBuffers returns the buffers to the pool. It is not called for a connection
// that is closed after a call, as another goroutine may still read the call's body.
func (c *conn) releaseBuffers() {
	switch c.br.Size() {
	case initialBufferBytes:
		smallBuffers.Put(c.buffers)
	case MaxHeadBytes:
		largeBuffers.Put(c.buffers)
	}
	c.buffers = nil
}

// growBuffer replaces the buffers by larger ones with the same content, which hold up to limit
// bytes. Those for heads above the usual limit are not pooled.
func (c *conn) growBuffer(limit int) {
	buffered, _ := c.br.Peek(c.br.Buffered())
	buffered = bytes.Clone(buffered)
	size := c.br.Size()
	c.releaseBuffers()
	c.longHeads = true
	if size >= MaxHeadBytes {
		c.buffers = newBuffers(min(2*size, limit))
		c.bw.Reset(&c.out)
	} else {
		c.takeBuffers()
	}
	c.br.Reset(io.MultiReader(bytes.NewReader(buffered), &c.in))
	_, _ = c.br.Peek(len(buffered))
}
