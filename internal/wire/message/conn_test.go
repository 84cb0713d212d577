package message

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// connect returns a client's connection and its peer's side.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = peer.Close() })
	return NewConn(c), peer.(*net.TCPConn)
}

// writeUntilError writes until it fails, and sends the error.
func writeUntilError(c *Conn, failed chan<- error) {
	for block := make([]byte, 64<<10); ; {
		if _, err := c.Write(block); err != nil {
			failed <- err
			return
		}
	}
}

const someResponse = "HTTP/1.1 200 OK\r\n\r\npart"

// Guards against the end of a stream that is taken for a regular one, though a write has got the
// error of the reset that ended it.
func TestAResetThatAWriteHasSeenIsNoRegularEnd(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		fin      bool
		writeErr syscall.Errno
		readErr  error
	}{
		{"reset", false, syscall.ECONNRESET, syscall.ECONNRESET},
		{"closed, then reset", true, syscall.EPIPE, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, peer := connect(t)
			failed := make(chan error, 1)
			go writeUntilError(c, failed)
			_, _ = io.WriteString(peer, someResponse)
			if tc.fin {
				_ = peer.CloseWrite()
			}
			time.Sleep(20 * time.Millisecond)
			_ = peer.SetLinger(0)
			_ = peer.Close()
			if err := <-failed; !errors.Is(err, tc.writeErr) {
				t.Errorf("the write failed with %v, want %v", err, tc.writeErr)
			}
			b, err := io.ReadAll(c)
			if string(b) != someResponse || !errors.Is(err, tc.readErr) {
				t.Errorf("read %q, %v, want the error %v", b, err, tc.readErr)
			}
		})
	}
}

// Guards against a read that waits for a write which makes no progress, after the peer has closed
// its side.
func TestTheEndOfAStreamEndsAPendingWrite(t *testing.T) {
	t.Parallel()
	c, peer := connect(t)
	failed := make(chan error, 1)
	go writeUntilError(c, failed)
	_, _ = io.WriteString(peer, someResponse)
	_ = peer.CloseWrite()
	if b, err := io.ReadAll(c); string(b) != someResponse || err != nil {
		t.Errorf("read %q, %v", b, err)
	}
	<-failed
}
