// Package pacing decides when the pieces of large answers are sent on a link. Line is pure:
// it takes events and the time and returns what to do.
//
// It answers a link that is nearly full of large answers: small messages, such as the calls
// that running requests make, would wait behind them, and the requests that wait for those
// calls hold their slots meanwhile. Large answers get most of the link, one after the other,
// so that the first ones are complete early instead of all of them late.
package pacing

import (
	"slices"
	"time"
)

// ID names a transfer in one Line.
type ID uint64

// transfer is a large answer that is being sent, or expected.
type transfer struct {
	id ID
	// left is the number of bytes that are not sent yet.
	left int64
	// asks is the size of the piece that waits to be sent; 0 if none does.
	asks int
}

// Line divides a link among large answers in the order of their arrival. An answer whose
// receiver does not take more leaves its turn to the next. It is not safe for concurrent
// use.
type Line struct {
	config    Config
	tokens    float64 // bytes that may be sent now; negative after a piece
	at        time.Time
	nextID    ID
	transfers []transfer
}

// New returns a Line without transfers.
func New(config Config) *Line { return &Line{config: config, tokens: config.Burst} }

// Join adds a transfer of an expected number of bytes.
func (l *Line) Join(bytes int64) ID {
	l.nextID++
	l.transfers = append(l.transfers, transfer{id: l.nextID, left: bytes})
	return l.nextID
}

// Resize sets how many bytes of a transfer are left.
func (l *Line) Resize(id ID, bytes int64) {
	if t := l.find(id); t != nil {
		t.left = bytes
	}
}

// Leave ends a transfer.
func (l *Line) Leave(id ID) {
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.id == id })
}

// Ask asks to send the next piece of a transfer, of n bytes. The transfers that may send
// now are returned by Advance.
func (l *Line) Ask(id ID, n int) {
	if t := l.find(id); t != nil {
		t.asks = n
	}
}

// Advance returns the transfers whose pieces may be sent now. wait is the time after which
// the next one may be, if any asks; otherwise it is 0.
func (l *Line) Advance(now time.Time) (granted []ID, wait time.Duration) {
	if !l.at.IsZero() {
		l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*l.config.BytesPerSecond, l.config.Burst)
	}
	l.at = now
	for i := range l.transfers {
		t := &l.transfers[i]
		if t.asks == 0 {
			continue
		}
		if l.tokens <= 0 && l.config.BytesPerSecond > 0 {
			// One more microsecond makes up for rounding.
			return granted, time.Duration(-l.tokens/l.config.BytesPerSecond*float64(time.Second)) + time.Microsecond
		}
		l.tokens -= float64(t.asks)
		t.left = max(t.left-int64(t.asks), 0)
		t.asks = 0
		granted = append(granted, t.id)
	}
	return granted, 0
}

// Backlog returns how long the link takes to send what is left of all transfers.
func (l *Line) Backlog() time.Duration {
	if l.config.BytesPerSecond == 0 {
		return 0
	}
	left := 0.0
	for _, t := range l.transfers {
		left += float64(t.left)
	}
	return time.Duration(left / l.config.BytesPerSecond * float64(time.Second))
}

// Time returns how long a number of bytes takes on the link.
func (l *Line) Time(bytes int64) time.Duration {
	if l.config.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.config.BytesPerSecond * float64(time.Second))
}

func (l *Line) find(id ID) *transfer {
	at := slices.IndexFunc(l.transfers, func(t transfer) bool { return t.id == id })
	if at < 0 {
		return nil
	}
	return &l.transfers[at]
}
