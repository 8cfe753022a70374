package daemoncli

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// exitReserve is how long before the end of the stop timeout a process that has not stopped ends
	// at once. Flushing the log takes up to 200 ms of it.
	exitReserve = 300 * time.Millisecond
	// maxStackBytes bounds the goroutine stacks that are logged then.
	maxStackBytes = 64 << 10
)

// stopBound ends a process that does not stop in time after a signal.
type stopBound struct {
	// timeout is how long the process may run after the signal; 0 means no bound.
	timeout time.Duration
	log     *zap.Logger
	// exit ends the process.
	exit func(code int)
}

// runUntilSignal calls run with a context that ends at SIGTERM or SIGINT. A further signal has no effect:
// the process stops within stopTimeout in any case.
func runUntilSignal(log *zap.Logger, stopTimeout time.Duration, run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer stopBound{stopTimeout, log, os.Exit}.watch(ctx)()
	return run(ctx)
}

// watch starts the timeout when ctx ends. The returned function ends the watch.
func (b stopBound) watch(ctx context.Context) (end func()) {
	if b.timeout <= 0 {
		return func() {}
	}
	watched, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {
		timer := time.NewTimer(max(b.timeout-exitReserve, b.timeout/2))
		defer timer.Stop()
		select {
		case <-timer.C:
			b.expire()
		case <-watched.Done():
		}
	})
	return cancel
}

// expire logs what all goroutines do and ends the process.
func (b stopBound) expire() {
	stacks := make([]byte, maxStackBytes)
	stacks = stacks[:runtime.Stack(stacks, true)]
	b.log.Error("not stopped in time, ending at once", zap.Duration("stop timeout", b.timeout), zap.ByteString("goroutines", stacks))
	_ = b.log.Sync()
	b.exit(exitAborted)
}
