// Package pimsocket tells what the kernel knows about the sender of the data that is read from a connection.
package pimsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DataAge returns how long ago the last data arrived on a TCP connection, whenever it was read, or 0 if that is not known.
// After a process stood still, it tells for how long a request has waited in the buffer of its connection.
func DataAge(conn net.Conn) time.Duration {
	age := time.Duration(0)
	control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// IsClosedByPeer reports whether the peer has closed its side of a connection whose data is read, or has reset it.
func IsClosedByPeer(conn net.Conn) bool {
	closed := false
	control(conn, func(fd int) {
		var next [1]byte
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (err == nil && n == 0) || err == unix.ECONNRESET
	})
	return closed
}

func control(conn net.Conn, call func(fd int)) {
	if tcp, ok := conn.(syscall.Conn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { call(int(fd)) })
		}
	}
}
