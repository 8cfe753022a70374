package backendsim_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
	"github.com/basilway/basilway/internal/backendsim"
)

func start(t *testing.T, cfg backendsim.Config) (*backendsim.Server, backendv1connect.BackendServiceClient) {
	t.Helper()
	s, err := backendsim.Start("127.0.0.1:0", cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(s.Close)
	return s, backendv1connect.NewBackendServiceClient(http.DefaultClient, s.URL())
}

func call(c backendv1connect.BackendServiceClient, req *backendv1.ExecuteRequest) (string, error) {
	res, err := c.Execute(context.Background(), connect.NewRequest(req))
	if err != nil {
		return "", err
	}
	return string(res.Msg.GetPayload()), nil
}

// Guards against a stand-in that loses state or miscounts executions. The at-most-once
// assertions of other tests depend on both.
func TestMethodsAndLog(t *testing.T) {
	g := NewWithT(t)
	s, c := start(t, backendsim.Config{})
	add := &backendv1.ExecuteRequest{Key: "k", Method: "add", Payload: []byte("2"), RequestId: "id"}
	g.Expect(call(c, add)).To(Equal("2"))
	g.Expect(call(c, add)).To(Equal("4"))
	g.Expect(s.ExecutionCount("id")).To(Equal(2))
	g.Expect(s.Executions().Repeated).To(BeEquivalentTo(1))
	g.Expect(call(c, &backendv1.ExecuteRequest{Key: "p", Method: "put", Payload: []byte("v")})).To(BeEmpty())
	g.Expect(call(c, &backendv1.ExecuteRequest{Key: "p", Method: "get"})).To(Equal("v"))
	_, err := call(c, &backendv1.ExecuteRequest{Key: "p", Method: "none"})
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnimplemented))
}

// Guards against a stand-in that runs requests with expired or superseded grants.
func TestGrants(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t, backendsim.Config{ChecksGrants: true})
	execute := func(epoch uint64, notAfter time.Time) error {
		_, err := call(c, &backendv1.ExecuteRequest{Key: "k", Method: "add",
			Grant: &backendv1.Grant{Epoch: epoch, NotAfterUs: notAfter.UnixMicro()}})
		return err
	}
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	g.Expect(execute(5, later)).To(Succeed())
	g.Expect(connect.CodeOf(execute(4, later))).To(Equal(connect.CodeFailedPrecondition))
	g.Expect(connect.CodeOf(execute(6, past))).To(Equal(connect.CodeFailedPrecondition))
	g.Expect(call(c, &backendv1.ExecuteRequest{Key: "k", Method: "get",
		Grant: &backendv1.Grant{Epoch: 5, NotAfterUs: later.UnixMicro()}})).To(Equal("1"))
}

// Guards against a frozen stand-in that responds, or that drops requests when it resumes.
func TestFreezeResumes(t *testing.T) {
	g := NewWithT(t)
	s, c := start(t, backendsim.Config{})
	res, err := http.Post(s.URL()+"/control", "application/json", strings.NewReader(`{"frozen":true}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Body.Close()).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Execute(ctx, connect.NewRequest(&backendv1.ExecuteRequest{Key: "k", Method: "add", RequestId: "id"}))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeDeadlineExceeded))
	g.Expect(s.ExecutionCount("id")).To(BeZero())
	s.SetFaults(backendsim.Faults{})
	g.Eventually(func() int { return s.ExecutionCount("id") }, "10s").Should(Equal(1))
}

// Guards against a crash that still sends a response or leaves the listener open.
func TestCrash(t *testing.T) {
	g := NewWithT(t)
	crashed := make(chan struct{})
	s, c := start(t, backendsim.Config{OnCrash: func() { close(crashed) }})
	s.SetFaults(backendsim.Faults{CrashPayload: "poison"})
	_, err := call(c, &backendv1.ExecuteRequest{Key: "k", Method: "echo", Payload: []byte("poison")})
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
	g.Eventually(crashed, "10s").Should(BeClosed())
	_, err = call(c, &backendv1.ExecuteRequest{Key: "k", Method: "echo"})
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
}

// Guards against a server that queues without limit instead of shedding load.
func TestShedsWhenQueueIsFull(t *testing.T) {
	g := NewWithT(t)
	s, c := start(t, backendsim.Config{Slots: 1, MaxQueue: 1})
	s.SetFaults(backendsim.Faults{Shed: 1})
	_, err := call(c, &backendv1.ExecuteRequest{Method: "echo", RequestId: "shed"})
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
	g.Expect(s.ExecutionCount("shed")).To(BeZero())
	s.SetFaults(backendsim.Faults{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go func() {
			// A probe may occupy the queue, so a request that was shed is sent again.
			for ctx.Err() == nil {
				_, _ = c.Execute(ctx, connect.NewRequest(&backendv1.ExecuteRequest{Method: "sleep", Payload: []byte("60000")}))
			}
		}()
	}
	g.Eventually(func() connect.Code {
		probe, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		defer stop()
		_, err := c.Execute(probe, connect.NewRequest(&backendv1.ExecuteRequest{Method: "echo"}))
		return connect.CodeOf(err)
	}, "10s").Should(Equal(connect.CodeResourceExhausted))
}
