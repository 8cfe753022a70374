package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/verdict"
)

// throttledRetryAfter is the Retry-After of requests that are refused by the sender's
// throttle; about the time in which keys are moved away from an overloaded backend server.
const throttledRetryAfter = 250 * time.Millisecond

// Paths of the calls between nodes. Forwarded requests keep their own paths and carry a
// ticket.
const (
	reportPath = "/basilway/report"
	pingPath   = "/basilway/ping"
	rowsPath   = "/basilway/rows"
	digestPath = "/basilway/digest"
	storePath  = "/basilway/store"
	// desiredStatePath compares the desired states of two nodes.
	desiredStatePath = "/basilway/desired-state"
	// completedMovesPath asks the planner to record moves whose keys are released.
	completedMovesPath = "/basilway/completed-moves"
)

// forward sends a request to the node beside m's backend server, which may be this one.
func (n *Node) forward(ctx context.Context, m Member, t ticket, e httpclient.Exchange) outcome {
	if err := n.leavingGate(m); err != nil {
		return outcome{err: err}
	}
	if m.Owner.Instance == n.config.Instance {
		out := n.backend.serve(ctx, t, e)
		n.peers.recordLocalRoom(m.Address, out)
		return out
	}
	senders := len(n.views.current().Members)
	if !n.peers.allow(m.Address, t.priority, senders) {
		err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%s refuses most requests of this priority at present", m.Owner.Instance)
		return outcome{err: err.WithRetryAfter(throttledRetryAfter)}
	}
	t.instance = m.Owner.Instance
	// A request that could run elsewhere is cancelled if the peer stops responding. A
	// stopping node cancels nothing that may be running.
	cancellable := t.kind.Repeatable() && !t.sharded && !n.stopping.Load()
	ctx, end := n.peers.beginRequest(ctx, m.Address, n.expectedWork(t.route), cancellable)
	e.Header = e.Header.Clone()
	e.Header.Set(ticketHeader, t.encode(time.Now()))
	n.setLimitHint(e.Header, m.Owner.Incarnation)
	sentAt := n.now()
	resp, err := n.peers.pool(m.Address).Do(ctx, e, nil)
	out := n.forwardOutcome(ctx, resp, err)
	if out.resp != nil && out.load.incarnation != "" {
		n.observeResponse(out.load.incarnation, e.ID, out.resp, sentAt)
	}
	end(out, err)
	if out.err == nil || out.err.Reason != verdict.ReasonOverloaded {
		n.peers.recordAccepted(m.Address, t.priority, senders)
	}
	return out
}

// leavingGate returns why no request may be sent to m's backend server if this node has passed
// on that it leaves, or nil. The node beside that server may not know of it after a restart.
func (n *Node) leavingGate(m Member) *verdict.Error {
	known, leaving := n.statuses.leavingFor(m.Owner.Incarnation)
	if !leaving || known <= n.config.Bounds.leaveGrace() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the backend server of %s leaves", m.Owner.Instance).WithRetryAfter(notReadyRetryAfter)
}

func (n *Node) forwardOutcome(ctx context.Context, resp *http.Response, err error) outcome {
	if err != nil {
		return forwardFailure(ctx, err)
	}
	load := decodePeerLoad(resp.Header.Get(loadHeader))
	if encoded := resp.Header.Get(outcomeHeader); encoded != "" {
		discardBody(resp.Body)
		resp.Body.Close()
		out, err := decodeFailure(encoded)
		if err != nil {
			out = outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "answer of the node cannot be read: %v", err)}
		}
		out.load = load
		return out
	}
	resp.Header.Del(loadHeader)
	return outcome{resp: resp, arrived: true, load: load}
}

func forwardFailure(ctx context.Context, err error) outcome {
	var failure *httpclient.Error
	v, reason := verdict.MayHaveRun, verdict.ReasonPeerLost
	if errors.As(err, &failure) && failure.Stage == httpclient.NotSent {
		v = verdict.NotRun
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPeerSilent):
	case errors.Is(cause, context.DeadlineExceeded):
		reason = verdict.ReasonDeadline
	case cause != nil:
		reason = verdict.ReasonCancelled
	}
	return outcome{err: verdict.New(v, reason, "%v", err).WithRetryAfter(lostRetryAfter), arrived: v != verdict.NotRun}
}

// maxDiscard bounds the bytes of an unused body that are read to reuse its connection.
const maxDiscard = 64 << 10

// discardBody reads the rest of a short body, so that its connection can be reused.
func discardBody(r io.Reader) {
	// After a longer or truncated body, the connection is not reused.
	_, _ = io.CopyN(io.Discard, r, maxDiscard)
}

// servePeer handles a request that a peer forwards.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	t, err := decodeTicket(r.Header.Get(ticketHeader), time.Now())
	if err != nil {
		n.log.Warn("request from peer rejected", zap.String("remote", r.RemoteAddr), zap.Error(err))
		http.Error(w, "not a request of a node: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(ticketHeader)
	n.applyLimitHint(r.Header)
	if t.instance != n.config.Instance {
		// The address belonged to t.instance before.
		w.Header().Set(n.headers.RequestID, r.Header.Get(n.headers.RequestID))
		w.Header().Set(outcomeHeader, encodeFailure(outcome{err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "this is %s, not %s", n.config.Instance, t.instance).WithRetryAfter(lostRetryAfter)}))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline)
	defer cancel()
	e, err := n.newExchange(r, r.Body)
	if err != nil {
		// The request was not read whole, so nothing was sent to the backend server. The peer
		// sees the connection close and treats the request as lost.
		panic(http.ErrAbortHandler)
	}
	out := n.backend.serve(ctx, t, e)
	if out.transfer != 0 {
		defer n.pacer.remove(out.transfer)
		// Buffer the response, so that the backend server does not wait for the link.
		out = n.buffers.buffer(out)
	}
	h := w.Header()
	h.Set(loadHeader, out.load.encode())
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if out.err != nil {
		n.logUnserved(t, e.ID, out)
		h.Set(n.headers.RequestID, e.ID)
		h.Set(outcomeHeader, encodeFailure(out))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer out.resp.Body.Close()
	writeHeader(w, out.resp)
	if !copyBody(n.pacer.writer(w, out.transfer), out.resp.Body) {
		panic(http.ErrAbortHandler)
	}
}

// copyBufferSize is the size in bytes of the chunks in which a body is copied.
const copyBufferSize = 16 << 10

// copyBody copies a body and reports whether it was copied to its end.
func copyBody(w io.Writer, body io.Reader) bool {
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{body}, make([]byte, copyBufferSize))
	return err == nil
}

// logUnserved logs a request forwarded by another node that this node did not serve.
func (n *Node) logUnserved(t ticket, id string, out outcome) {
	load := n.backend.queue.load()
	n.events.request("forwarded request not served", id, zap.String("route", t.route), zap.Uint16("key", t.key),
		zap.Stringer("verdict", out.err.Verdict), zap.String("reason", string(out.err.Reason)), zap.String("cause", out.err.Message),
		zap.Int("running", load.running), zap.Int("waiting", load.waiting), zap.Int("slots", load.slots))
}
