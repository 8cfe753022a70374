package testport

import (
	"fmt"
	"os"
	"syscall"
)

// reserve binds a socket that does not listen. The kernel then gives its port to no other
// socket that asks for any port, and SO_REUSEADDR, which Go sets for listeners as well, allows
// one listener at the same address.
func reserve() (address string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, os.NewSyscallError("socket", err)
	}
	release = func() { _ = syscall.Close(fd) }
	defer func() {
		if err != nil {
			release()
		}
	}()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", nil, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", nil, os.NewSyscallError("getsockname", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port), release, nil
}
