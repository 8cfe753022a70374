package node

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/coldstate"
	"github.com/basilway/basilway/internal/quantity"
)

// coldBound returns how many requests the local backend server may get in any second while it is
// cold; 0 if there is no bound.
func (n *Node) coldBound() float64 {
	routes := n.views.current().Routes
	if n.config.Bounds.ColdOverage == 0 || routes == nil {
		return 0
	}
	service, _ := routes.Service(n.config.Service)
	if service.ColdPerSecond == 0 {
		return 0
	}
	return service.ColdPerSecond*n.config.Bounds.ColdOverage + n.config.Bounds.ColdSlack
}

// coldStateFrom decodes how long a backend server stays cold from the headers of a response.
func (h Headers) coldStateFrom(header http.Header) (left time.Duration, stated bool, err error) {
	value := header.Get(h.ColdMS)
	if h.ColdMS == "" || value == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(ms) || math.IsInf(ms, 0) || ms < 0 {
		return 0, false, fmt.Errorf("header %s is %q; milliseconds are expected, a number of at least 0", h.ColdMS, value)
	}
	return quantity.Duration(ms, time.Millisecond), true, nil
}

// applyColdLimit makes the request queue keep the limit of a cold backend server if it is, or may
// be, cold. b.mu must be held.
func (b *backend) applyColdLimit(now time.Time) {
	bound, state := b.node.coldBound(), b.cold.State(now)
	b.queue.setColdLimit(bound, state != coldstate.Warm)
	if bound == 0 || state == b.coldShown {
		return
	}
	b.log.Info("backend server cold state changed", zap.Stringer("from", b.coldShown), zap.Stringer("to", state),
		zap.Duration("cold", b.cold.Left(now)), zap.Float64("bound", bound), zap.Int("sent within a second", b.queue.sentWithin()))
	b.coldShown = state
}

// refreshColdLimit applies the limit before a request is queued, because the state changes with
// time, and asks the backend server if its heartbeat is overdue.
func (b *backend) refreshColdLimit() {
	if b.node.config.Bounds.ColdOverage == 0 {
		return
	}
	b.mu.Lock()
	now := b.node.now()
	b.applyColdLimit(now)
	sign := b.cold.Overdue(now)
	b.mu.Unlock()
	b.noticeSign(sign)
}

// observeColdState records what a response to a request that was sent at sentAt, by Node.now, says
// of how long the backend server stays cold.
func (b *backend) observeColdState(header http.Header, sentAt time.Time) {
	left, stated, err := b.node.headers.coldStateFrom(header)
	if err != nil {
		b.node.events.request("invalid header of backend server ignored", "", zap.Error(err))
		return
	}
	if !stated {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.node.now()
	b.cold.Response(left, sentAt, now)
	b.applyColdLimit(now)
}

// observeUnstated records it if a response to a health check doesn't say whether the backend server is cold.
func (b *backend) observeUnstated(header http.Header) {
	if name := b.node.headers.ColdMS; name != "" && header.Get(name) != "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.Unstated()
}

// observeSent counts a request that is about to be sent. While nothing confirms that the backend server is still
// warm, it gets no more requests than a cold one may get.
func (b *backend) observeSent() {
	bound := b.node.coldBound()
	if bound == 0 {
		return
	}
	b.mu.Lock()
	now := b.node.now()
	// Requests with a slot may have passed the limit before this one is counted.
	most := quantity.Int(max(bound/2, bound-float64(b.lastHeartbeat.Slots)))
	sign := b.cold.Sent(max(1, most), now)
	if b.cold.State(now) != coldstate.Warm {
		b.applyColdLimit(now)
	}
	b.mu.Unlock()
	b.noticeSign(sign)
}

// observeTook compares the time of a response with the usual one of its route.
func (b *backend) observeTook(took, expected time.Duration) {
	bound := b.node.coldBound()
	if bound == 0 {
		return
	}
	b.mu.Lock()
	sign := b.cold.Completed(took, expected, bound)
	b.mu.Unlock()
	b.noticeSign(sign)
}

// noticeSign asks the backend server's health check path whether it is cold, if the sign calls for
// it. It does not block.
func (b *backend) noticeSign(sign coldstate.Sign) {
	if sign == coldstate.None || b.node.coldBound() == 0 {
		return
	}
	b.mu.Lock()
	ask := b.cold.Ask(sign, b.node.now())
	b.mu.Unlock()
	if !ask {
		return
	}
	b.node.metrics.countColdQuestion(sign)
	b.node.events.request("backend server asked whether it is cold", "", zap.Stringer("reason", sign))
	go func() {
		routes := b.node.views.current().Routes
		service, _ := routes.Service(b.node.config.Service)
		// A lost response leaves the state as it was until the last statement is too old or too many requests
		// were sent since.
		b.checkHealth(context.Background(), service.HealthPath, b.owner().Incarnation)
	}()
}

// forgetColdState treats the backend server as cold until it says otherwise, and asks it. It must be
// called when the backend server gets requests again after a time without any.
func (b *backend) forgetColdState() {
	b.mu.Lock()
	b.cold.Forget()
	b.applyColdLimit(b.node.now())
	b.mu.Unlock()
	b.noticeSign(coldstate.Reinstated)
}

// mayBeCold reports whether the local backend server has not said whether it is cold, on a deployment
// where it may become cold while it runs. backend.mu must be held.
func (n *Node) mayBeCold() bool {
	mayChange := n.config.Bounds.ColdOverage > 0 || n.evacuation.Enabled()
	return mayChange && n.backend.cold.State(n.now()) == coldstate.Unknown
}
