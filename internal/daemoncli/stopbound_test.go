package daemoncli

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a process that is still there at the end of its stop timeout, because something that it
// waits for doesn't end, and against one that ends without a trace of what that was.
func TestProcessThatDoesNotStopIsEnded(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	core, logged := observer.New(zapcore.ErrorLevel)
	ended := make(chan int, 1)
	ctx, signal := context.WithCancel(context.Background())
	const timeout = 600 * time.Millisecond
	end := stopBound{timeout, zap.New(core), func(code int) { ended <- code }}.watch(ctx)
	defer end()
	g.Consistently(ended, timeout).ShouldNot(Receive(), "no signal yet")
	signalled := time.Now()
	signal()
	g.Eventually(ended, timeout).Should(Receive(Equal(exitAborted)))
	g.Expect(time.Since(signalled)).To(BeNumerically(">=", timeout-exitReserve))
	g.Expect(logged.All()).To(HaveLen(1))
	g.Expect(logged.All()[0].ContextMap()["goroutines"]).To(ContainSubstring("TestProcessThatDoesNotStopIsEnded"))
}

// Guards against a bound that ends a process which has stopped in time, or one without a stop timeout.
func TestStoppedProcessIsNotEnded(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ended := make(chan int, 2)
	ctx, signal := context.WithCancel(context.Background())
	end := stopBound{500 * time.Millisecond, zap.NewNop(), func(code int) { ended <- code }}.watch(ctx)
	defer stopBound{0, zap.NewNop(), func(code int) { ended <- code }}.watch(ctx)()
	signal()
	end()
	g.Consistently(ended, 700*time.Millisecond).ShouldNot(Receive())
}
