package peer_test

import (
	"runtime"
	"testing"

	"github.com/basilway/basilway/internal/peer"
)

// BenchmarkIdleConnection measures the heap and stack memory of open connections, with
// both ends in this process.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 200
	hub := newNode(b, peer.Config{})
	memoryInUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for range b.N {
		nodes := make([]*node, connections)
		for i := range nodes {
			nodes[i] = newNode(b, peer.Config{})
		}
		before := memoryInUse()
		for _, n := range nodes {
			if _, err := call(hub, n, kindEcho, "x"); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((memoryInUse()-before)/connections, "B/connection")
	}
}
