package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/keyspace"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/retry"
	"github.com/basilway/basilway/verdict"
)

const (
	// maxKeyBytes bounds keys, methods, teams and caller names.
	maxKeyBytes = 1024
	// maxTimeout bounds the duration of a request, because its unit cannot move before it
	// ends.
	maxTimeout = 10 * time.Minute
	// maxRouteChanges bounds how often a request follows a changed route.
	maxRouteChanges = 3
	// versionWaitTimeout bounds how long a request waits for the cluster version that
	// another daemon based its response on.
	versionWaitTimeout = 500 * time.Millisecond
	// noOwnerRetryAfter is about the duration of a takeover.
	noOwnerRetryAfter = time.Second
	// storeRetryAfter is the retry-after of a catalogue edit that the store did not
	// apply.
	storeRetryAfter = 5 * time.Second
	// lostPeerExchangeInterval is the least time between exchanges that lost peers trigger.
	lostPeerExchangeInterval = 100 * time.Millisecond
	// drainingRetryAfter is the retry-after of requests to a stopping daemon, which the
	// caller should send to another one.
	drainingRetryAfter = 100 * time.Millisecond
)

// router sends each request to the daemon that owns its key.
type router struct {
	log      *zap.Logger
	replicas *replicas
	peers    transport
	session  func() *sessionRuntime
	budget   *retry.SharedBudget
	policy   retry.Policy
	metrics  *metrics
	// loaded reports whether the daemon has read the catalogue and the cluster state.
	loaded func() bool
	// draining reports whether the daemon rejects new requests.
	draining func() bool
	// lastExchangeNanos is the time of the last exchange that a lost peer triggered, in Unix
	// ns.
	lastExchangeNanos atomic.Int64
	// maxPayloadBytes bounds payloads in addition to the catalogue's limits; 0 is no
	// bound.
	maxPayloadBytes int
}

// routeResult is the reply to a request and how it was obtained.
type routeResult struct {
	reply     wire.Reply
	requestID string
	forwarded bool
}

// route runs a caller's request at the daemon that owns its key. The error carries a
// verdict.
func (r *router) route(ctx context.Context, request wire.Request) (routeResult, error) {
	begin := time.Now()
	entry, err := r.validate(&request)
	if err != nil {
		r.metrics.requests.finished(entry.Service, entry.Owner, className(entry), time.Since(begin), err)
		return routeResult{}, err
	}
	deadline, ok := ctx.Deadline()
	limit := begin.Add(maxTimeout)
	if !ok {
		limit = begin.Add(entry.Limits.Timeout())
	}
	if !ok || deadline.After(limit) {
		deadline = limit
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	r.budget.FirstTry()
	out, err := r.sendWithRetries(ctx, request, entry, deadline)
	r.metrics.requests.finished(entry.Service, entry.Owner, className(entry), time.Since(begin), err)
	out.requestID = request.RequestID
	if err != nil {
		r.log.Info("request failed", zap.String("request", request.RequestID), zap.String("service", request.Service), zap.Error(err))
	}
	return out, err
}

// validate validates a request and fills in its defaults.
func (r *router) validate(request *wire.Request) (catalogue.Entry, error) {
	if r.draining() {
		return catalogue.Entry{}, errDraining()
	}
	if !r.loaded() {
		return catalogue.Entry{}, verdict.New(verdict.NotRun, verdict.ReasonStarting,
			"this daemon has not read the catalogue yet; use another one").WithRetryAfter(startRetry)
	}
	if request.Service == "" || request.Key == "" {
		return catalogue.Entry{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "service and key must not be empty")
	}
	for _, text := range []string{request.Key, request.Method, request.Team, request.Caller} {
		if len(text) > maxKeyBytes {
			return catalogue.Entry{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid,
				"key, method, team and caller are limited to %d bytes", maxKeyBytes)
		}
	}
	entry, ok := r.replicas.catalogue().Get(request.Service)
	if !ok {
		return catalogue.Entry{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownService,
			"the catalogue has no service %q", request.Service)
	}
	limit := int(entry.Limits.WithDefaults().MaxPayloadBytes)
	if r.maxPayloadBytes > 0 {
		limit = min(limit, r.maxPayloadBytes)
	}
	if len(request.Payload) > limit {
		return entry, verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"the payload has %d bytes, service %s allows %d", len(request.Payload), request.Service, limit)
	}
	if !request.Idempotent && request.RequestID == "" {
		return entry, verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"a request that is not idempotent needs a request_id (UUIDv7; see NewRequestId)")
	}
	if request.Team == "" {
		request.Team = entry.Owner
	}
	if request.RequestID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return entry, verdict.New(verdict.NotRun, verdict.ReasonInternal, "request id: %v", err)
		}
		request.RequestID = id.String()
	}
	return entry, nil
}

