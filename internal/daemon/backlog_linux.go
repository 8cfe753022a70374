package daemon

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// takeBacklog accepts the connections in the listen backlog and then stops listening.
// Closing the listener instead would reset them.
func takeBacklog(l net.Listener) ([]net.Conn, error) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.New("the listener has no socket")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fds []int
	err = raw.Control(func(listener uintptr) {
		for {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				break
			}
			fds = append(fds, fd)
		}
		// The caller closes the listener next, which reports any error.
		_ = syscall.Shutdown(int(listener), syscall.SHUT_RDWR)
	})
	conns := make([]net.Conn, 0, len(fds))
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "accepted")
		conn, fileErr := net.FileConn(file)
		err = errors.Join(err, fileErr, file.Close())
		if fileErr == nil {
			conns = append(conns, conn)
		}
	}
	return conns, err
}
