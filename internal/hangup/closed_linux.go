package hangup

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasClosed reports whether the other side has closed its direction of the connection, even if it sent bytes before that
// have not been read.
func HasClosed(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true // closed by this side
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp
}
