package http1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// deafen makes a listener take no further connection, while those that their
// peers already hold for open can still be accepted.
//
// Closing a listener resets the connections that wait to be accepted. Their
// peers may have sent a call already, and would see it cut off. A filter that
// drops each opening segment leaves nothing new to wait; a peer that tries
// meanwhile finds the listener closed when it tries again, and knows that it
// has sent nothing.
func deafen(ln net.Listener) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	const (
		flagsOffset = 13 // of the TCP header's byte of flags
		synAndAck   = 0x12
		syn         = 0x02
		whole       = 0xffffffff
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synAndAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: syn},
		{Code: unix.BPF_RET | unix.BPF_K},
		{Code: unix.BPF_RET | unix.BPF_K, K: whole},
	}
	// Where it fails, what remains is the moment between the last accept and
	// the close.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}