// sendWithRetries sends the request and retries it as the verdict, the retry budget and
// the deadline allow. Following a changed route does not count as a retry.
func (r *router) sendWithRetries(ctx context.Context, request wire.Request, entry catalogue.Entry, deadline time.Time) (_ routeResult, failed error) {
	mayHaveRun := false
	defer func() { failed = overallError(failed, mayHaveRun) }()
	hash := keyspace.Hash(request.Service, request.Key)
	fingerprint := quarantine.NewFingerprint(request.Service, request.Method, request.Payload)
	tries, routeChanges := 0, 0
	for {
		if err := r.session().quarantine.check(fingerprint, time.Now()); err != nil {
			return routeResult{}, err
		}
		tries++
		out, err := r.sendOnce(ctx, request, entry, hash)
		if err == nil {
			return out, nil
		}
		if routeChanges < maxRouteChanges && r.followRoute(ctx, err) {
			routeChanges++
			tries--
			continue
		}
		v := verdict.From(err)
		mayHaveRun = mayHaveRun || v.Verdict != verdict.NotRun
		if neverRetried(v.Reason) {
			return routeResult{}, v
		}
		decision := r.policy.Next(retry.Attempt{Err: v, Idempotent: request.Idempotent, Tries: tries, Deadline: deadline},
			r.budget, time.Now(), newRand())
		if !decision.Retry {
			return routeResult{}, v
		}
		r.metrics.retries.Inc()
		if sleepContext(ctx, decision.After) != nil {
			return routeResult{}, v
		}
	}
}

// neverRetried reports whether an error with reason r is returned without a retry,
// although a retry could succeed. A request that crashed a backend server could crash the
// next one, and retries of rejected requests would keep an overloaded server overloaded.
func neverRetried(r verdict.Reason) bool {
	return r == verdict.ReasonBackendCrashed || r == verdict.ReasonOverloaded || r == verdict.ReasonRateLimited
}

// overallError turns the error of the last attempt into that of the request. If an
// earlier attempt may have run, NotRun of the last one becomes MayHaveRun, unless it
// holds for the request id.
func overallError(err error, mayHaveRun bool) error {
	if err == nil || !mayHaveRun {
		return err
	}
	v := *verdict.From(err)
	if v.Verdict == verdict.NotRun && !v.ForID {
		v.Verdict = verdict.MayHaveRun
	}
	return &v
}

// sendOnce sends the request once, to the backend server beside this daemon or to the
// daemon that owns the key.
func (r *router) sendOnce(ctx context.Context, request wire.Request, entry catalogue.Entry, hash uint64) (routeResult, error) {
	state := r.replicas.cluster()
	session := r.session()
	owned, _ := state.Owner(request.Service, hash)
	switch {
	case owned.Owner.IsZero():
		return routeResult{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner,
			"no instance owns the key now").WithRetryAfter(noOwnerRetryAfter)
	case owned.Owner == session.session:
		reply, err := session.server.serve(ctx, request, entry, hash)
		return routeResult{reply: reply}, err
	default:
		reply, err := r.forward(ctx, state.Members[owned.Owner].Address, request)
		return routeResult{reply: reply, forwarded: true}, err
	}
}

func (r *router) forward(ctx context.Context, address string, request wire.Request) (wire.Reply, error) {
	r.metrics.forwarded.Inc()
	return call[wire.Reply](ctx, r.peers, address, wire.KindForward, request)
}

func errDraining() error {
	return verdict.New(verdict.NotRun, verdict.ReasonDraining,
		"this daemon is stopping; use another one").WithRetryAfter(drainingRetryAfter)
}

func className(e catalogue.Entry) string {
	if !e.Class.Valid() {
		return ""
	}
	return e.Class.String()
}

// newRand returns a new generator; creating one costs less than sharing one between
// goroutines.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func callerHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
