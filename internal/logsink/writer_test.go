package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against requests that wait for a blocked standard output, and against lines that
// are lost without being counted.
func TestBlockedOutputBlocksNoWriter(t *testing.T) {
	g := NewWithT(t)
	out := &blocked{open: make(chan struct{})}
	w := New(out)
	const lines = maxLines + 500
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
	close(out.open)
	g.Eventually(func() int {
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Count(out.got.String(), "\n")
	}, 10*time.Second).Should(BeEquivalentTo(lines - dropped))
}
