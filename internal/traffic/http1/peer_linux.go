package http1

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether the peer has neither closed the connection nor sent
// anything that was not read yet.
//
// A pooled connection that is not quiet must not carry a call: its peer has
// closed it, or an answer that nobody asked for waits on it and would be taken
// for the answer of the next call.
func Quiet(c net.Conn) bool {
	return poll(c, unix.POLLIN|unix.POLLRDHUP) == 0
}

// Left reports whether the peer has closed its side, even where bytes that it
// sent before are still unread.
func Left(c net.Conn) bool {
	return poll(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

func poll(c net.Conn, events int16) int16 {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return unix.POLLERR
	}
	fds := []unix.PollFd{{Events: events}}
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for {
			if _, err := unix.Poll(fds, 0); err != unix.EINTR {
				return
			}
		}
	})
	if err != nil {
		return unix.POLLERR
	}
	return fds[0].Revents
}
