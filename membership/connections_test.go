package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/peer"
)

// Guards against idle connections that use up the memory of the control plane: version
// comparisons with random peers must keep few connections open in a cluster of 1,900
// daemons. A connection takes 38 KB at each end. A quarter of the 32 MB allowed for the
// control plane is 8 MB, or 215 connections for the busiest daemon; most need far fewer.
func TestComparisonsKeepFewConnectionsOpen(t *testing.T) {
	g := NewWithT(t)
	const n = 1900
	const connectionBytes, budgetBytes = 38 << 10, 8 << 20
	daemons := newGossips(n)
	type pair struct{ low, high int }
	lastUsed := map[pair]time.Time{}
	start := time.Unix(0, 0)
	most := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Minute; elapsed += 250 * time.Millisecond {
		now := start.Add(elapsed)
		for i, d := range daemons {
			if partner, _ := d.Tick(now); partner != "" {
				j := memberIndex(partner)
				lastUsed[pair{min(i, j), max(i, j)}] = now
			}
		}
		open := make([]int, n)
		for p, at := range lastUsed {
			if now.Sub(at) > peer.DefaultIdleTimeout {
				delete(lastUsed, p)
				continue
			}
			open[p.low]++
			open[p.high]++
		}
		for _, count := range open {
			most = max(most, count)
		}
	}
	g.Expect(most * connectionBytes).To(BeNumerically("<", budgetBytes))
	t.Logf("at most %d connections at a daemon", most)
}
