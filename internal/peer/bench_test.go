package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/basilway/basilway/internal/peer"
)

// BenchmarkRoundTrip measures calls with a 200-byte body on one connection. One caller
// shows the latency, many callers show the throughput.
func BenchmarkRoundTrip(b *testing.B) {
	for _, callers := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			from, to := newNode(b, peer.Config{}), newNode(b, peer.Config{})
			body := bytes.Repeat([]byte("x"), 200)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if _, err := from.Call(ctx, to.address, kindEcho, body); err != nil {
				b.Fatal(err)
			}
			tokens := make(chan struct{}, 1024)
			failures := make(chan error, callers)
			b.ReportAllocs()
			b.ResetTimer()
			for range callers {
				go func() {
					for range tokens {
						if _, err := from.Call(ctx, to.address, kindEcho, body); err != nil {
							failures <- err
							return
						}
					}
					failures <- nil
				}()
			}
			for range b.N {
				tokens <- struct{}{}
			}
			close(tokens)
			for range callers {
				if err := <-failures; err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			if s := from.Stats(); s.SentMessages > 0 {
				b.ReportMetric(float64(s.Kinds[kindEcho].SentFrames)/float64(s.SentMessages), "frames/message")
			}
		})
	}
}
