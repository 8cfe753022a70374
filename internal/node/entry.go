package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/attempt"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/hangup"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/internal/quantity"
	"github.com/basilway/basilway/internal/readahead"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
)

const (
	// startingRetryAfter is the Retry-After of a node that has no desired state yet.
	startingRetryAfter = 300 * time.Millisecond
	// deadlineReserve is how long before the client's deadline a request without a response
	// is given up, so that the error still reaches the client in time.
	deadlineReserve = 20 * time.Millisecond
)

// request is one request of a client.
type request struct {
	ticket   ticket
	route    *httproute.Route
	exchange httpclient.Exchange
	started  time.Time
	// firstArrival is when the request first arrived; earlier than started if it was refused
	// before.
	firstArrival time.Time
	visited      []string // instances tried
	attempts     *attempt.State
}

// serveClient handles a request from a client of the instance.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	started := readahead.Arrived(r.Context(), time.Now())
	if n.stopping.Load() || n.clients.atLimit() {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get(n.headers.RequestID)
	routes, route, refused := n.routeOf(r.Context(), r.Host, r.URL.Path)
	if refused != nil {
		n.metrics.countUnanswered("unknown", string(refused.Reason))
		n.events.request("request refused before it was routed", id, zap.String("host", r.Host), zap.String("reason", string(refused.Reason)), zap.String("cause", refused.Message))
		n.reject(w, id, refused)
		return
	}
	if route == nil {
		n.metrics.countUnanswered("unknown", "no_route")
		n.events.request("no route", id, zap.String("host", r.Host), zap.Uint64("version", routes.Version))
		w.Header().Set(n.headers.RequestID, id)
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	req, status, err := n.newRequest(w, r, routes, route, started)
	if err != nil {
		n.metrics.countUnanswered(route.Name, "invalid")
		n.events.request("invalid request", id, zap.String("route", route.Name), zap.Error(err))
		if status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout {
			w.Header().Set("Connection", "close") // the rest of the body is not read
		}
		if status == http.StatusServiceUnavailable {
			n.reject(w, id, noRoom())
			return
		}
		w.Header().Set(n.headers.RequestID, id)
		http.Error(w, err.Error(), status)
		return
	}
	ctx, cancel := n.untilStop(r.Context(), req.ticket.deadline)
	defer cancel()
	out := n.dispatch(ctx, req)
	n.respond(ctx, w, req, out)
}

// newRequest validates a request and buffers its body up to maxBufferedBody. On error, it
// returns the HTTP status of the response.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request, routes *httproute.Table, route *httproute.Route, started time.Time) (*request, int, error) {
	if limit, size := routes.Limits.HeaderBytes, headerSize(r); limit > 0 && size > limit {
		return nil, http.StatusRequestHeaderFieldsTooLarge, fmt.Errorf("the header has %d bytes; at most %d are allowed", size, limit)
	}
	timeout := route.Timeout
	if value := r.Header.Get(n.headers.DeadlineMS); value != "" {
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms >= 0) {
			return nil, http.StatusBadRequest, fmt.Errorf("header %s is %q; milliseconds are expected", n.headers.DeadlineMS, value)
		}
		timeout = min(timeout, quantity.Duration(ms, time.Millisecond)-deadlineReserve)
	}
	body := io.Reader(r.Body)
	if routes.Limits.BodyBytes > 0 {
		body = http.MaxBytesReader(w, r.Body, routes.Limits.BodyBytes)
	}
	e, err := n.newExchange(r, body)
	if isBodyTooLarge(err) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", routes.Limits.BodyBytes)
	}
	switch {
	case errors.Is(err, inputlimit.ErrFull):
		return nil, http.StatusServiceUnavailable, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, fmt.Errorf("%d bytes of the body did not arrive within %v", inputlimit.BodyPiece, clientBodyTimeout)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body cannot be read: %w", err)
	}
	e.Header.Set(n.headers.Caller, n.config.Service)
	e.Header.Del(ticketHeader)
	e.Header.Del(limitHintHeader)
	e.Header.Del(routesHeader)
	service := route.Pick(n.sequence.Add(1))
	info, _ := routes.Service(service)
	target := route.TargetLatency
	if target <= 0 {
		target = timeout
	}
	key, hasKey := parseKey(r.Header.Get(n.headers.Key))
	if info.Sharded && !hasKey {
		return nil, http.StatusBadRequest, fmt.Errorf("header %s is %q; a number from 0 to 65535 is expected", n.headers.Key, r.Header.Get(n.headers.Key))
	}
	fingerprint := newFingerprint(n.config.Service, r, e)
	firstArrival := n.refusals.firstArrival(fingerprint, started)
	t := ticket{
		sharded: info.Sharded, key: key, nested: !hasKey, target: firstArrival.Add(target), deadline: started.Add(timeout),
		fingerprint: fingerprint, host: r.Host, path: r.URL.Path, arrived: started,
	}
	t.routedBy(routes, route, service)
	return &request{route: route, exchange: e, started: started, firstArrival: firstArrival, ticket: t}, 0, nil
}

