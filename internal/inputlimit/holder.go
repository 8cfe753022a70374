package inputlimit

import (
	"io"
	"time"

	"github.com/basilway/basilway/memorybudget"
)

// Holder is the account of a connection. A nil Holder has no limit. It is safe for concurrent use.
type Holder struct {
	limiter *Limiter
	id      memorybudget.ID
	server  string
	conn    io.Closer
	// reserved is set on servers that the process itself depends on: connections that hold little are
	// granted the reserved part of the total there too.
	reserved bool

	// running is the number of its requests that run, receiving that of those whose body is being read
	// meanwhile, sending whether a write waits for the client. The limiter's mutex guards them.
	running, receiving int
	sending            bool
}

// update changes the account under the limiter's lock.
func (h *Holder) update(change func(b *memorybudget.Budget, now time.Time)) {
	if h == nil {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	change(h.limiter.budget, time.Now())
}

// closeWait bounds the wait until connections that are closed to make room have ended.
const closeWait = 2 * time.Second

// grow accounts for more bytes. It waits for connections that are closed to make room, and reports false
// if there is none.
func (h *Holder) grow(bytes int64) bool {
	if h == nil || bytes <= 0 {
		return true
	}
	var timeout <-chan time.Time
	for {
		var d memorybudget.Decision
		var changed chan struct{}
		known, small := false, false
		h.update(func(b *memorybudget.Budget, now time.Time) {
			d = b.Grow(h.id, bytes, now)
			changed, known, small = h.limiter.changed, b.Known(h.id), b.Small(h.id, bytes)
		})
		h.limiter.closeAll(d.Close)
		switch {
		case d.Answer == memorybudget.Granted:
			return true
		case !known:
			return false
		case small && h.reserved && h.growReserved(bytes):
			return true
		case d.Answer == memorybudget.Refused:
			h.limiter.refused(h.server, bytes)
			return false
		}
		if timeout == nil {
			timeout = time.After(closeWait)
		}
		select {
		case <-changed:
		case <-timeout:
			h.limiter.refused(h.server, bytes)
			return false
		}
	}
}

// tryGrow accounts for more bytes if there is room without closing another connection.
func (h *Holder) tryGrow(bytes int64) bool {
	granted := h == nil
	h.update(func(b *memorybudget.Budget, _ time.Time) { granted = b.Fits(h.id, bytes) })
	return granted
}

// growReserved accounts for more bytes in the reserved part of the total.
func (h *Holder) growReserved(bytes int64) bool {
	granted := false
	h.update(func(b *memorybudget.Budget, _ time.Time) { granted = b.GrowReserved(h.id, bytes) })
	return granted
}

// BodyDeadline returns until when the next BodyPiece bytes of a body must have arrived; zero if there is no limit.
func (h *Holder) BodyDeadline() time.Time {
	if h == nil || h.limiter.config.BodyTimeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(h.limiter.config.BodyTimeout)
}

// Moved says that a part was received or sent.
func (h *Holder) Moved() {
	h.update(func(b *memorybudget.Budget, now time.Time) { b.Move(h.id, now) })
}

// Sending says whether a write waits for the client.
func (h *Holder) Sending(sending bool) {
	h.update(func(b *memorybudget.Budget, now time.Time) {
		h.sending = sending
		b.SetActivity(h.id, h.activity(), now)
		b.Move(h.id, now)
	})
}

// activity returns what the connection does. The limiter's mutex must be held.
func (h *Holder) activity() memorybudget.Activity {
	switch {
	case h.sending:
		return memorybudget.Sending
	case h.running > h.receiving:
		return memorybudget.Running
	default:
		return memorybudget.Receiving
	}
}

// Close forgets the connection, which has ended.
func (h *Holder) Close() {
	h.update(func(b *memorybudget.Budget, _ time.Time) { h.remove(b) })
}

// endIfClosed forgets the connection if it was closed to make room and holds nothing any more.
func (h *Holder) endIfClosed() {
	h.update(func(b *memorybudget.Budget, _ time.Time) {
		if !b.Known(h.id) {
			h.remove(b)
		}
	})
}

// remove forgets the connection. The limiter's mutex must be held.
func (h *Holder) remove(b *memorybudget.Budget) {
	closed := !b.Known(h.id)
	b.Remove(h.id)
	delete(h.limiter.open, h.id)
	if closed {
		h.limiter.notify()
	}
}
