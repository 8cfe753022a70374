package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// limitWindow is the platform's window for the requests that a backend server gets, and
	// limitDelay the time after which requests of a node that passed on the limit count.
	limitWindow = 4 * time.Second
	limitDelay  = 500 * time.Millisecond
)

// allowedInWindow returns how many requests the platform lets a backend server with the given
// limit get in limitWindow.
func allowedInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// Guards against a backend server that gets more requests than the limit it named, summed over
// all nodes.
func TestBackendServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newTestCluster(t, 3)
	c.waitSettled()
	limited := c.nodes[0].sim
	limited.nameLimit("10.5")
	l := c.startLoad(c.nodes...)
	time.Sleep(limitDelay)
	from := time.Now()
	time.Sleep(limitWindow)
	l.stop()
	g.Expect(limited.arrivedSince(from)).To(BeNumerically("<=", allowedInWindow(10.5)))
	g.Expect(limited.arrivedSince(from)).To(BeNumerically(">", 0))
	g.Expect(l.unexpected()).To(BeEmpty())
}
