package node

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// clientConns closes client connections that were idle for the operator's limit, and counts
// the open ones. http.Server's IdleTimeout is fixed while it serves, but the operator's limit
// can change.
type clientConns struct {
	// idleLimit returns the current limit; 0 means no limit.
	idleLimit func() time.Duration

	// maxOpen is the number of open connections at which each response starts to close its
	// connection; 0 means no bound.
	maxOpen int

	mu     sync.Mutex
	open   map[net.Conn]bool
	timers map[net.Conn]*time.Timer
}

func newClientConns(idleLimit func() time.Duration, maxOpen int) *clientConns {
	return &clientConns{idleLimit: idleLimit, maxOpen: maxOpen, open: map[net.Conn]bool{}, timers: map[net.Conn]*time.Timer{}}
}

// connState is the ConnState hook of the http.Server.
func (cc *clientConns) connState(c net.Conn, state http.ConnState) {
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
	if limit := cc.idleLimit(); state == http.StateIdle && limit > 0 {
		cc.timers[c] = time.AfterFunc(limit, func() { cc.closeIdle(c) })
	}
}

// atLimit reports whether so many connections are open that each response should close its
// own.
func (cc *clientConns) atLimit() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.maxOpen > 0 && len(cc.open) >= cc.maxOpen
}

// count returns the number of open connections.
func (cc *clientConns) count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.open)
}

// closeIdle closes a connection that is still idle. If the whole instance was paused, a
// request may have arrived before the timer fires.
func (cc *clientConns) closeIdle(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if _, idle := cc.timers[c]; idle && !hasUnread(c) {
		c.Close()
	}
	delete(cc.timers, c)
}

// hasUnread reports whether received bytes are waiting to be read.
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
