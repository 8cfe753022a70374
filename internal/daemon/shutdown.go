package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/basilway/basilway/ownership"
)

// closeConnectionsWait is how long callers have to close their connections, each after
// its next response, before the daemon closes those that are left.
const closeConnectionsWait = time.Second

// firstRequestWait is how long accepted connections have to send their first request: a
// few round trips of 6 ms to callers, and a margin for a busy instance.
const firstRequestWait = 100 * time.Millisecond

// leaveTimeout bounds the removal of the session from the cluster and the closing of
// connections to other daemons.
const leaveTimeout = 3 * time.Second

// errRequestsAborted is returned by Run if a graceful stop took longer than
// Config.DrainTimeout.
var errRequestsAborted = errors.New("requests in flight were aborted at the end of the drain timeout")

// drain asks the planner to move all units away and to give the session no new ones.
func (s *sessionRuntime) drain() {
	s.draining.Store(true)
	_ = s.owner.handle(s.baseCtx, ownership.DrainRequested{})
}

// shutdown moves all units to other daemons, lets requests in flight finish and leaves
// the cluster. New requests are accepted until the units have moved, for at least
// closeConnectionsWait and at most moveAwayTimeout.
func (d *Daemon) shutdown() error {
	begin := time.Now()
	s := d.current.Load()
	d.log.Info("stopping", zap.Int("requests in flight", s.inFlight.len()))
	d.stopping.Store(true)
	s.drain()
	moved := d.waitMoved(s, moveAwayTimeout)
	time.Sleep(max(0, closeConnectionsWait-time.Since(begin)))
	d.refusing.Store(true)
	d.stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainTimeout)
	defer cancel()
	err := d.server.Shutdown(ctx)
	aborted := s.waitIdle(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if leaveErr := s.leave(leaveCtx); leaveErr != nil {
		d.log.Warn("cannot leave the cluster; the lease runs out instead", zap.Error(leaveErr))
	}
	if poolErr := d.pool.Close(leaveCtx); poolErr != nil {
		d.log.Debug("connections to other daemons closed with requests in flight", zap.Error(poolErr))
	}
	s.cancel()
	d.cancel()
	d.workers.Wait()
	d.log.Info("stopped", zap.Duration("took", time.Since(begin)), zap.Bool("units moved", moved))
	if aborted || errors.Is(err, context.DeadlineExceeded) {
		return trace.Wrap(errRequestsAborted)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// stopAccepting closes the listener for callers and gives accepted connections, including
// those in the listen backlog, time to send their first request. The HTTP server closes a
// connection without a response if it reads a request after its own shutdown began.
func (d *Daemon) stopAccepting() {
	waiting, err := takeBacklog(d.listener)
	if err != nil {
		d.log.Warn("connections in the listen backlog may be reset", zap.Error(err))
	}
	if err := d.listener.Close(); err != nil {
		d.log.Debug("listener not closed", zap.Error(err))
	}
	if len(waiting) > 0 {
		// The server's Shutdown ends this call.
		go func() {
			_ = d.server.Serve(d.limiter.Listen(callerServer, newConnListener(d.listener.Addr(), waiting)))
		}()
	}
	<-d.acceptDone
	time.Sleep(firstRequestWait)
}

// waitMoved waits, for limit at most, until the session owns no units and has no requests
// in flight or queued, and reports whether that is so.
func (d *Daemon) waitMoved(s *sessionRuntime, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.owner.drained:
		return true
	case <-timer.C:
		return false
	}
}

// waitIdle waits until no requests are in flight or queued and reports whether some are
// left when ctx ends.
func (s *sessionRuntime) waitIdle(ctx context.Context) bool {
	busy := func() bool {
		stats := s.daemon.slots.stats()
		return s.inFlight.len()+stats.InFlight+stats.Queued > 0
	}
	for busy() {
		if sleepContext(ctx, leaseWatchTick) != nil {
			return true
		}
	}
	return false
}

// Abort stops the daemon immediately and returns the number of requests that it aborted.
func (d *Daemon) Abort() int {
	n := d.current.Load().inFlight.cancelAll(context.Canceled)
	_ = d.server.Close()
	d.cancel()
	return n
}
