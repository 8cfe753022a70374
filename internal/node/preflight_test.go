package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/preflight"
	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

// largeBody is a body that is worth a question.
var largeBody = strings.Repeat("x", 4000)

// zonePair is a sender and an owner of key, in two availability zones.
type zonePair struct {
	sender, owner *testNode
	key           int
}

func newZonePair(t *testing.T, preferZone bool, zones ...string) *zonePair {
	t.Helper()
	c := newTestCluster(t, 0)
	c.zones, c.preferZone = zones, preferZone
	p := &zonePair{sender: c.add("instance-0"), owner: c.add("instance-1")}
	c.waitSettled()
	p.key = p.owner.ownedKey()
	return p
}

// fill occupies the owner's slots and its queue with requests of a higher priority that do not end.
func (p *zonePair) fill() {
	q := p.owner.Node.backend.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for i := range 300 {
		q.queue.Offer(waitqueue.Item{ID: waitqueue.ID(1_000_000 + i), Route: "book", Target: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, now)
	}
}

// refuseMost makes the sender see many refusals of the route.
func (p *zonePair) refuseMost() {
	for range 20 {
		p.sender.preflights.observe("book", outcome{err: overloadRefusal(0)}, time.Now())
	}
}

func (p *zonePair) send(t *testing.T, id, body string) (int, string, http.Header) {
	t.Helper()
	status, answer, header, err := send(context.Background(), "POST", p.sender.config.ClientAddress, "/book/x", id, p.key, body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return status, answer, header
}

func (n *Node) admitQuestions(answer admitAnswer) int {
	return int(n.metrics.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_admission_questions_total{answer=%q}`, answer)).Get())
}

func (n *Node) allAdmitQuestions() int {
	return n.admitQuestions(admitRefused) + n.admitQuestions(admitForwarded) + n.admitQuestions(admitFailed)
}

// Guards against the body of a refused request that crosses the link between availability zones, and
// against a refusal that differs from that of the queue.
func TestBodyOfRefusedRequestDoesNotCross(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newZonePair(t, true, "a", "b")
	p.fill()
	status, wantAnswer, wantHeader := p.send(t, "not asked", largeBody)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(p.sender.allAdmitQuestions()).To(BeZero(), "one refusal is no reason to ask")
	sent := p.sender.peerBytesTotal("requests", "other")
	g.Expect(sent).To(BeNumerically(">", 4000))

	p.refuseMost()
	status, answer, header := p.send(t, "asked", largeBody)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	// The expected wait falls with the time between the two.
	const text = "overloaded (not_run): expected wait 1m"
	g.Expect(wantAnswer).To(HavePrefix(text))
	g.Expect(answer).To(HavePrefix(text))
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	wantAfter, err := strconv.ParseFloat(wantHeader.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically("~", wantAfter, 0.05))
	g.Expect(p.sender.admitQuestions(admitRefused)).To(Equal(1))
	g.Expect(p.sender.allAdmitQuestions()).To(Equal(1))
	g.Expect(p.sender.peerBytesTotal("requests", "other")).To(Equal(sent))
	g.Expect(p.owner.sim.ran("asked")).To(BeZero())

	// The constant stands for a route name of 20 bytes.
	cost := p.sender.peerBytesTotal("admit", "other") + 20 - len("book")
	t.Logf("a question and its refusal take %d bytes", cost)
	g.Expect(float64(cost)).To(BeNumerically("~", preflight.QuestionBytes, 0.1*preflight.QuestionBytes))
}

// Guards against a refusal that is found by a question and not counted like any other: the node
// would go on to send requests to a backend server that refuses them all.
func TestRefusalFoundByQuestionCounts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newZonePair(t, true, "a", "b")
	p.fill()
	m := p.sender.views.current().Members[p.owner.config.Instance]
	var out outcome
	for i := range 60 {
		p.refuseMost()
		e := newTestExchange(fmt.Sprint("r", i))
		e.Body = []byte(largeBody)
		if out = p.sender.forward(t.Context(), m, p.ticket(), e); strings.Contains(out.err.Message, "refuses most requests") {
			break
		}
		g.Expect(out.err).To(HaveField("Verdict", verdict.NotRun))
		g.Expect(out.err).To(HaveField("Reason", verdict.ReasonOverloaded))
		g.Expect(out.err.RetryAfter).To(Equal(waitqueue.DefaultConfig().MaxRetryAfter))
		g.Expect(out.arrived).To(BeFalse())
		g.Expect(out.load).To(Equal(peerLoad{known: true, running: 4, waiting: 296, slots: 4}))
	}
	g.Expect(out.err.Message).To(ContainSubstring("refuses most requests"), "the throttle counts them")
	c := p.sender.peers.candidate(m.Address, time.Millisecond, false, time.Now())
	g.Expect(c.RefusalRate).To(BeNumerically(">", 0.9))
	g.Expect(c.Reported).To(Equal(300))
	g.Expect(c.Outstanding).To(BeZero())
	g.Expect(c.FailureRate).To(BeZero(), "a refusal is no failure")
	g.Expect(p.owner.Node.backend.queue.load().waiting).To(Equal(296), "questions are no arrivals")
	g.Expect(p.sender.admitQuestions(admitRefused)).To(Equal(p.sender.allAdmitQuestions()))
	g.Expect(p.sender.peerBytesTotal("requests", "other")).To(BeZero())
}

// ticket returns that of a request to the owner.
func (p *zonePair) ticket() ticket {
	now := time.Now()
	return ticket{service: "booking", route: "book", sharded: true, key: uint16(p.key), priority: 1, target: now.Add(time.Second), deadline: now.Add(2 * time.Second)}
}

// Guards against a question that takes the place of its request.
func TestAdmittedRequestIsServedAfterAQuestion(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newZonePair(t, true, "a", "b")
	p.refuseMost()
	status, answer, _ := p.send(t, "admitted", largeBody)
	g.Expect(status).To(Equal(http.StatusOK), answer)
	g.Expect(answer).To(HaveSuffix(largeBody))
	g.Expect(p.sender.admitQuestions(admitForwarded)).To(Equal(1))
	g.Expect(p.sender.allAdmitQuestions()).To(Equal(1))
	g.Expect(p.owner.sim.ran("admitted")).To(Equal(1))
}

// Guards against questions where they save nothing or are not configured.
func TestQuestionsOnlyWhereTheySaveBytes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		preferZone bool
		zones      []string
		body       string
	}{
		"not configured": {false, []string{"a", "b"}, largeBody},
		"same zone":      {true, []string{"a"}, largeBody},
		"short body":     {true, []string{"a", "b"}, "short"},
		"streamed body":  {true, []string{"a", "b"}, strings.Repeat("x", maxBufferedBody+1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newZonePair(t, c.preferZone, c.zones...)
			p.refuseMost()
			status, _, _ := p.send(t, "r", c.body)
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(p.sender.allAdmitQuestions()).To(BeZero())
		})
	}
}

// Guards against requests that fail, or wait long, because the other node does not know the question,
// never answers it or answers nonsense. A failed question is not repeated before each request.
func TestFailedQuestionChangesNothing(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func(n *testNode, release chan struct{}) http.HandlerFunc{
		"earlier version": func(n *testNode, _ chan struct{}) http.HandlerFunc {
			return n.peerHandler(http.NewServeMux())
		},
		"no answer": func(_ *testNode, release chan struct{}) http.HandlerFunc {
			return func(_ http.ResponseWriter, _ *http.Request) { <-release }
		},
		"connection closed": func(_ *testNode, _ chan struct{}) http.HandlerFunc {
			return func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
		},
		"not CBOR": func(_ *testNode, _ chan struct{}) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("\xff\xffno")) }
		},
		"empty": func(_ *testNode, _ chan struct{}) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newZonePair(t, true, "a", "b")
			release := make(chan struct{})
			admit, others := answer(p.owner, release), p.owner.peerHandler(p.owner.peerCalls())
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == admitPath {
					admit(w, r)
					return
				}
				others(w, r)
			}))
			t.Cleanup(server.Close)
			t.Cleanup(func() { close(release) }) // before the server closes
			m := p.sender.views.current().Members[p.owner.config.Instance]
			m.Address = server.Listener.Addr().String()
			for i := range 3 {
				p.refuseMost()
				id := fmt.Sprint("r", i)
				header := http.Header{simID: {id}, simKey: {strconv.Itoa(p.key)}, simDeadline: {"2000"}}
				e := httpclient.Exchange{Method: http.MethodPost, URI: "/book/x", Host: "shop.example", Header: header, IDHeader: simID, ID: id, Body: []byte(largeBody)}
				started := time.Now()
				out := p.sender.forward(t.Context(), m, p.ticket(), e)
				g.Expect(out.err).To(BeNil())
				g.Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
				g.Expect(out.resp.StatusCode).To(Equal(http.StatusOK))
				out.resp.Body.Close()
				g.Expect(p.owner.sim.ran(id)).To(Equal(1))
			}
			g.Expect(p.sender.admitQuestions(admitFailed)).To(Equal(1))
			g.Expect(p.sender.allAdmitQuestions()).To(Equal(1))
			g.Expect(p.sender.peers.isLost(m.Address)).To(BeFalse())
		})
	}
}

// Guards against an overload refusal of a request that the node would refuse for another reason, or
// that waits for its key: the sender follows the key's owner only if it is told.
func TestQuestionLeavesOtherRefusalsToTheRequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newZonePair(t, true, "a", "b")
	p.fill()
	ask := func(key uint16) int {
		booking := p.ticket()
		booking.key = key
		body, err := cbor.Marshal(booking.admitQuestion(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		p.owner.serveAdmit(recorder, httptest.NewRequest(http.MethodPost, admitPath, strings.NewReader(string(body))))
		return recorder.Code
	}
	g.Expect(ask(uint16(p.key))).To(Equal(http.StatusOK))
	g.Expect(ask(uint16(p.sender.ownedKey()))).To(Equal(http.StatusNoContent))
}

// Guards against results that are taken for refusals by a queue, or that hide them.
func TestWhichResultsCountForQuestions(t *testing.T) {
	g := NewWithT(t)
	refusal := outcome{err: overloadRefusal(0)}
	for name, c := range map[string]struct {
		other outcome
		lower bool
	}{
		"served":                 {outcome{resp: &http.Response{}, arrived: true}, true},
		"declined by the server": {outcome{err: verdict.New(verdict.NotRun, verdict.ReasonOverloaded, ""), arrived: true}, true},
		"limited":                {outcome{err: verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "")}, true},
		"peer lost":              {outcome{err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "")}, false},
	} {
		now := time.Now()
		p := preflights{routes: map[string]*preflight.Route{}}
		for range 10 {
			p.observe("r", refusal, now)
		}
		before := p.routes["r"].Share(now)
		p.observe("r", c.other, now)
		g.Expect(p.routes["r"].Share(now) < before).To(Equal(c.lower), name)
	}
}
