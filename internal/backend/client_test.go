package backend_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
	"github.com/basilway/basilway/internal/backend"
	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/verdict"
)

// Fails if goroutines are left when the tests end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns a client and its simulated backend server, which is announced and up.
func start(t testing.TB, cfg backend.Config, sim backendsim.Config) (*backend.Client, *backendsim.Server) {
	t.Helper()
	g := NewWithT(t)
	c := backend.NewClient(cfg)
	mux := http.NewServeMux()
	mux.Handle(backend.NewAnnounceHandler(c))
	daemon := httptest.NewServer(mux)
	sim.AnnounceURL, sim.Service = daemon.URL, "booking"
	s, err := backendsim.Start("127.0.0.1:0", sim)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		s.Close()
		daemon.Close()
		c.Close()
	})
	var n backend.Notice
	g.Eventually(c.Notices(), "10s").Should(Receive(&n))
	g.Expect(n.Action).To(Equal(backend.ReportUp))
	g.Expect(n.Server.ProcessID).To(Equal(s.ProcessID()))
	return c, s
}

func request(id, method, payload string) backend.Request {
	return backend.Request{
		Service: "booking", Key: "k", Method: method, RequestID: id, Payload: []byte(payload),
		Grant: backend.Grant{Epoch: 5, NotAfter: time.Now().Add(time.Hour)}, Fingerprint: 77,
	}
}

func run(c *backend.Client, timeout time.Duration, r backend.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	res, err := c.Execute(ctx, r)
	return string(res.Payload), err
}

// Guards against wrong verdicts for the responses of the server.
func TestVerdictsOfResponses(t *testing.T) {
	g := NewWithT(t)
	c, s := start(t, backend.Config{}, backendsim.Config{ChecksGrants: true})
	g.Expect(run(c, 10*time.Second, request("1", "add", "3"))).To(Equal("3"))
	old := request("2", "add", "3")
	old.Grant.Epoch = 4
	_, err := run(c, 10*time.Second, old)
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonLeaseLost))
	s.SetFaults(backendsim.Faults{Shed: 1})
	_, err = run(c, 10*time.Second, request("3", "add", "3"))
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonOverloaded))
	s.SetFaults(backendsim.Faults{Errors: 1})
	_, err = run(c, 10*time.Second, request("4", "add", "3"))
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.Ran))
	g.Expect(s.ExecutionCount("2") + s.ExecutionCount("3")).To(BeZero())
	s.SetFaults(backendsim.Faults{})
	_, err = run(c, time.Second, request("5", "sleep", "60000"))
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.MayHaveRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonDeadline))
}

// Guards against taking an HTTP error that does not come from the backend service, such as
// the error page of a proxy, as proof of whether the request ran.
func TestForeignErrorsGiveMayHaveRun(t *testing.T) {
	for _, status := range []int{400, 404, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			c := backend.NewClient(backend.Config{ProbeInterval: time.Hour})
			defer c.Close()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer s.Close()
			c.Announce(backend.Announcement{Service: "booking", URL: s.URL, Slots: 1, ProcessID: 1})
			_, err := run(c, 10*time.Second, request("1", "add", ""))
			g.Expect(verdict.From(err).Verdict).To(Equal(verdict.MayHaveRun))
		})
	}
}

// Guards against a crash that is not detected or not attributed to the requests in flight.
func TestCrash(t *testing.T) {
	g := NewWithT(t)
	c, s := start(t, backend.Config{}, backendsim.Config{})
	s.SetFaults(backendsim.Faults{CrashPayload: "poison"})
	_, err := run(c, 10*time.Second, request("1", "echo", "poison"))
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.MayHaveRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonBackendCrashed))
	var n backend.Notice
	g.Eventually(c.Notices(), "10s").Should(Receive(&n))
	g.Expect(n.Action).To(Equal(backend.ReportDown))
	g.Expect(n.Lost).To(ConsistOf(backend.LostRequest{RequestID: "1", Fingerprint: 77}))
	_, err = run(c, 10*time.Second, request("2", "echo", ""))
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
}

// Guards against a freeze that is not detected, and against a resumed server that is not
// reported.
func TestFreeze(t *testing.T) {
	g := NewWithT(t)
	fast := backend.Config{ProbeInterval: 10 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond, FreezeAfter: 100 * time.Millisecond}
	c, s := start(t, fast, backendsim.Config{})
	s.SetFaults(backendsim.Faults{Frozen: true})
	var n backend.Notice
	g.Eventually(c.Notices(), "10s").Should(Receive(&n))
	g.Expect(n.Action).To(Equal(backend.ReportFrozen))
	_, err := run(c, 10*time.Second, request("1", "echo", ""))
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	s.SetFaults(backendsim.Faults{})
	g.Eventually(c.Notices(), "10s").Should(Receive(&n))
	g.Expect(n.Action).To(Equal(backend.ReportResumed))
}

