package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against requests that wait for a blocked log output, and against lines that are
// lost without being counted.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := New(out)
	const lines = maxQueuedLines + 500
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
		_ = w.Sync()
	}()
	g.Eventually(done, 10*time.Second).Should(BeClosed())
	dropped := w.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 0))
	close(out.unblock)
	g.Eventually(func() int {
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Count(out.written.String(), "\n")
	}, 10*time.Second).Should(BeEquivalentTo(lines - dropped))
}
