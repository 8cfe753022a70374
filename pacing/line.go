// Package pacing decides when the pieces of large answers are sent on a link. Line does no
// I/O and reads no clock: it takes events and the time and returns decisions.
//
// On a link that is nearly full of large answers, small messages wait behind them. Some of
// these are calls made by running requests, which hold their slots until the calls are
// answered. Line limits large answers to most of the link's rate and sends them one after
// the other, so that the first ones are complete early instead of all of them late.
package pacing

import (
	"slices"
	"time"
)

// ID identifies a transfer within one Line.
type ID uint64

// transfer is a large answer that is being sent, or expected.
type transfer struct {
	id ID
	// left is the number of bytes that are not yet sent.
	left int64
	// requested is the size in bytes of the piece that waits to be sent; 0 if there is none.
	requested int
}

// Line is a token bucket that serves large answers in the order of their arrival. An answer
// without a piece to send, such as one whose receiver is slow, is skipped. Line is not safe
// for concurrent use.
type Line struct {
	config     Config
	tokens     float64 // in bytes; a piece may take more than there are and make it negative
	refilledAt time.Time
	nextID     ID
	transfers  []transfer
}

// New returns a Line without transfers.
func New(config Config) *Line { return &Line{config: config, tokens: config.Burst} }

// Join adds a transfer with an expected size in bytes and returns its ID.
func (l *Line) Join(bytes int64) ID {
	l.nextID++
	l.transfers = append(l.transfers, transfer{id: l.nextID, left: bytes})
	return l.nextID
}

// Resize sets the number of bytes of a transfer that are left to send.
func (l *Line) Resize(id ID, bytes int64) {
	if t := l.find(id); t != nil {
		t.left = bytes
	}
}

// Leave removes a transfer.
func (l *Line) Leave(id ID) {
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer) bool { return t.id == id })
}

// Ask requests to send the next piece of a transfer, of n bytes. Advance grants the request.
func (l *Line) Ask(id ID, n int) {
	if t := l.find(id); t != nil {
		t.requested = n
	}
}

// Advance returns the transfers whose requested pieces may be sent now. If others have to
// wait, wait is the time until the next piece may be sent; otherwise it is 0.
func (l *Line) Advance(now time.Time) (granted []ID, wait time.Duration) {
	if !l.refilledAt.IsZero() {
		l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*l.config.BytesPerSecond, l.config.Burst)
	}
	l.refilledAt = now
	for i := range l.transfers {
		t := &l.transfers[i]
		if t.requested == 0 {
			continue
		}
		if l.tokens <= 0 && l.config.BytesPerSecond > 0 {
			// The extra microsecond compensates for rounding down.
			return granted, time.Duration(-l.tokens/l.config.BytesPerSecond*float64(time.Second)) + time.Microsecond
		}
		l.tokens -= float64(t.requested)
		t.left = max(t.left-int64(t.requested), 0)
		t.requested = 0
		granted = append(granted, t.id)
	}
	return granted, 0
}

// Backlog returns how long it takes to send what is left of all transfers at the rate of
// large answers; 0 without a rate limit.
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

// Time returns how long it takes to send bytes at the rate of large answers; 0 without a rate
// limit.
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
