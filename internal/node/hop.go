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

// throttledRetryAfter is when callers may come back that were refused at the sender; about
// the time in which keys are moved away from an overloaded backend server.
const throttledRetryAfter = 250 * time.Millisecond

// Paths that nodes call on each other besides requests, which carry a ticket.
const (
	reportPath = "/basilway/report"
	pingPath   = "/basilway/ping"
	rowsPath   = "/basilway/rows"
	digestPath = "/basilway/digest"
	storePath  = "/basilway/store"
)

// hop sends a request to the node beside m's backend server.
func (n *Node) hop(ctx context.Context, m Member, t ticket, e httpclient.Exchange) outcome {
	if m.Owner.Instance == n.config.Instance {
		return n.backend.serve(ctx, t, e)
	}
	senders := len(n.views.current().Members)
	if !n.peers.allow(m.Address, t.priority, senders) {
		err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%s refuses most requests of this priority at present", m.Owner.Instance)
		return outcome{err: err.WithRetryAfter(throttledRetryAfter)}
	}
	t.instance = m.Owner.Instance
	// A request that could run elsewhere does not wait for a node that went silent. A
	// stopping node ends nothing that may be at work.
	mayCut := t.kind.Repeatable() && !t.sharded && !n.stopping.Load()
	ctx, end := n.peers.begin(ctx, m.Address, n.nominalWork(t.route), mayCut)
	e.Header = e.Header.Clone()
	e.Header.Set(hopHeader, t.encode(time.Now()))
	resp, err := n.peers.pool(m.Address).Do(ctx, e, nil)
	out := n.hopOutcome(ctx, resp, err)
	end(out, err)
	if out.err == nil || out.err.Reason != verdict.ReasonOverloaded {
		n.peers.accepted(m.Address, t.priority, senders)
	}
	return out
}

func (n *Node) hopOutcome(ctx context.Context, resp *http.Response, err error) outcome {
	if err != nil {
		return hopFailure(ctx, err)
	}
	load := decodePeerLoad(resp.Header.Get(hopLoadHeader))
	if encoded := resp.Header.Get(hopOutcomeHeader); encoded != "" {
		drain(resp.Body)
		resp.Body.Close()
		out, err := decodeFailure(encoded)
		if err != nil {
			out = outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "answer of the node cannot be read: %v", err)}
		}
		out.load = load
		return out
	}
	resp.Header.Del(hopLoadHeader)
	return outcome{resp: resp, arrived: true, load: load}
}

func hopFailure(ctx context.Context, err error) outcome {
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
	return outcome{err: verdict.New(v, reason, "%v", err), arrived: v != verdict.NotRun}
}

// maxDrain bounds the bytes of an unused body that are read to keep its connection.
const maxDrain = 64 << 10

// drain reads the rest of a short body, so that its connection can be used again.
func drain(r io.Reader) {
	// A longer or broken body only costs its connection.
	_, _ = io.CopyN(io.Discard, r, maxDrain)
}

// servePeer takes a request that another node passes on.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	t, err := decodeTicket(r.Header.Get(hopHeader), time.Now())
	if err != nil {
		n.log.Warn("request of another node rejected", zap.String("remote", r.RemoteAddr), zap.Error(err))
		http.Error(w, "not a request of a node: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(hopHeader)
	if t.instance != n.config.Instance {
		// The address belonged to another node.
		w.Header().Set(n.headers.RequestID, r.Header.Get(n.headers.RequestID))
		w.Header().Set(hopOutcomeHeader, encodeFailure(outcome{err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "this is %s, not %s", n.config.Instance, t.instance)}))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline)
	defer cancel()
	e, err := n.exchange(r, r.Body)
	if err != nil {
		// Without the whole request nothing was sent; the other node sees it as lost.
		panic(http.ErrAbortHandler)
	}
	out := n.backend.serve(ctx, t, e)
	if out.transfer != 0 {
		defer n.pacer.leave(out.transfer)
		// The backend server does not wait for the link.
		out = hold(out)
	}
	h := w.Header()
	h.Set(hopLoadHeader, out.load.encode())
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if out.err != nil {
		n.logOutcome(t, e.ID, out)
		h.Set(n.headers.RequestID, e.ID)
		h.Set(hopOutcomeHeader, encodeFailure(out))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer out.resp.Body.Close()
	writeHead(w, out.resp)
	if !copyBody(n.pacer.writer(w, out.transfer), out.resp.Body) {
		panic(http.ErrAbortHandler)
	}
}

// copyBuffer is the size in bytes of the pieces in which a body is passed on.
const copyBuffer = 16 << 10

// copyBody passes a body on and reports whether it came to its end.
func copyBody(w io.Writer, body io.Reader) bool {
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{body}, make([]byte, copyBuffer))
	return err == nil
}
