package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/internal/config"
	"github.com/basilway/basilway/internal/daemon"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore/memory"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "Daemon")
}

// node is a daemon with its backend server.
type node struct {
	daemon  *daemon.Daemon
	backend *backendsim.Server
	stop    context.CancelFunc
	done    chan error
}

// suiteLease returns a configuration with leases that outlast pauses of some seconds, so
// that a slow test run does not end them.
func suiteLease() lease.Config {
	c := lease.DefaultConfig()
	c.GrantDuration = 4 * time.Second
	return c
}

func startNode(store *memory.Store, name string, keys config.Keys) *node {
	d, err := daemon.New(daemon.Config{
		Instance: name, Zone: "kyushu/" + name, Listen: "127.0.0.1:0", OperatorKeys: keys,
		Table: store, Objects: store.Objects(), Lease: suiteLease(),
	}, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	n := &node{daemon: d, stop: stop, done: make(chan error, 1)}
	go func() { n.done <- d.Run(ctx) }()
	n.backend, err = backendsim.Start("127.0.0.1:0", backendsim.Config{
		Service: "booking", AnnounceURL: "http://" + d.Address(), AnnounceInterval: 100 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	return n
}

func (n *node) url() string { return "http://" + n.daemon.Address() }

func (n *node) router() basilwayv1connect.RouterServiceClient {
	return basilwayv1connect.NewRouterServiceClient(http.DefaultClient, n.url())
}

func (n *node) catalogue() basilwayv1connect.CatalogueServiceClient {
	return basilwayv1connect.NewCatalogueServiceClient(http.DefaultClient, n.url())
}

func (n *node) admin() basilwayv1connect.AdminServiceClient {
	return basilwayv1connect.NewAdminServiceClient(http.DefaultClient, n.url())
}

func (n *node) call(r *basilwayv1.CallRequest) (*basilwayv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reply, err := n.router().Call(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

func (n *node) apply(e *basilwayv1.CatalogueEntry, expected uint64) (uint64, error) {
	reply, err := n.catalogue().ApplyEntry(context.Background(),
		connect.NewRequest(&basilwayv1.ApplyEntryRequest{Entry: e, ExpectedVersion: expected}))
	if err != nil {
		return 0, err
	}
	return reply.Msg.Entry.Version, nil
}

func entry(service string) *basilwayv1.CatalogueEntry {
	return &basilwayv1.CatalogueEntry{Service: service, Owner: "hinokuni", Class: "critical"}
}

func add(key string) *basilwayv1.CallRequest {
	return &basilwayv1.CallRequest{Service: "booking", Key: key, Method: "add", Payload: []byte("1"),
		RequestId: uuid.Must(uuid.NewV7()).String(), FirstCall: true}
}

// errorDetail returns the verdict and the reason of a failed call.
func errorDetail(err error) (basilwayv1.Verdict, string) {
	var ce *connect.Error
	Expect(errors.As(err, &ce)).To(BeTrue(), "%v", err)
	for _, d := range ce.Details() {
		value, valueErr := d.Value()
		Expect(valueErr).NotTo(HaveOccurred())
		if e, ok := value.(*basilwayv1.ErrorDetail); ok {
			return e.Verdict, e.Reason
		}
	}
	return basilwayv1.Verdict_VERDICT_UNSPECIFIED, ""
}

var _ = Describe("three daemons", Ordered, func() {
	var store *memory.Store
	var nodes []*node

	status := func(n *node) *basilwayv1.GetStatusResponse {
		reply, err := n.admin().GetStatus(context.Background(), connect.NewRequest(&basilwayv1.GetStatusRequest{}))
		Expect(err).NotTo(HaveOccurred())
		return reply.Msg
	}
	owned := func(n *node) uint32 { return status(n).RangesOwned }

	BeforeAll(func() {
		store = memory.New(memory.Rates{Reads: 2000, Writes: 300}, 1)
		nodes = append(nodes, startNode(store, "i0", nil))
		// The first daemon owns everything, so the others get keys only by moves.
		Eventually(func() uint32 { return owned(nodes[0]) }).Should(BeNumerically(">", 0))
		for i := 1; i < 3; i++ {
			nodes = append(nodes, startNode(store, fmt.Sprintf("i%d", i), nil))
		}
		Eventually(func() error { _, err := nodes[0].apply(entry("booking"), 0); return err }).Should(Succeed())
		for _, n := range nodes {
			Eventually(func() error { _, err := n.call(add("warm")); return err }).Should(Succeed())
		}
		for _, n := range nodes {
			Eventually(func() uint32 { return status(n).LeaseWitnesses }).Should(BeEquivalentTo(3))
		}
		Eventually(func() bool { return owned(nodes[0]) > 0 && owned(nodes[1]) > 0 && owned(nodes[2]) > 0 }).Should(BeTrue())
	})

	AfterAll(func() {
		for _, n := range nodes {
			n.stop()
			Eventually(n.done).Should(Receive())
			n.backend.Close()
		}
	})

	It("runs a request once whichever daemon is called, and repeats its response", func() {
		for i := range 20 {
			request := add(fmt.Sprintf("once-%d", i))
			first, err := nodes[i%3].call(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(first.Payload).To(BeEquivalentTo("1"))
			request.FirstCall = false
			again, err := nodes[(i+1)%3].call(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Payload).To(BeEquivalentTo("1"))
			Expect(again.Repeated).To(BeTrue())
			runs := 0
			for _, n := range nodes {
				runs += n.backend.ExecutionCount(request.RequestId)
			}
			Expect(runs).To(Equal(1))
		}
	})

	DescribeTable("rejects invalid requests with a verdict and keeps serving",
		func(change func(*basilwayv1.CallRequest), reason string) {
			request := add("bad")
			change(request)
			_, err := nodes[1].call(request)
			v, got := errorDetail(err)
			Expect(got).To(Equal(reason))
			Expect(v).To(Equal(basilwayv1.Verdict_VERDICT_NOT_RUN))
			_, err = nodes[1].call(add("good"))
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("no key", func(r *basilwayv1.CallRequest) { r.Key = "" }, "invalid_request"),
		Entry("a long key", func(r *basilwayv1.CallRequest) { r.Key = strings.Repeat("k", 1025) }, "invalid_request"),
		Entry("unknown service", func(r *basilwayv1.CallRequest) { r.Service = "nosuch" }, "unknown_service"),
		Entry("no request id", func(r *basilwayv1.CallRequest) { r.RequestId = "" }, "invalid_request"),
		Entry("a random request id", func(r *basilwayv1.CallRequest) { r.RequestId = uuid.NewString() }, "invalid_request"),
		Entry("a large payload", func(r *basilwayv1.CallRequest) { r.Payload = make([]byte, 2<<20) }, "invalid_request"),
		Entry("a request id from the future", func(r *basilwayv1.CallRequest) { r.RequestId = "7fffffff-ffff-7000-8000-000000000000" }, "invalid_request"),
	)

	It("rejects the later of two edits of a version and returns the current entry", func() {
		version, err := nodes[0].apply(entry("records"), 0)
		Expect(err).NotTo(HaveOccurred())
		changed := entry("records")
		changed.Class = "background"
		second, err := nodes[1].apply(changed, version)
		Expect(err).NotTo(HaveOccurred())
		_, err = nodes[2].apply(entry("records"), version)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
		var ce *connect.Error
		Expect(errors.As(err, &ce)).To(BeTrue())
		value, err := ce.Details()[0].Value()
		Expect(err).NotTo(HaveOccurred())
		Expect(value.(*basilwayv1.CatalogueConflict).Current.Version).To(Equal(second))
		Expect(value.(*basilwayv1.CatalogueConflict).Current.Class).To(Equal("background"))
	})

	It("enforces an edited limit on every daemon without a restart", func() {
		get, err := nodes[0].catalogue().GetEntries(context.Background(),
			connect.NewRequest(&basilwayv1.GetEntriesRequest{Service: "booking"}))
		Expect(err).NotTo(HaveOccurred())
		limited := get.Msg.Entries[0]
		limited.Limits = &basilwayv1.Limits{RatePerSecond: 0.001, Burst: 1}
		version, err := nodes[1].apply(limited, limited.Version)
		Expect(err).NotTo(HaveOccurred())
		// Each backend server lets one more request through at most.
		for i, n := range nodes {
			Eventually(func() string {
				_, err := n.call(add(fmt.Sprintf("limited-%d-%d", i, time.Now().UnixNano())))
				if err == nil {
					return ""
				}
				_, reason := errorDetail(err)
				return reason
			}).Should(Equal("rate_limited"))
		}
		_, err = nodes[2].apply(entry("booking"), version)
		Expect(err).NotTo(HaveOccurred())
		for i, n := range nodes {
			Eventually(func() error { _, err := n.call(add(fmt.Sprintf("free-%d", i))); return err }).Should(Succeed())
		}
	})

	It("rejects edits while the store is down and keeps serving", func() {
		store.SetFaults(memory.Faults{Down: true})
		_, err := nodes[0].apply(entry("late"), 0)
		v, reason := errorDetail(err)
		Expect(v).To(Equal(basilwayv1.Verdict_VERDICT_NOT_RUN))
		Expect(reason).To(Equal("store_unavailable"))
		// Longer than a grant, so that leases that only the store renews would have ended.
		deadline := time.Now().Add(6 * time.Second)
		for i := 0; time.Now().Before(deadline); i++ {
			_, err := nodes[i%3].call(add(fmt.Sprintf("down-%d", i)))
			Expect(err).NotTo(HaveOccurred())
		}
		store.SetFaults(memory.Faults{})
		_, err = nodes[0].apply(entry("late"), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("moves all keys away when it is stopped, and no request fails", func() {
		failed := make(chan error, 1)
		stopCalls := make(chan struct{})
		go func() {
			defer close(failed)
			for i := 0; ; i++ {
				select {
				case <-stopCalls:
					return
				default:
				}
				if _, err := nodes[i%2].call(add(fmt.Sprintf("drain-%d", i))); err != nil {
					failed <- err
					return
				}
			}
		}()
		nodes[2].stop()
		Eventually(nodes[2].done).Should(Receive(BeNil()))
		close(stopCalls)
		Expect(<-failed).NotTo(HaveOccurred())
		Eventually(func() uint32 { return owned(nodes[0]) + owned(nodes[1]) }).Should(BeNumerically(">", 0))
		nodes[2].done <- nil // for AfterAll
	})
})

var _ = Describe("operator keys", func() {
	It("are required for calls of the catalogue once they are set", func() {
		store := memory.New(memory.Rates{}, 1)
		n := startNode(store, "guarded", config.Keys{"old-operator-key-1", "new-operator-key-2"})
		DeferCleanup(func() {
			n.stop()
			Eventually(n.done).Should(Receive())
			n.backend.Close()
		})
		for key, want := range map[string]connect.Code{
			"": connect.CodeUnauthenticated, "old-operator-key": connect.CodeUnauthenticated,
			"old-operator-key-1": connect.CodeNotFound, "new-operator-key-2": connect.CodeNotFound,
		} {
			request := connect.NewRequest(&basilwayv1.GetEntriesRequest{Service: "nosuch"})
			request.Header().Set("Authorization", "Bearer "+key)
			_, err := n.catalogue().GetEntries(context.Background(), request)
			Expect(connect.CodeOf(err)).To(Equal(want), "key %q", key)
		}
	})
})
