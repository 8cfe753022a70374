package node

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// idleConns closes connections of clients that were idle for as long as the operator allows.
// http.Server has one limit for its whole life, and the operator's can change.
type idleConns struct {
	// limit returns the limit in force; 0 for none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// state is the http.Server's ConnState.
func (i *idleConns) state(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	if limit := i.limit(); state == http.StateIdle && limit > 0 {
		i.timers[c] = time.AfterFunc(limit, func() { i.end(c) })
	}
}

// end closes a connection on which nothing has arrived. After a pause of the machine a
// request may have, although the timer ran out.
func (i *idleConns) end(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, idle := i.timers[c]; idle && !hasUnread(c) {
		c.Close()
	}
	delete(i.timers, c)
}

// hasUnread reports whether bytes have arrived that nobody has read.
func hasUnread(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && unread
}
