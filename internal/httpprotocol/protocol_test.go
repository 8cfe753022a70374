package httpprotocol_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/internal/httpprotocol"
	"github.com/basilway/basilway/internal/node"
	"github.com/basilway/basilway/internal/routestore"
	"github.com/basilway/basilway/internal/testport"
	"github.com/basilway/basilway/metastore/memory"
	"github.com/basilway/basilway/metastore/polled"
)

// Guards against routing that works only on the users' platform: routes are applied to the
// catalogue in the platform's table, a router reads them there, its backend server gets
// keys, and a request is served; then a later version of the routes takes effect.
func TestRouterServesCatalogueRoutes(t *testing.T) {
	g := NewWithT(t)
	platform := httptest.NewServer(connectplatform.NewHandler(memory.New(memory.Rates{}, 1)))
	defer platform.Close()
	client := connectplatform.NewClient(connectplatform.Config{URL: platform.URL})
	defer client.Close()
	routes := httproute.Document{
		Services: []httproute.ServiceDocument{{Name: "booking", Sharded: true, HealthPath: "/health"}},
		Routes: []httproute.RouteDocument{{
			Name: "book", Host: "shop.example", Prefix: "/book/", Kind: "non_idempotent", TimeoutMS: 2000, MaxAttempts: 2,
			Destinations: []httproute.DestinationDocument{{Service: "booking", Weight: 1}},
		}},
	}
	routeStore := routestore.New(client)
	g.Expect(routeStore.Apply(t.Context(), routes)).To(BeEquivalentTo(1))

	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addresses := [4]string{testport.Reserve(t), testport.Reserve(t), testport.Reserve(t), testport.Reserve(t)}
	router := node.New(node.Config{
		Instance: "instance-1", Zone: "z", Service: "booking", BackendAddress: listener.Addr().String(),
		ClientAddress: addresses[0], ReadyAddress: addresses[1], HeartbeatAddress: addresses[2], PeerAddress: addresses[3],
		Store: polled.New(client, 20*time.Millisecond), Protocol: httpprotocol.Protocol{},
		Bounds: node.Bounds{DrainTimeout: 2 * time.Second, StopTimeout: 3 * time.Second, MaxHold: 10 * time.Second},
	}, zap.NewNop())
	backend := backendsim.NewHTTPBackend(backendsim.HTTPConfig{
		ID: "backend-1", Service: "booking", AnnounceURL: "http://" + addresses[2], Slots: 4, AnnounceInterval: 50 * time.Millisecond, Logger: zap.NewNop(),
	})
	ended := make(chan error, 2)
	go func() { ended <- router.Run(ctx) }()
	backendCtx, stopBackend := context.WithCancel(context.Background())
	go func() { ended <- backend.Serve(backendCtx, listener, 200*time.Millisecond) }()
	defer func() {
		stopBackend()
		g.Expect(<-ended).To(Succeed())
		cancel()
		g.Expect(<-ended).To(Succeed())
	}()

	send := func(path string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addresses[0]+path, strings.NewReader("abc"))
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = "shop.example"
		req.Header.Set(httpprotocol.RequestIDHeader, "r-1")
		req.Header.Set(httpprotocol.KeyHeader, "4711")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body)
	}
	g.Eventually(func() string {
		_, body := send("/book/1")
		return body
	}, 20*time.Second, 50*time.Millisecond).Should(Equal("backend-1 ran POST /book/1 with 3 bytes\n"))

	status, _ := send("/other/1")
	g.Expect(status).To(Equal(http.StatusNotFound))
	routes.Routes[0].Prefix = "/other/"
	g.Expect(routeStore.Apply(t.Context(), routes)).To(BeEquivalentTo(2))
	g.Eventually(func() int {
		status, _ := send("/other/1")
		return status
	}, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

// Guards against a limit that the router takes from the users' platform only.
func TestHeadersOfLimitAndLeaveAreNamed(t *testing.T) {
	g := NewWithT(t)
	h := httpprotocol.Protocol{}.Headers()
	g.Expect(h.Limit).To(Equal("Basilway-Limit"))
	g.Expect(h.Leaving).To(Equal("Basilway-Leaving"))
}

// Guards against accepting invalid announcements.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for path, body := range map[string]string{
		httpprotocol.AnnouncePath:          `{"id": "b", "service": "s", "address": "a:1"}`,
		httpprotocol.LeavePath:             `not JSON`,
		httpprotocol.AnnouncePath + "/":    `{}`,
		httpprotocol.AnnouncePath + "?x=1": `{"id": "b", "service": "s", "address": "a:1", "slots": 1, "holds": [{"from": 2, "to": 1}]}`,
	} {
		_, _, err := httpprotocol.Protocol{}.Announcement(httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		g.Expect(err).To(HaveOccurred(), path)
	}
	hb, leave, err := httpprotocol.Protocol{}.Announcement(httptest.NewRequest(http.MethodPost, httpprotocol.LeavePath,
		strings.NewReader(`{"id": "b", "service": "s", "address": "a:1", "slots": 3, "draining": true, "released": [{"from": 1, "to": 2, "handover": "t"}]}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leave).To(BeTrue())
	g.Expect(hb.Slots).To(Equal(3))
	g.Expect(hb.Released).To(HaveLen(1))
}
