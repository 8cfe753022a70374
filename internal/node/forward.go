package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/hangup"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/internal/inputlimit"
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
	// desiredChunksPath asks a node for chunks of a newer desired state.
	desiredChunksPath = "/basilway/desired-chunks"
	// completedMovesPath asks the planner to record moves whose keys are released.
	completedMovesPath = "/basilway/completed-moves"
	// plannerContactPath asks a node when the planner last accepted a report of it.
	plannerContactPath = "/basilway/planner-contact"
)

// forward sends a request to the node beside m's backend server, which may be this one.
func (n *Node) forward(ctx context.Context, m Member, t ticket, e httpclient.Exchange) outcome {
	if err := n.leavingGate(m); err != nil {
		return outcome{err: err}
	}
	if err := n.evacuatedGate(n.views.current(), m, t); err != nil {
		return outcome{err: err}
	}
	if m.Owner.Instance == n.config.Instance {
		out := n.backend.serve(ctx, t, e)
		n.peers.recordLocalRoom(m.Address, out)
		return out
	}
	if hangup.CallerLeft(ctx, t.arrived) {
		return outcome{err: callerLeft()}
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
	sentAt := n.now()
	var err error
	out, refused := n.askFirst(ctx, m, t, e)
	if !refused {
		var resp *http.Response
		var form messageForm
		resp, form, err = n.sendForwarded(ctx, m, t, e)
		out = n.forwardOutcome(ctx, m, resp, form, err)
		out.sent = !notSent(err)
	}
	if n.config.PreferZone {
		n.preflights.observe(t.route, out, time.Now())
	}
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

// messageForm is the form of a ticket and of the response to it.
type messageForm string

const (
	// namedForm has the names of the route and the service, and all headers.
	namedForm messageForm = "named"
	// compactForm leaves out what the receiver can look up.
	compactForm messageForm = "compact"
	// refusedForm counts compact requests that the receiver did not accept.
	refusedForm messageForm = "refused"
)

// sendForwarded sends a request to the node beside m's backend server, in the compact form if
// that node is known to understand it. If it refuses the form, it gets the named one.
func (n *Node) sendForwarded(ctx context.Context, m Member, t ticket, e httpclient.Exchange) (*http.Response, messageForm, error) {
	pool, header := n.peers.pool(m.Address), e.Header
	e.Count = n.peers.count(m.Address, forwardPurpose)
	// A stream can be sent only once.
	if e.Stream == nil && n.peers.acceptsCompact(m.Address) {
		e.Header = header.Clone()
		n.compactRequest(m, t, &e, time.Now())
		n.setLimitHint(e.Header, m.Owner.Incarnation)
		resp, err := pool.Do(ctx, e, nil)
		if err != nil || !refusesForm(resp) {
			n.metrics.countForwarded(compactForm)
			return resp, compactForm, err
		}
		discardBody(resp.Body)
		resp.Body.Close()
		n.metrics.countForwarded(refusedForm)
		n.events.request("compact request refused", e.ID, zap.String("instance", m.Owner.Instance), zap.Int("status", resp.StatusCode))
		n.peers.refusedCompact(m.Address)
	}
	e.Header = header.Clone()
	e.Header.Set(ticketHeader, t.encode(time.Now()))
	n.setLimitHint(e.Header, m.Owner.Incarnation)
	n.setRoutesHeader(e.Header, t.version)
	n.metrics.countForwarded(namedForm)
	resp, err := pool.Do(ctx, e, nil)
	return resp, namedForm, err
}

// refusesForm reports whether a response to a compact request says that the node did not
// accept it. All other responses to one have a load.
func refusesForm(resp *http.Response) bool {
	return resp.StatusCode == http.StatusBadRequest && resp.Header.Get(compactHeader) == "" && resp.Header.Get(outcomeHeader) == ""
}

func (n *Node) forwardOutcome(ctx context.Context, m Member, resp *http.Response, form messageForm, err error) outcome {
	if err != nil {
		return forwardFailure(ctx, err)
	}
	load, err := n.receivedLoad(m, resp.Header, form)
	if err != nil {
		resp.Body.Close()
		return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "answer of the node cannot be read: %v", err)}
	}
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

// receivedLoad returns the load in a response and restores the headers that are left out.
func (n *Node) receivedLoad(m Member, h http.Header, form messageForm) (peerLoad, error) {
	if form == compactForm {
		return n.restoreResponse(h, m.Owner.Incarnation)
	}
	n.takeRoutesHeader(h)
	load, compact := decodePeerLoad(h.Get(loadHeader))
	if compact {
		n.peers.learnCompact(m.Address)
	}
	return load, nil
}

// notSent reports whether an exchange failed before any byte of the request was sent.
func notSent(err error) bool {
	var failure *httpclient.Error
	return errors.As(err, &failure) && failure.Stage == httpclient.NotSent
}

func forwardFailure(ctx context.Context, err error) outcome {
	v, reason := verdict.MayHaveRun, verdict.ReasonPeerLost
	if notSent(err) {
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
	arrived := time.Now()
	t, err := decodeTicket(r.Header.Get(ticketHeader), arrived)
	if err != nil {
		n.log.Warn("request from peer rejected", zap.String("remote", r.RemoteAddr), zap.Error(err))
		http.Error(w, "not a request of a node: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(ticketHeader)
	n.applyLimitHint(r.Header)
	t.version, t.host, t.path, t.arrived = n.takeRoutesHeader(r.Header), r.Host, r.URL.Path, arrived
	if t.instance != n.config.Instance {
		// The address belonged to t.instance before.
		w.Header().Set(n.headers.RequestID, r.Header.Get(n.headers.RequestID))
		w.Header().Set(outcomeHeader, encodeFailure(outcome{err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "this is %s, not %s", n.config.Instance, t.instance).WithRetryAfter(lostRetryAfter)}))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e, err := n.newExchange(r, r.Body)
	if errors.Is(err, inputlimit.ErrFull) {
		n.refuseForwarded(w, r)
		return
	}
	if err != nil {
		// The request was not read whole, so nothing was sent to the backend server. The peer
		// sees the connection close and treats the request as lost.
		panic(http.ErrAbortHandler)
	}
	n.serveForwarded(w, r, t, e, func(h http.Header, l peerLoad) {
		h.Set(loadHeader, l.encode())
		h.Del(routesHeader)
		if routes := n.views.current().Routes; t.version > 0 && routes != nil && routes.Version != t.version {
			n.setRoutesHeader(h, routes.Version)
		}
	})
}

// serveCompact handles a request that a peer forwards with a compact ticket.
func (n *Node) serveCompact(w http.ResponseWriter, r *http.Request) {
	t, agreed, err := n.readCompact(r, time.Now())
	if err != nil {
		n.events.request("compact request of peer refused", r.Header.Get(n.headers.RequestID), zap.String("remote", r.RemoteAddr), zap.Error(err))
		w.Header().Set(n.headers.RequestID, r.Header.Get(n.headers.RequestID))
		http.Error(w, "not a request of a node: "+err.Error(), http.StatusBadRequest)
		return
	}
	n.applyLimitHint(r.Header)
	e, err := n.newExchange(r, r.Body)
	if errors.Is(err, inputlimit.ErrFull) {
		n.refuseForwarded(w, r)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // as in servePeer
	}
	t.fingerprint = newFingerprint(r.Header.Get(n.headers.Caller), r, e)
	n.serveForwarded(w, r, t, e, func(h http.Header, l peerLoad) {
		h[compactHeader] = append([]string{n.compactResponse(h, l, agreed)}, h[compactHeader]...)
	})
}

// serveForwarded serves a request of a peer. setLoad adds the load to the header of the
// response.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request, t ticket, e httpclient.Exchange, setLoad func(http.Header, peerLoad)) {
	ctx, cancel := n.untilStop(r.Context(), t.deadline)
	defer cancel()
	out := n.backend.serve(ctx, t, e)
	if out.transfer != 0 {
		defer n.pacer.remove(out.transfer)
		// Buffer the response, so that the backend server does not wait for the link.
		out = n.buffers.buffer(ctx, out)
	}
	h := w.Header()
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if out.err != nil {
		n.logUnserved(t, e.ID, out)
		setLoad(h, out.load)
		h.Set(n.headers.RequestID, e.ID)
		h.Set(outcomeHeader, encodeFailure(out))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer out.resp.Body.Close()
	removeHopByHopHeaders(out.resp.Header)
	setLoad(out.resp.Header, out.load)
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
