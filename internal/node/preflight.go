package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/preflight"
	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

const (
	// admitPath asks a node whether its queue would admit a request now.
	admitPath = "/basilway/admit"
	// maxAdmitWait bounds the time that a question takes, a few round trips between availability
	// zones, and admitWaitPercent is the percentage of the time until the target that it may take.
	maxAdmitWait     = 30 * time.Millisecond
	admitWaitPercent = 10
	// admitPause is how long a peer gets no questions after one failed: it may be of a version that
	// does not know them, or its link may be saturated.
	admitPause = time.Second
	// maxAdmitAnswer bounds the body of an answer, in bytes.
	maxAdmitAnswer = 1 << 10
)

// admitQuestion is what a queue needs to know of a request. Times are in µs.
type admitQuestion struct {
	Route    string `cbor:"1,keyasint,omitempty"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Priority int    `cbor:"3,keyasint,omitempty"`
	Nested   bool   `cbor:"4,keyasint,omitempty"`
	// Deadline is the time until the deadline, and Late by how much that is after the target.
	Deadline int64 `cbor:"5,keyasint"`
	Late     int64 `cbor:"6,keyasint,omitempty"`
	// Key is set for requests that run only on its owner.
	Key *uint16 `cbor:"7,keyasint,omitempty"`
}

// admitRefusal is the answer if the queue would refuse the request because of its expected wait. In
// all other cases the answer has no body and the request is to be sent.
type admitRefusal struct {
	RetryAfterUS int64     `cbor:"1,keyasint,omitempty"`
	ExpectedUS   int64     `cbor:"2,keyasint,omitempty"`
	Load         namedLoad `cbor:"3,keyasint"`
}

func (t ticket) admitQuestion(now time.Time) admitQuestion {
	q := admitQuestion{
		Route: t.route, Priority: t.priority, Nested: t.nested,
		Deadline: t.deadline.Sub(now).Microseconds(), Late: t.deadline.Sub(t.target).Microseconds(),
	}
	if t.sharded {
		q.Service, q.Key = t.service, &t.key
	}
	return q
}

func (q admitQuestion) ticket(now time.Time) ticket {
	deadline := now.Add(wireDuration(q.Deadline))
	t := ticket{route: q.Route, service: q.Service, priority: q.Priority, nested: q.Nested, deadline: deadline, target: deadline.Add(-wireDuration(q.Late))}
	if q.Key != nil {
		t.sharded, t.key = true, *q.Key
	}
	return t
}

// admitAnswer is the result of a question, as metrics name it.
type admitAnswer string

const (
	admitRefused   admitAnswer = "refused"
	admitForwarded admitAnswer = "forwarded"
	admitFailed    admitAnswer = "failed"
)

// preflights decides by route whether to ask before a request is sent to another availability
// zone. It is safe for concurrent use.
type preflights struct {
	mu     sync.Mutex
	routes map[string]*preflight.Route
}

func (p *preflights) ask(route string, bodyBytes int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	return r != nil && r.Ask(bodyBytes, now)
}

// observe records the result of a request to another node. Failures that say nothing about the
// queue there do not count.
func (p *preflights) observe(route string, out outcome, now time.Time) {
	refused := out.err != nil && !out.arrived && out.err.Reason == verdict.ReasonOverloaded
	// A question does not find refusals for a limit, so these count against it.
	if !refused && !out.arrived && out.err.Reason != verdict.ReasonRateLimited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	if r == nil {
		r = &preflight.Route{}
		p.routes[route] = r
	}
	r.Observe(refused, now)
}

// askFirst asks the node beside m's backend server whether its queue would refuse a request, if
// that is expected to save bytes between availability zones. It returns false if the request is to
// be sent.
func (n *Node) askFirst(ctx context.Context, m Member, t ticket, e httpclient.Exchange) (outcome, bool) {
	now := time.Now()
	if !n.config.PreferZone || m.Zone == n.config.Zone || e.Stream != nil || !n.preflights.ask(t.route, len(e.Body), now) || !n.peers.takesQuestions(m.Address) {
		return outcome{}, false
	}
	wait := min(maxAdmitWait, t.target.Sub(now)*admitWaitPercent/100)
	if wait <= 0 {
		return outcome{}, false
	}
	refusal, err := n.askAdmission(ctx, m.Address, t.admitQuestion(now), wait)
	switch {
	case err != nil:
		n.metrics.countAdmitQuestion(admitFailed)
		n.peers.pauseQuestions(m.Address)
		n.events.request("admission question failed", e.ID, zap.String("instance", m.Owner.Instance), zap.Error(err))
		return outcome{}, false
	case refusal == nil:
		n.metrics.countAdmitQuestion(admitForwarded)
		return outcome{}, false
	}
	n.metrics.countAdmitQuestion(admitRefused)
	out := outcome{err: overloadRefusal(wireDuration(refusal.ExpectedUS)).WithRetryAfter(max(wireDuration(refusal.RetryAfterUS), 0)), load: refusal.Load.load()}
	n.events.request("request refused before it was sent", e.ID, zap.String("instance", m.Owner.Instance), zap.String("route", t.route),
		zap.Int("body", len(e.Body)), zap.Duration("retry after", out.err.RetryAfter))
	return out, true
}

// askAdmission returns the refusal of a request by a peer's queue, or nil if it would not refuse it.
func (n *Node) askAdmission(ctx context.Context, address string, question admitQuestion, wait time.Duration) (refusal *admitRefusal, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, err := cbor.Marshal(question)
	if err != nil {
		return nil, err
	}
	var answer []byte
	defer func() { n.metrics.countMessage(admitPath, len(body), len(answer), err) }()
	// Unlike other calls, one that fails keeps the idle connections: its time-out is too short to
	// show that they are broken.
	resp, err := n.peers.pool(address).Do(ctx, httpclient.Exchange{
		Method: http.MethodPost, URI: admitPath, Host: address, Header: http.Header{}, Body: body, Count: n.peers.count(address, callPurpose(admitPath)),
	}, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAdmitAnswer)); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer responded with status %d", resp.StatusCode)
	}
	refusal = &admitRefusal{}
	if err := cbor.NewDecoder(bytes.NewReader(answer)).Decode(refusal); err != nil {
		return nil, fmt.Errorf("answer of the node cannot be read: %w", err)
	}
	return refusal, nil
}

// serveAdmit answers whether the local queue would refuse a request now. A request that something
// else than the queue would refuse or delay is to be sent.
func (n *Node) serveAdmit(w http.ResponseWriter, r *http.Request) {
	var question admitQuestion
	if !n.readCall(w, r, &question) {
		return
	}
	t := question.ticket(time.Now())
	var decision waitqueue.Decision
	refuses := false
	if n.backend.gate(t) == nil {
		decision, refuses = n.backend.queue.wouldRefuse(t.queueItem())
	}
	if !refuses {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	load := n.backend.queue.load()
	w.Header()["Content-Type"] = nil // keeps net/http from adding a guessed type
	n.writeCallResponse(w, admitRefusal{
		RetryAfterUS: decision.RetryAfter.Microseconds(), ExpectedUS: decision.Expected.Microseconds(),
		Load: peerLoad{running: load.running, waiting: load.waiting, slots: load.slots, coldRate: load.coldRate}.named(),
	})
}

// takesQuestions reports whether a peer may be asked; see admitPause.
func (p *peers) takesQuestions(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.getLocked(address).questionsAt)
}

// pauseQuestions records that a question to a peer failed.
func (p *peers) pauseQuestions(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getLocked(address).questionsAt = time.Now().Add(admitPause)
}

// countAdmitQuestion counts a question to a node in another availability zone by its answer.
func (m *nodeMetrics) countAdmitQuestion(answer admitAnswer) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_admission_questions_total{answer=%q}`, answer)).Inc()
}
