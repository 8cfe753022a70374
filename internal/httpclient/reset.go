package httpclient

import (
	"fmt"
	"io"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpStateClose is the state of a connection that was reset, in the State of unix.TCPInfo. One that the peer has closed
// is in another state until this side closes it too.
const tcpStateClose = 7

// checkEnd returns why a response whose end was read is not complete, or nil.
func (c *conn) checkEnd(resp *http.Response) error {
	if err := checkNames(resp.Trailer); err != nil {
		return err
	}
	if endsWithConnection(resp) && c.wasReset() {
		return fmt.Errorf("%w: the connection was reset", io.ErrUnexpectedEOF)
	}
	return nil
}

// endsWithConnection reports whether the body of a response ends where its connection does.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// wasReset reports whether the connection was reset or timed out. The system reports that once: if a write that goes on
// while the response is read gets the error, a read finds an end like that of a connection that was closed.
func (c *conn) wasReset() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true // closed by this side
	}
	reset := true
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == tcpStateClose
	})
	return controlErr != nil || reset
}
