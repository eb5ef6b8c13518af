package server

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpRoundTrip returns the round-trip time that the kernel measured for a TCP connection, or 0 if
// it is not available.
func tcpRoundTrip(connection net.Conn) time.Duration {
	control, ok := connection.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return 0 // The connection is closed.
	}
	var microseconds uint32
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			microseconds = info.Rtt
		}
	})
	if err != nil {
		return 0 // The connection is closed.
	}
	return time.Duration(microseconds) * time.Microsecond
}
