package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that is refused for lack of memory at the node that has its key, and that the client is told may have
// run, or that runs; and against a node that is full for ordinary requests, too.
func TestForwardedRequestWithoutRoomIsNotRun(t *testing.T) {
	for name, chunked := range map[string]bool{"in chunks": true, "with a length": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			c := newTestCluster(t, 2)
			c.waitSettled()
			sender, owner := c.nodes[0], c.nodes[1]
			key := owner.ownedKey()
			holder, ok := owner.Node.limiter.Open("test", false, io.NopCloser(nil))
			g.Expect(ok).To(BeTrue())
			held := holder.NewRequest()
			held.SetRunning(true)
			for held.TryGrow(64 << 10) { // until only small requests have room
			}
			id := fmt.Sprint("full ", chunked)
			status, answer, header := sendLong(g, sender.config.ClientAddress, id, key, bytes.Repeat([]byte("x"), maxBufferedBody/2), chunked)
			g.Expect(status).To(Equal(http.StatusServiceUnavailable), answer)
			g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(sender.sim.ran(id) + owner.sim.ran(id)).To(BeZero())
			status, _, _, err := send(t.Context(), http.MethodGet, sender.config.ClientAddress, "/lookup/a", "small", key, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			held.End()
			status, _, _ = sendLong(g, sender.config.ClientAddress, id+" again", key, bytes.Repeat([]byte("x"), maxBufferedBody/2), chunked)
			g.Expect(status).To(Equal(http.StatusOK))
		})
	}
}
