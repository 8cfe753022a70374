package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/verdict"
)

// countingProxy passes connections on to a target and counts their bytes.
func countingProxy(t *testing.T, target string) (address string, passed *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	passed = &atomic.Int64{}
	pass := func(to, from net.Conn) {
		defer to.Close()
		_, _ = io.Copy(io.MultiWriter(countWriter{passed}, to), from)
	}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				from.Close()
				continue
			}
			go pass(to, from)
			go pass(from, to)
		}
	}()
	return l.Addr().String(), passed
}

type countWriter struct{ n *atomic.Int64 }

func (w countWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return len(b), nil
}

// forwarder forwards requests from a node to itself through a countingProxy and records what
// arrives at the backend server.
type forwarder struct {
	*testNode
	member Member
	passed *atomic.Int64
	seen   string
}

func newForwarder(t *testing.T) *forwarder {
	n := single(t)
	f := &forwarder{testNode: n}
	address, passed := countingProxy(t, n.config.PeerAddress)
	f.member, f.passed = Member{Address: address, Owner: n.Node.backend.owner()}, passed
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	n.sim.observe = func(h http.Header, r *http.Request) {
		seen := r.Header.Clone()
		seen.Del(simDeadline) // differs with the time left
		seen.Set("Host", r.Host)
		f.seen = fmt.Sprint(seen)
		h.Set("X-Backend", n.sim.id)
		h.Set("Content-Type", "application/json")
		h.Set("Date", "Fri, 04 Dec 2026 15:16:00 GMT")
		h[compactHeader] = r.Header[compactHeader] // of the client
	}
	return f
}

