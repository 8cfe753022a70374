// Package inputlimit accounts for the memory that the connections of a process's servers hold, with the
// decisions of package memorybudget, and closes the connections that these choose.
package inputlimit

import (
	"io"
	"sync"
	"time"

	"github.com/basilway/basilway/memorybudget"
)

// Config configures a Limiter.
type Config struct {
	Budget memorybudget.Config
	// BodyTimeout is how long a client may take to send BodyPiece bytes of a body; 0 means no limit.
	BodyTimeout time.Duration
	// Closed is called for each connection that is closed to make room, Refused for each that is not
	// accepted and each part of a request that is not taken; nil if nobody needs them. They must not call
	// the limiter.
	Closed  func(server string, c memorybudget.Closed)
	Refused func(server string, bytes int64)
}

// Limiter is the account of a process. A nil Limiter has no limit. It is safe for concurrent use.
type Limiter struct {
	config Config

	mu     sync.Mutex
	budget *memorybudget.Budget
	open   map[memorybudget.ID]*Holder
	// changed is closed and replaced when connections are closed to make room, and when one of them has
	// ended.
	changed chan struct{}
}

// New returns a limiter without connections.
func New(config Config) *Limiter {
	return &Limiter{config: config, budget: memorybudget.New(config.Budget), open: map[memorybudget.ID]*Holder{}, changed: make(chan struct{})}
}

// Used returns the bytes that all connections hold.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Used()
}

// Full reports whether only connections that hold little may hold more.
func (l *Limiter) Full() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Full()
}

// connCost is what a connection costs that carries no request: its buffers and its goroutine.
const connCost = 8 << 10

// Open accounts for a new connection of a server. It reports false if there is no room for it. reserved
// is set for servers that the process itself depends on.
func (l *Limiter) Open(server string, reserved bool, c io.Closer) (*Holder, bool) {
	if l == nil {
		return nil, true
	}
	h := &Holder{limiter: l, server: server, reserved: reserved, conn: c}
	l.mu.Lock()
	id, decision := l.budget.Open(connCost, time.Now())
	granted := decision.Answer == memorybudget.Granted
	if granted {
		h.id = id
		l.open[id] = h
	}
	l.mu.Unlock()
	l.closeAll(decision.Close)
	if !granted {
		l.refused(server, connCost)
	}
	return h, granted
}

// closeAll closes the connections that a decision chose. They are forgotten when their servers have ended
// them.
func (l *Limiter) closeAll(chosen []memorybudget.Closed) {
	if len(chosen) == 0 {
		return
	}
	l.mu.Lock()
	l.notify() // those that wait for room themselves
	l.mu.Unlock()
	for _, c := range chosen {
		l.mu.Lock()
		h := l.open[c.ID]
		l.mu.Unlock()
		if h == nil {
			continue // it has ended meanwhile
		}
		h.conn.Close()
		if l.config.Closed != nil {
			l.config.Closed(h.server, c)
		}
	}
}

// notify wakes those that wait for room. l.mu must be held.
func (l *Limiter) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Limiter) refused(server string, bytes int64) {
	if l.config.Refused != nil {
		l.config.Refused(server, bytes)
	}
}
