package rawhttp

import (
	"net"
	"syscall"
)

// quiet tells whether an idle connection is open and has no bytes waiting. Bytes without a request belong to no request, so that a
// connection that has some is not used again.
func quiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true // an in-memory connection of a test; a stale one fails at the write
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