// newFingerprint returns the fingerprint of a request of a caller's service.
func newFingerprint(caller string, r *http.Request, e httpclient.Exchange) uint64 {
	return uint64(quarantine.NewFingerprint(caller, r.Method+" "+r.Host+r.RequestURI, e.Body))
}

func parseKey(value string) (uint16, bool) {
	key, err := strconv.ParseUint(value, 10, 16)
	return uint16(key), err == nil
}

// reject responds 503, which promises that the request has not run and will not run.
func (n *Node) reject(w http.ResponseWriter, id string, err *verdict.Error) {
	h := w.Header()
	h.Set(n.headers.RequestID, id)
	h.Set("Retry-After", n.headers.formatRetryAfter(err.RetryAfter))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// defaultRetryAfter is the Retry-After of refusals that know no better time.
const defaultRetryAfter = 400 * time.Millisecond

// formatRetryAfter returns the value of Retry-After in seconds.
func (h Headers) formatRetryAfter(after time.Duration) string {
	if after <= 0 {
		after = defaultRetryAfter
	}
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}

// respond sends the client the backend server's response, or the error.
func (n *Node) respond(ctx context.Context, w http.ResponseWriter, req *request, out outcome) {
	took := time.Since(req.started)
	id := req.exchange.ID
	if out.err == nil {
		defer out.resp.Body.Close()
		if length := out.resp.ContentLength; out.transfer == 0 && (length < 0 || length >= largeResponse) {
			out.transfer = n.pacer.add(max(length, 0))
		}
		defer n.pacer.remove(out.transfer)
		n.metrics.countServed(req.route.Name, n.config.Service, out.resp.StatusCode, took)
		status := out.resp.StatusCode
		readahead.OnWritten(ctx, func(wait readahead.Wait) {
			if req.attempts.Sends > 1 || took+wait.Held > req.route.TargetLatency {
				n.events.request("request served late or retried", id, zap.String("route", req.route.Name), zap.Int("status", status),
					zap.Duration("took", took), zap.Duration("unread", wait.Unread), zap.Duration("queued", out.load.queued), zap.Duration("at work", out.load.work),
					zap.Duration("behind earlier responses", wait.Held), zap.Int("sends", req.attempts.Sends), zap.Int("tries", req.attempts.Tries))
			}
		})
		writeHeader(w, out.resp)
		if !copyBody(n.pacer.writer(w, out.transfer), out.resp.Body) {
			n.events.request("response truncated", id, zap.String("route", req.route.Name))
			panic(http.ErrAbortHandler)
		}
		return
	}
	n.metrics.countUnanswered(req.route.Name, string(out.err.Reason))
	n.events.request("request failed", id, zap.String("route", req.route.Name), zap.String("service", req.ticket.service),
		zap.Uint16("key", req.ticket.key), zap.Stringer("verdict", out.err.Verdict), zap.String("reason", string(out.err.Reason)),
		zap.Duration("took", took), zap.Int("sends", req.attempts.Sends), zap.Int("tries", req.attempts.Tries), zap.Strings("instances", req.visited),
		zap.Duration("retry after", out.err.RetryAfter), zap.String("cause", out.err.Message))
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopEnds) || out.err.Reason == verdict.ReasonCancelled && hangup.CallerLeft(ctx, req.ticket.arrived) {
		// The client is gone; nobody reads a response.
		panic(http.ErrAbortHandler)
	}
	if out.err.Verdict == verdict.NotRun && !req.attempts.MayHaveRun {
		n.refusals.recordRefusal(req.ticket.fingerprint, req.firstArrival)
		n.reject(w, id, out.err)
		return
	}
	w.Header().Set(n.headers.RequestID, id)
	status := http.StatusBadGateway
	if out.err.Reason == verdict.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	http.Error(w, out.err.Error(), status)
}
