// Package pacing decides when the pieces of large responses are sent on a link. Pacer does
// no I/O and reads no clock: it takes events and the time and returns decisions.
//
// On a link that is nearly full of large responses, small messages wait behind them. Some of
// the small messages are calls made by running requests, which hold their slots until the
// calls are answered. Pacer limits large responses to most of the link's rate and sends them
// one after the other, so that the first ones are complete early instead of all of them late.
package pacing

import (
	"slices"
	"time"
)

// ID identifies a transfer within one Pacer.
type ID uint64

// transfer is a large response that is being sent or expected.
type transfer struct {
	id ID
	// left is the number of bytes that are not yet sent.
	left int64
	// requested is the size in bytes of the piece that waits to be sent; 0 if there is none.
	requested int
}

// Pacer is a token bucket that serves large responses in the order of their arrival. A
// response without a piece to send, such as one whose receiver is slow, is skipped. Pacer is
// not safe for concurrent use.
type Pacer struct {
	config     Config
	tokens     float64 // in bytes; a piece may take more than there are and make it negative
	refilledAt time.Time
	nextID     ID
	transfers  []transfer
}

// New returns a Pacer without transfers.
func New(config Config) *Pacer { return &Pacer{config: config, tokens: config.Burst} }

// Add adds a transfer with an expected size in bytes and returns its ID.
func (p *Pacer) Add(bytes int64) ID {
	p.nextID++
	p.transfers = append(p.transfers, transfer{id: p.nextID, left: bytes})
	return p.nextID
}

// Resize sets the number of bytes of a transfer that are left to send.
func (p *Pacer) Resize(id ID, bytes int64) {
	if t := p.find(id); t != nil {
		t.left = bytes
	}
}

// Remove removes a transfer.
func (p *Pacer) Remove(id ID) {
	p.transfers = slices.DeleteFunc(p.transfers, func(t transfer) bool { return t.id == id })
}

// Request requests to send the next piece of a transfer, of n bytes. Advance grants the
// request.
func (p *Pacer) Request(id ID, n int) {
	if t := p.find(id); t != nil {
		t.requested = n
	}
}

// Advance returns the transfers whose requested pieces may be sent now. If others have to
// wait, wait is the time until the next piece may be sent; otherwise it is 0.
func (p *Pacer) Advance(now time.Time) (granted []ID, wait time.Duration) {
	if !p.refilledAt.IsZero() {
		p.tokens = min(p.tokens+now.Sub(p.refilledAt).Seconds()*p.config.BytesPerSecond, p.config.Burst)
	}
	p.refilledAt = now
	for i := range p.transfers {
		t := &p.transfers[i]
		if t.requested == 0 {
			continue
		}
		if p.tokens <= 0 && p.config.BytesPerSecond > 0 {
			// The extra microsecond compensates for rounding down.
			return granted, time.Duration(-p.tokens/p.config.BytesPerSecond*float64(time.Second)) + time.Microsecond
		}
		p.tokens -= float64(t.requested)
		t.left = max(t.left-int64(t.requested), 0)
		t.requested = 0
		granted = append(granted, t.id)
	}
	return granted, 0
}

// Backlog returns how long it takes to send what is left of all transfers at the rate of
// large responses; 0 without a rate limit.
func (p *Pacer) Backlog() time.Duration {
	if p.config.BytesPerSecond == 0 {
		return 0
	}
	left := 0.0
	for _, t := range p.transfers {
		left += float64(t.left)
	}
	return time.Duration(left / p.config.BytesPerSecond * float64(time.Second))
}

// TransferTime returns how long it takes to send bytes at the rate of large responses; 0
// without a rate limit.
func (p *Pacer) TransferTime(bytes int64) time.Duration {
	if p.config.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.config.BytesPerSecond * float64(time.Second))
}

func (p *Pacer) find(id ID) *transfer {
	at := slices.IndexFunc(p.transfers, func(t transfer) bool { return t.id == id })
	if at < 0 {
		return nil
	}
	return &p.transfers[at]
}