// Guards against accepting a response although the lease ended before or during the write
// of the request.
func TestLeaseEndsAroundTheWrite(t *testing.T) {
	g := NewWithT(t)
	c, s := start(t, backend.Config{}, backendsim.Config{})
	for valid := range 3 {
		var checks atomic.Int64
		r := request(fmt.Sprint(valid), "add", "")
		r.StillOwned = func() bool { return checks.Add(1) <= int64(valid) }
		_, err := run(c, 10*time.Second, r)
		want := verdict.MayHaveRun
		if valid == 0 {
			want = verdict.NotRun
		}
		g.Expect(verdict.From(err).Verdict).To(Equal(want))
		g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonLeaseLost))
	}
	g.Expect(s.ExecutionCount("0")).To(BeZero())
	g.Expect(c.Status().LateWrites).To(BeEquivalentTo(2))
}

// Guards against a new server process that is not detected because the connections to the
// old one still work.
func TestNewProcess(t *testing.T) {
	g := NewWithT(t)
	c, _ := start(t, backend.Config{}, backendsim.Config{AnnounceInterval: time.Hour})
	other, err := backendsim.Start("127.0.0.1:0", backendsim.Config{})
	g.Expect(err).NotTo(HaveOccurred())
	defer other.Close()
	c.Announce(backend.Announcement{Service: "booking", URL: other.URL(), Slots: 2, ProcessID: other.ProcessID()})
	actions := []backend.Action{(<-c.Notices()).Action, (<-c.Notices()).Action}
	g.Expect(actions).To(Equal([]backend.Action{backend.ReportDown, backend.ReportUp}))
	g.Expect(run(c, 10*time.Second, request("1", "echo", "x"))).To(Equal("x"))
	g.Expect(other.ExecutionCount("1")).To(Equal(1))
}

// Guards against accepting an invalid announcement, which would replace a working server.
func TestAnnouncementsAreChecked(t *testing.T) {
	g := NewWithT(t)
	c := backend.NewClient(backend.Config{Service: "booking", Instance: "i"})
	defer c.Close()
	mux := http.NewServeMux()
	mux.Handle(backend.NewAnnounceHandler(c))
	daemon := httptest.NewServer(mux)
	defer daemon.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := backendv1connect.NewAnnounceServiceClient(&http.Client{Transport: transport}, daemon.URL)
	announce := func(service, url string, slots uint32) connect.Code {
		_, err := client.Announce(context.Background(), connect.NewRequest(&backendv1.AnnounceRequest{
			Service: service, Url: url, Slots: slots, ProcessId: 1,
		}))
		return connect.CodeOf(err)
	}
	g.Expect(announce("other", "http://127.0.0.1:1", 1)).To(Equal(connect.CodeInvalidArgument))
	g.Expect(announce("booking", "file:///x", 1)).To(Equal(connect.CodeInvalidArgument))
	g.Expect(announce("booking", "http://127.0.0.1:1", 0)).To(Equal(connect.CodeInvalidArgument))
	g.Expect(c.Status().State).To(Equal(backend.Unknown))
}

// Guards against a NotRun verdict for a request that ran, a Ran verdict for one that did
// not, and a request that runs twice, while the server sheds, fails, is slow and crashes.
func TestVerdictsUnderFaults(t *testing.T) {
	g := NewWithT(t)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	c, s := start(t, backend.Config{}, backendsim.Config{Seed: seed, Slots: 4, MaxQueue: 4, ServiceTime: time.Millisecond})
	s.SetFaults(backendsim.Faults{Shed: 0.1, Errors: 0.1, CrashPayload: "poison"})
	var group sync.WaitGroup
	var notRun sync.Map
	for worker := range 16 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(worker)))
			for i := range 100 {
				id, payload := fmt.Sprintf("%d/%d", worker, i), "1"
				if worker == 0 && i == 99 {
					payload = "poison"
				}
				_, err := run(c, time.Duration(rng.IntN(4000))*time.Microsecond, request(id, "add", payload))
				got := verdict.Ran
				var failure *verdict.Error
				if errors.As(err, &failure) {
					got = failure.Verdict
				} else if err != nil {
					t.Errorf("error %v has no verdict", err)
				}
				if got == verdict.NotRun {
					notRun.Store(id, true)
				}
				runs := s.ExecutionCount(id)
				if runs > 1 || got == verdict.NotRun && runs != 0 || got == verdict.Ran && runs != 1 {
					t.Errorf("request %s ran %d times with verdict %s", id, runs, got)
				}
			}
		})
	}
	group.Wait()
	s.Close()
	notRun.Range(func(id, _ any) bool {
		g.Expect(s.ExecutionCount(id.(string))).To(BeZero(), "request %s ran after its caller got the verdict NotRun", id)
		return true
	})
	g.Expect(s.Executions().Repeated).To(BeZero())
}

// BenchmarkExecute measures requests to a backend server whose service time is 0.
func BenchmarkExecute(b *testing.B) {
	c, _ := start(b, backend.Config{}, backendsim.Config{Slots: 64, LogSize: 1000})
	r := request("", "echo", string(make([]byte, 200)))
	b.ReportAllocs()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Execute(context.Background(), r); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
