package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a limit of the operator that is not in force: a header over it gets a
// clear answer and is not passed on.
func TestHeaderOverTheLimitIsRejected(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	request := func(id, filler string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.config.ClientAddress+"/book/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = "shop.example"
		req.Header.Set(simID, id)
		req.Header.Set(simKey, "7")
		req.Header.Set("X-Filler", filler)
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		return resp.StatusCode
	}
	n.cluster.limit(2000)
	g.Eventually(func() int { return n.views.current().Routes.Limits.HeaderBytes }, 5*time.Second).Should(Equal(2000))
	g.Expect(request("short", strings.Repeat("x", 1500))).To(Equal(http.StatusOK))
	g.Expect(request("long", strings.Repeat("x", 2000))).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(n.backend.ran("long")).To(BeZero())
}
