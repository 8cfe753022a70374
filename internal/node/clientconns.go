package node

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// clientConns closes connections of clients that were idle for as long as the operator allows,
// and knows when there are too many. http.Server has one limit for its whole life, and the
// operator's can change.
type clientConns struct {
	// limit returns the limit in force; 0 for none.
	limit func() time.Duration

	// most is the number of connections from which there are too many; 0 is no bound.
	most int

	mu     sync.Mutex
	open   map[net.Conn]bool
	timers map[net.Conn]*time.Timer
}

func newClientConns(limit func() time.Duration, most int) *clientConns {
	return &clientConns{limit: limit, most: most, open: map[net.Conn]bool{}, timers: map[net.Conn]*time.Timer{}}
}

// state is the http.Server's ConnState.
func (cc *clientConns) state(c net.Conn, state http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if timer := cc.timers[c]; timer != nil {
		timer.Stop()
		delete(cc.timers, c)
	}
	switch state {
	case http.StateNew:
		cc.open[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(cc.open, c)
	}
	if limit := cc.limit(); state == http.StateIdle && limit > 0 {
		cc.timers[c] = time.AfterFunc(limit, func() { cc.end(c) })
	}
}

// crowded reports whether there are too many connections, so that each answer should end
// its own.
func (cc *clientConns) crowded() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.most > 0 && len(cc.open) >= cc.most
}

// count returns the number of open connections.
func (cc *clientConns) count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.open)
}

// end closes a connection on which nothing has arrived. After a pause of the machine a
// request may have, although the timer ran out.
func (cc *clientConns) end(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if _, idle := cc.timers[c]; idle && !hasUnread(c) {
		c.Close()
	}
	delete(cc.timers, c)
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
