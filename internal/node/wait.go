package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sleepUnless sleeps until d has passed, ctx ends or interrupt is closed.
func sleepUnless(ctx context.Context, d time.Duration, interrupt <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-interrupt:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