// forward forwards a request and returns its outcome, the header and body of the response,
// the form and the bytes on the connection.
func (f *forwarder) forward(t *testing.T, key string, change func(http.Header)) (out outcome, received string, form messageForm, bytes int64) {
	g := NewWithT(t)
	const id = "4f1c20a9d3e85b67"
	header := http.Header{
		simID: {id}, simKey: {key}, simDeadline: {"1200"}, simExpect: {"forged"}, simCaller: {"booking"}, "User-Agent": {"app/1.0"},
		"Content-Type": {"application/json"},
	}
	change(header)
	e := httpclient.Exchange{Method: http.MethodPost, URI: "/book/a%2Fb?q=1", Host: "shop.example:80", Header: header, Body: []byte("payload"), IDHeader: simID, ID: id}
	number, hasKey := parseKey(key)
	now := time.Now()
	routes := f.views.current().Routes
	booking := ticket{
		instance: f.config.Instance, service: "booking", route: "book", sharded: true, key: number, priority: 1, nested: !hasKey,
		target: now.Add(time.Second), deadline: now.Add(2 * time.Second), fingerprint: 0x1234567890abcdef, routes: routes.Digest,
	}
	before := f.passed.Load()
	resp, form, err := f.sendForwarded(t.Context(), f.member, booking, e)
	out = f.forwardOutcome(t.Context(), f.member, resp, form, err)
	if out.resp != nil {
		body, err := io.ReadAll(out.resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		out.resp.Body.Close()
		received = fmt.Sprint(out.resp.StatusCode, out.resp.Header, string(body))
	}
	return out, received, form, f.passed.Load() - before
}

// Guards against compact messages that change what the backend server or the client gets,
// and that do not save bytes.
func TestCompactFormChangesNothingButBytes(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	for name, change := range map[string]func(http.Header){
		"usual":                func(http.Header) {},
		"caller not a service": func(h http.Header) { h[simCaller] = []string{"elsewhere"} },
		"two keys":             func(h http.Header) { h[simKey] = []string{"7", "8"} },
		"key with zeros":       func(h http.Header) { h[simKey] = []string{"007"} },
		"header of that name":  func(h http.Header) { h[compactHeader] = []string{"a", "b"} },
	} {
		f.peers.getLocked(f.member.Address).compact = false
		named, wantResponse, form, bytesNamed := f.forward(t, "7", change)
		g.Expect(form).To(Equal(namedForm))
		g.Expect(named.err).To(BeNil(), name)
		wantRequest := f.seen
		compact, response, form, bytesCompact := f.forward(t, "7", change)
		g.Expect(form).To(Equal(compactForm))
		g.Expect(compact.err).To(BeNil(), name)
		g.Expect(f.seen).To(Equal(wantRequest), name)
		g.Expect(response).To(Equal(wantResponse), name)
		g.Expect(compact.load.incarnation).To(Equal(f.member.Owner.Incarnation))
		g.Expect(compact.load.slots).To(Equal(named.load.slots))
		if name == "usual" {
			// Earlier versions did not send the named fields behind the load.
			_, added, _ := strings.Cut(named.load.encode(), " ")
			before := bytesNamed - int64(len(" "+added))
			t.Logf("%d bytes before, %d named, %d compact", before, bytesNamed, bytesCompact)
			g.Expect(float64(bytesCompact)).To(BeNumerically("<", 0.7*float64(before)))
		}
	}
}

// Guards against requests that fail because two nodes do not have the same desired state yet:
// the receiver refuses the compact form, and the named one follows at once.
func TestCompactFormIsRefusedWithoutTheSameDesiredState(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	_, _, _, _ = f.forward(t, "7", func(http.Header) {})
	f.member.Owner.Incarnation = "another"
	out, _, form, _ := f.forward(t, "7", func(http.Header) {})
	g.Expect(form).To(Equal(namedForm))
	g.Expect(out.err).To(BeNil())
	g.Expect(f.peers.acceptsCompact(f.member.Address)).To(BeFalse())
	g.Expect(f.sim.maxRuns()).To(Equal(2), "one run for each of the two requests with this id")
}

// Guards against a failure that is taken for a response, and against a lost reason.
func TestCompactFormCarriesRefusals(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	_, _, _, _ = f.forward(t, "7", func(http.Header) {})
	f.withBackend(func(b *backend) { b.state = BackendDown })
	f.stopHeartbeats()
	f.withBackend(func(b *backend) { b.state = BackendDown })
	out, _, form, _ := f.forward(t, "7", func(http.Header) {})
	g.Expect(form).To(Equal(compactForm))
	g.Expect(out.err).To(HaveField("Reason", verdict.ReasonBackendDown))
	g.Expect(out.load.known).To(BeTrue())
}

// Guards against an unknown form that is served, or that the sender waits for until its
// deadline.
func TestUnknownFormIsRefused(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	for _, value := range []string{"9:unknown", "gA", encodeCompact(compactTicket{Context: agreement(1, n.config.Instance, "other")})} {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+n.config.PeerAddress+"/book/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header = http.Header{compactHeader: {value}, simID: {"u"}, simKey: {"7"}}
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		g.Expect(string(body)).To(ContainSubstring("not a request of a node"))
		g.Expect(resp.Header).To(HaveKeyWithValue(simID, []string{"u"}))
		g.Expect(resp.Header).NotTo(HaveKey("Date"))
		g.Expect(refusesForm(resp)).To(BeTrue())
	}
	g.Expect(n.sim.ran("u")).To(BeZero())
}

// Guards against a rolling restart in which nodes of the earlier version cannot read the load,
// or in which theirs is taken for a sign that they understand compact messages.
func TestLoadIsUnderstoodByEarlierVersions(t *testing.T) {
	g := NewWithT(t)
	l := peerLoad{known: true, running: 2, waiting: 3, slots: 4, work: time.Second, queued: time.Millisecond, incarnation: "b@17"}
	g.Expect(decodeOldPeerLoad(l.encode())).To(Equal(l))
	old, _, _ := strings.Cut(l.encode(), " ")
	decoded, compact := decodePeerLoad(old)
	g.Expect(decoded).To(Equal(l))
	g.Expect(compact).To(BeFalse())
	decoded, compact = decodePeerLoad(l.encode())
	g.Expect(decoded).To(Equal(l))
	g.Expect(compact).To(BeTrue())
}

// Guards against nodes that agree although their desired states differ in more than the
// version, which may be used again after the store went back.
func TestDigestCoversTheWholeDesiredState(t *testing.T) {
	g := NewWithT(t)
	build := func(priority int, services ...string) uint64 {
		s := httproute.Snapshot{Version: 3, Routes: []httproute.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Priority: priority, Destinations: []httproute.Destination{{Service: services[0], Weight: 1}}}}}
		for _, name := range services {
			s.Services = append(s.Services, httproute.Service{Name: name})
		}
		table, err := httproute.NewTable(s)
		g.Expect(err).NotTo(HaveOccurred())
		return table.Digest
	}
	g.Expect(build(1, "a", "b")).To(Equal(build(1, "a", "b")))
	g.Expect(build(1, "a", "b")).NotTo(Equal(build(2, "a", "b")))
	g.Expect(build(1, "a", "b")).NotTo(Equal(build(1, "a", "c")))
}
