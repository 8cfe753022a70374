package daemon

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/memorybudget"
	"github.com/basilway/basilway/verdict"
)

const (
	// inputPercent is the percentage of the process's memory that all callers together may make it hold.
	inputPercent = 25
	// defaultMemory is the memory of the process in bytes if it is not known.
	defaultMemory = 512 << 20
	// callCost is what a byte of a call costs: received, decoded, and passed on.
	callCost = 4
	// callerBodyTimeout is how long a caller may take to send 16 KiB of a call.
	callerBodyTimeout = 30 * time.Second
	// Names of the servers in logs and metrics.
	callerServer = "callers"
	peerServer   = "peers"
)

// newInputLimiter returns the limiter of what the daemon's servers hold.
func newInputLimiter(d *Daemon) *inputlimit.Limiter {
	memory := d.config.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}
	limiter := inputlimit.New(inputlimit.Config{
		Budget: memorybudget.DefaultConfig(memory / 100 * inputPercent), BodyTimeout: callerBodyTimeout,
		Closed: func(server string, c memorybudget.Closed) {
			d.metrics.set.GetOrCreateCounter(fmt.Sprintf(`basilway_input_closed_total{server=%q,activity=%q}`, server, c.Activity)).Inc()
			d.log.Debug("connection closed to free memory", zap.String("server", server), zap.Int64("bytes", c.Bytes),
				zap.Stringer("activity", c.Activity), zap.Duration("idle", c.Idle))
		},
		Refused: func(server string, bytes int64) {
			d.metrics.set.GetOrCreateCounter(fmt.Sprintf(`basilway_input_refused_total{server=%q}`, server)).Inc()
			d.log.Debug("no room for what a caller sent", zap.String("server", server), zap.Int64("bytes", bytes))
		},
	})
	d.metrics.gauge("basilway_input_bytes", func() float64 { return float64(limiter.Used()) })
	return limiter
}

// chargeBodies accounts for bodies, which the handlers read whole.
func (d *Daemon) chargeBodies(next http.Handler) http.Handler {
	// An earlier call with the same request id may have run, and which one it is has not been read.
	charge := inputlimit.Charge{
		Factor: callCost,
		Full:   callError(verdict.New(verdict.MayHaveRun, verdict.ReasonOverloaded, "%v; this call did not run", inputlimit.ErrFull)),
		Stalled: func() error {
			d.metrics.set.GetOrCreateCounter("basilway_input_stalled_total").Inc()
			d.log.Debug("call did not arrive in time", zap.Int("bytes", inputlimit.BodyPiece), zap.Duration("timeout", callerBodyTimeout))
			return callError(verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "%d bytes did not arrive within %v; this call did not run",
				inputlimit.BodyPiece, callerBodyTimeout))
		},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			inputlimit.ChargeBody(w, r, charge)
		}
		next.ServeHTTP(w, r)
	})
}

// refuseForMemory answers a request for which there is no memory.
func refuseForMemory(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, inputlimit.ErrFull.Error(), http.StatusServiceUnavailable)
}
