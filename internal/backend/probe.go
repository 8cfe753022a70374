package backend

import (
	"context"
	"errors"
	"syscall"
	"time"

	"connectrpc.com/connect"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
)

// probeLoop probes the server every ProbeInterval and on ProbeNow, until Close.
func (c *Client) probeLoop() {
	ticker := time.NewTicker(c.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.probeNow:
		case <-ticker.C:
		}
		c.mu.Lock()
		t := c.target
		c.mu.Unlock()
		if t != nil {
			c.sendProbe(t)
		}
		c.step(Tick{})
	}
}

// sendProbe requests health and load. Any response except the error deadline_exceeded
// shows that the server is not frozen.
func (c *Client) sendProbe(t *target) {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.ProbeTimeout)
	defer cancel()
	health, err := t.probeClient.GetHealth(ctx, connect.NewRequest(&backendv1.GetHealthRequest{}))
	switch {
	case err == nil || connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeDeadlineExceeded:
		c.step(Responded{ProcessID: t.ProcessID})
	case errors.Is(err, syscall.ECONNREFUSED):
		c.step(ConnectionRefused{ProcessID: t.ProcessID})
		return
	case c.ctx.Err() != nil:
		return
	default:
		c.step(ProbeFailed{ProcessID: t.ProcessID})
		return
	}
	load, loadErr := t.probeClient.GetLoad(ctx, connect.NewRequest(&backendv1.GetLoadRequest{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthy = err == nil && health.Msg.GetHealthy()
	if loadErr == nil {
		c.utilization = load.Msg.GetUtilization()
	}
}

// deliverNotices sends pending notices to the daemon in order. It runs on a goroutine of
// its own, so that a daemon that is slow to read them does not block requests.
func (c *Client) deliverNotices() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.noticesReady:
		}
		c.mu.Lock()
		ready := c.pendingNotices
		c.pendingNotices = nil
		c.mu.Unlock()
		for _, n := range ready {
			select {
			case c.notices <- n:
			case <-c.ctx.Done():
				return
			}
		}
	}
}
