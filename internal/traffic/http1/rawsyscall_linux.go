package http1

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// rawSyscallConn reads and writes a TCP connection by raw system calls, which
// bypass the Go scheduler.
//
// The runtime prepares for a system call that blocks: on an idle process it first
// wakes its monitor thread (sysmon), which costs processor time and adds latency.
// The sockets here never block: on EAGAIN the goroutine waits in the network poller
// as usual.
type rawSyscallConn struct {
	*net.TCPConn
	raw syscall.RawConn

	// Guarded by the connection's read and write locks. They are fields, since
	// variables captured by a closure would be allocated for each call.
	tryRead, tryWrite func(fd uintptr) bool
	readBuf, writeBuf []byte
	nRead, nWritten   int
	readErr, writeErr syscall.Errno
}

// WithRawSyscalls wraps a TCP connection in a rawSyscallConn and returns any other
// unchanged. At most one goroutine may read and one may write at a time.
func WithRawSyscalls(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c
	}
	rc := &rawSyscallConn{TCPConn: tcp, raw: raw}
	rc.tryRead, rc.tryWrite = rc.readOnce, rc.writeSome
	return rc
}

// Read implements net.Conn.
func (rc *rawSyscallConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	rc.readBuf = p
	err := rc.raw.Read(rc.tryRead)
	rc.readBuf = nil
	if err != nil {
		return 0, err
	}
	return rc.readResult()
}

// readResult returns the result of a readOnce that returned true.
func (rc *rawSyscallConn) readResult() (int, error) {
	switch {
	case rc.readErr != 0:
		return 0, os.NewSyscallError("read", rc.readErr)
	case rc.nRead == 0:
		return 0, io.EOF
	}
	return rc.nRead, nil
}

func (rc *rawSyscallConn) readOnce(fd uintptr) bool {
	for {
		n, _, errno := syscall.RawSyscall(syscall.SYS_READ, fd, uintptr(unsafe.Pointer(&rc.readBuf[0])), uintptr(len(rc.readBuf)))
		switch errno {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false
		}
		rc.nRead, rc.readErr = int(n), errno
		return true
	}
}

// Write implements net.Conn.
func (rc *rawSyscallConn) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	rc.writeBuf, rc.nWritten, rc.writeErr = p, 0, 0
	err := rc.raw.Write(rc.tryWrite)
	rc.writeBuf = nil
	switch {
	case err != nil:
		return rc.nWritten, err
	case rc.writeErr != 0:
		return rc.nWritten, os.NewSyscallError("write", rc.writeErr)
	}
	return rc.nWritten, nil
}

// writeSome writes until everything is written or the socket's buffer is full.
func (rc *rawSyscallConn) writeSome(fd uintptr) bool {
	for rc.nWritten < len(rc.writeBuf) {
		rest := rc.writeBuf[rc.nWritten:]
		n, _, errno := syscall.RawSyscall(syscall.SYS_WRITE, fd, uintptr(unsafe.Pointer(&rest[0])), uintptr(len(rest)))
		switch errno {
		case 0:
			rc.nWritten += int(n)
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			rc.writeErr = errno
			return true
		}
	}
	return true
}
