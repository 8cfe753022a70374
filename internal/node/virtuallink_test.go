package node

import (
	"context"
	"sync"
	"time"
)

// virtualLink is one direction of an instance's network link. Transfers that overlap share it evenly.
type virtualLink struct {
	mu     sync.Mutex
	freeAt time.Time
}

// linkPiece is the number of bytes of a transfer that a link carries before those of others.
const linkPiece = 4096

// carry takes the time that some bytes take on the link at a rate in bytes per second. It returns early
// when ctx ends.
func (l *virtualLink) carry(ctx context.Context, size int, rate float64) {
	for ; size > 0 && ctx.Err() == nil; size -= linkPiece {
		l.mu.Lock()
		now := time.Now()
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(min(size, linkPiece)) / rate * float64(time.Second)))
		wait := l.freeAt.Sub(now)
		l.mu.Unlock()
		sleep(ctx, wait)
	}
}

// carry takes the time that a message takes on the links of its sender and its receiver; nil is not a
// node. Links are as fast as wanted unless the cluster limits them.
func (c *virtualCluster) carry(ctx context.Context, from, to *virtualNode, size int) {
	if c.linkRate == 0 {
		return
	}
	if from != nil {
		from.uplink.carry(ctx, size, c.linkRate)
	}
	if to != nil {
		to.downlink.carry(ctx, size, c.linkRate)
	}
}
