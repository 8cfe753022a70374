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

// closeConnections is how long callers have to close their connections, each after its
// next answer, before the daemon closes those that are left.
const closeConnections = time.Second

// firstRequest is how long accepted connections have to send their first request: some
// round trips of 6 ms to callers, and room for a loaded machine.
const firstRequest = 100 * time.Millisecond

// leaveTimeout bounds the removal of the session from the cluster.
const leaveTimeout = 3 * time.Second

// errRequestsCut is returned by Run if a graceful stop took longer than allowed.
var errRequestsCut = errors.New("requests in flight were cut at the end of the drain timeout")

// drain asks the planner to move all units away and keeps the session empty.
func (s *sessionRuntime) drain() {
	s.draining.Store(true)
	_ = s.owner.handle(s.life, ownership.DrainAsked{})
}

// shutdown moves all units to others, lets requests in flight finish and leaves the
// cluster. New requests are taken until the units have moved, for leaveAfter at most.
func (d *Daemon) shutdown() error {
	begin := time.Now()
	s := d.current.Load()
	d.log.Info("stopping", zap.Int("requests in flight", s.inFlight.len()))
	d.stopping.Store(true)
	s.drain()
	moved := d.waitMoved(s, leaveAfter)
	time.Sleep(max(0, closeConnections-time.Since(begin)))
	d.refusing.Store(true)
	d.stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainTimeout)
	defer cancel()
	err := d.server.Shutdown(ctx)
	cut := s.waitIdle(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if leaveErr := s.leave(leaveCtx); leaveErr != nil {
		d.log.Warn("the cluster was not told of the stop; the lease runs out instead", zap.Error(leaveErr))
	}
	if poolErr := d.pool.Close(leaveCtx); poolErr != nil {
		d.log.Debug("connections to other daemons closed with requests in flight", zap.Error(poolErr))
	}
	s.end()
	d.end()
	d.duties.Wait()
	d.log.Info("stopped", zap.Duration("took", time.Since(begin)), zap.Bool("units moved", moved))
	if cut || errors.Is(err, context.DeadlineExceeded) {
		return trace.Wrap(errRequestsCut)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// stopAccepting closes the listener for callers and lets accepted connections send their
// requests, those included that waited to be accepted. The HTTP server closes a connection
// without an answer if it reads a request after its own shutdown began.
func (d *Daemon) stopAccepting() {
	waiting, err := takeBacklog(d.listener)
	if err != nil {
		d.log.Warn("connections that wait may be reset", zap.Error(err))
	}
	if err := d.listener.Close(); err != nil {
		d.log.Debug("listener not closed", zap.Error(err))
	}
	if len(waiting) > 0 {
		// Shutdown of the server ends it.
		go func() { _ = d.server.Serve(newConnListener(d.listener.Addr(), waiting)) }()
	}
	<-d.accepted
	time.Sleep(firstRequest)
}

// waitMoved waits until the session owns nothing and reports whether that is so.
func (d *Daemon) waitMoved(s *sessionRuntime, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.owner.closed:
		return true
	case <-timer.C:
		return false
	}
}

// waitIdle waits for the requests that were admitted and reports whether some had not
// ended when ctx did.
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

// Cut ends at once and returns the number of requests that it cut.
func (d *Daemon) Cut() int {
	n := d.current.Load().inFlight.cancelAll(context.Canceled)
	_ = d.server.Close()
	d.end()
	return n
}
