package backend

import (
	"context"
	"errors"
	"syscall"
	"time"

	"connectrpc.com/connect"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
)

// watch probes the server until Close.
func (c *Client) watch() {
	ticker := time.NewTicker(c.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop.Done():
			return
		case <-c.probe:
		case <-ticker.C:
		}
		c.mu.Lock()
		t := c.target
		c.mu.Unlock()
		if t != nil {
			c.probeOnce(t)
		}
		c.step(Tick{})
	}
}

// probeOnce asks for health and load. Any answer shows that the server is not frozen.
func (c *Client) probeOnce(t *target) {
	ctx, cancel := context.WithTimeout(c.stop, c.cfg.ProbeTimeout)
	defer cancel()
	health, err := t.probe.GetHealth(ctx, connect.NewRequest(&backendv1.GetHealthRequest{}))
	switch {
	case err == nil || connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeDeadlineExceeded:
		c.step(Answered{ProcessID: t.ProcessID})
	case errors.Is(err, syscall.ECONNREFUSED):
		c.step(Refused{ProcessID: t.ProcessID})
		return
	case c.stop.Err() != nil:
		return
	default:
		c.step(ProbeFailed{ProcessID: t.ProcessID})
		return
	}
	load, loadErr := t.probe.GetLoad(ctx, connect.NewRequest(&backendv1.GetLoadRequest{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthy = err == nil && health.Msg.GetHealthy()
	if loadErr == nil {
		c.utilization = load.Msg.GetUtilization()
	}
}

// deliver hands notices to the daemon in order, so that a slow daemon does not hold up
// requests.
func (c *Client) deliver() {
	for {
		select {
		case <-c.stop.Done():
			return
		case <-c.wake:
		}
		c.mu.Lock()
		ready := c.queue
		c.queue = nil
		c.mu.Unlock()
		for _, n := range ready {
			select {
			case c.notices <- n:
			case <-c.stop.Done():
				return
			}
		}
	}
}
