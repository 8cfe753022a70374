package node

import (
	"time"

	"github.com/basilway/basilway/pacing"
	"github.com/basilway/basilway/verdict"
)

// reserveLink reserves a transfer on the link for an expected large response; it returns 0
// if none is expected. A request whose response the link would make late is refused before
// it takes a slot.
func (b *backend) reserveLink(t ticket) (pacing.ID, *verdict.Error) {
	size := b.node.sizes.expected(t.route, t.kind)
	if size < largeResponse {
		return 0, nil
	}
	wait := time.Until(t.target) - b.queue.expectedWork(t.route)
	id, backlog, ok := b.node.pacer.admit(size, wait)
	if !ok {
		err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the link is taken for %v by large answers", backlog)
		return 0, err.WithRetryAfter(min(max(backlog-max(wait, 0), minLinkRetryAfter), maxLinkRetryAfter))
	}
	return id, nil
}

// minLinkRetryAfter and maxLinkRetryAfter bound the Retry-After of requests that are refused
// because the link is saturated.
const (
	minLinkRetryAfter = 50 * time.Millisecond
	maxLinkRetryAfter = time.Second
)
