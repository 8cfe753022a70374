// Package daemon implements basilwayd on top of the decision packages, which do no I/O.
// Background work runs in workers, most of them with a bounded mailbox; requests run on
// the goroutines of net/http.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/config"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/internal/peer"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/retry"
)

const (
	// startRetry is the pause between attempts to read the feeds at startup, and the
	// retry-after of requests that arrive before the feeds have been read.
	startRetry = 500 * time.Millisecond
	// expireInterval is how often expired request ids and strikes are dropped.
	expireInterval = 5 * time.Second
)

// Daemon routes requests to the daemons that own their keys, and runs those for its own
// keys on the backend server beside it.
type Daemon struct {
	config   Config
	log      *zap.Logger
	pool     *peer.Pool
	replicas *replicas
	writer   *clusterWriter
	editor   *catalogueEditor
	ids      *idMemory
	slots    *slots
	backend  *backendLink
	metrics  *metrics
	router   *router
	server   *http.Server
	listener net.Listener
	// acceptDone is closed when listener accepts no more connections.
	acceptDone chan struct{}
	// peerListener is listener unless Config.PeerListen is another address.
	peerListener net.Listener

	// baseCtx is cancelled at the end of a stop.
	baseCtx context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	current atomic.Pointer[sessionRuntime]
	limiter *inputlimit.Limiter
	// loaded is set once the feeds have been read.
	loaded atomic.Bool
	// stopping is set when a graceful stop begins.
	stopping atomic.Bool
	// refusing is set when the daemon rejects new requests.
	refusing atomic.Bool
	// drainRequested is set when an operator has requested a drain. It also applies to
	// later sessions.
	drainRequested atomic.Bool
}

// New returns a daemon that listens but does not run yet.
func New(config Config, log *zap.Logger) (*Daemon, error) {
	config = config.withDefaults()
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	peerListener := listener
	if config.PeerListen != "" && config.PeerListen != config.Listen {
		if peerListener, err = net.Listen("tcp", config.PeerListen); err != nil {
			return nil, trace.Wrap(errors.Join(err, listener.Close()))
		}
	}
	if config.Address == "" {
		config.Address = peerListener.Addr().String()
	}
	metrics := newMetrics()
	config.Table = meteredTable{table: config.Table, metrics: metrics}
	d := &Daemon{config: config, log: log, listener: listener, peerListener: peerListener, metrics: metrics,
		acceptDone: make(chan struct{})}
	d.baseCtx, d.cancel = context.WithCancel(context.Background())
	handlers := peer.NewServer()
	d.pool = peer.NewPool(peer.Config{
		Address: config.Address, Identity: config.Instance, Keys: keyStrings(config.PeerKeys),
		MaxFrameBytes: config.MaxFrameBytes, MaxQueuedBytes: 2 * config.MaxFrameBytes, Logger: log,
	}, handlers)
	self := cluster.Member{Zone: config.Zone}
	gossip := membership.NewGossip(config.Gossip, config.Address, self.Region(), config.Seeds, newRand())
	loader := feed.NewLoader(config.Table, config.Objects)
	d.replicas = newReplicas(log, loader, d.pool, config.Address, gossip)
	d.replicas.onCluster = d.clusterChanged
	d.replicas.onCatalogue = d.updateLimits
	writer := feed.NewWriter(config.Table)
	d.writer = &clusterWriter{replicas: d.replicas, writer: writer}
	d.editor = &catalogueEditor{replicas: d.replicas, writer: writer}
	d.ids = newIDMemory(dedupe.Config{MaxIDs: config.MaxRequestIDs})
	d.slots = newSlots(config.Admission)
	d.backend = newBackendLink(d)
	d.router = &router{
		log: log, replicas: d.replicas, peers: d.pool, session: d.current.Load,
		budget: retry.NewSharedBudget(retry.BudgetConfig{}), metrics: d.metrics, draining: d.refusing.Load, loaded: d.loaded.Load,
		maxPayloadBytes: config.MaxPayloadBytes,
	}
	d.current.Store(newSessionRuntime(d, newSharedQuarantine(cluster.Session{}, nil, time.Now())))
	d.registerHandlers(handlers)
	d.registerGauges()
	d.limiter = newInputLimiter(d)
	d.server = d.newHTTPServer()
	return d, nil
}

// Address returns the address at which other daemons reach this one.
func (d *Daemon) Address() string { return d.config.Address }

// Run serves until ctx ends, then stops gracefully: its units move to other daemons and
// requests in flight finish. It returns an error if requests were aborted or a listener
// failed.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cancel()
	if len(d.config.OperatorKeys) == 0 || len(d.config.PeerKeys) == 0 {
		d.log.Warn("operator keys or peer keys are not set; calls that need them are accepted from loopback only",
			zap.Int("operator keys", len(d.config.OperatorKeys)), zap.Int("peer keys", len(d.config.PeerKeys)))
	}
	d.workers.Go(func() { d.replicas.run(d.baseCtx) })
	d.workers.Go(d.expire)
	d.workers.Go(d.archive)
	d.workers.Go(func() { d.backend.run(d.baseCtx) })
	served := make(chan error, 2)
	go func() {
		defer close(d.acceptDone)
		served <- d.server.Serve(d.limiter.Listen(callerServer, d.listener))
	}()
	if d.peerListener != d.listener {
		go func() { served <- d.server.Serve(d.limiter.Listen(peerServer, d.peerListener)) }()
	}
	d.log.Info("daemon started", zap.String("address", d.config.Address), zap.String("zone", d.config.Zone))
	d.loadFeeds(ctx)
	d.loaded.Store(true)
	d.runSessions(ctx)
	select {
	case err := <-served:
		return trace.Wrap(err)
	default:
	}
	return d.shutdown()
}

// loadFeeds reads both feeds from the store or, if that fails, from the seeds. It retries
// until ctx ends.
func (d *Daemon) loadFeeds(ctx context.Context) {
	for ctx.Err() == nil {
		err := errors.Join(
			d.replicas.catchUp(ctx, feed.TopicCluster), d.replicas.catchUp(ctx, feed.TopicCatalogue))
		if err == nil {
			return
		}
		for _, seed := range d.config.Seeds {
			d.replicas.exchange(ctx, seed)
		}
		if d.replicas.cluster().Version > 0 {
			d.log.Warn("the store is unreachable; read the feeds from a seed", zap.Error(err))
			return
		}
		d.log.Warn("cannot read the feeds yet", zap.Error(err))
		_ = sleepContext(ctx, startRetry)
	}
}

// runSessions runs a session, and a new one each time the session is fenced, until ctx
// ends.
func (d *Daemon) runSessions(ctx context.Context) {
	for {
		s := d.current.Load()
		s.start()
		if d.drainRequested.Load() {
			s.drain()
		}
		select {
		case <-ctx.Done():
			return
		case <-s.lease.stopped:
		case <-s.owner.removed:
		}
		d.log.Warn("session was fenced; joining as a new session", zap.Stringer("fenced", s.session))
		s.inFlight.cancelAll(errLeaseEnded)
		s.cancel()
		d.current.Store(newSessionRuntime(d, s.quarantine))
	}
}

// clusterChanged passes a new cluster state to the session. It runs in the goroutine of
// the replicas' mailbox.
func (d *Daemon) clusterChanged(state *cluster.State) {
	d.current.Load().clusterChanged(state)
	d.updateLimits()
}

// expire periodically drops expired request ids and strikes.
func (d *Daemon) expire() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.baseCtx.Done():
			return
		case now := <-ticker.C:
			d.ids.with(func(m *dedupe.Memory) { m.Expire(now) })
			d.current.Load().quarantine.expire(now)
		}
	}
}

// gossipStrikes sends quarantine records to some peers, which forward them if any is new
// to them.
func (d *Daemon) gossipStrikes(records []quarantine.Record, from string) {
	body, err := wire.Encode(wire.Strikes{Records: records, From: d.config.Address})
	if err != nil {
		d.log.Error("encode strikes", zap.Error(err))
		return
	}
	_ = d.replicas.mailbox.do(d.baseCtx, func() {
		for _, target := range d.replicas.gossip.PushTargets(from) {
			go func() { _ = d.pool.Notify(d.baseCtx, target, uint8(wire.KindStrikes), body) }()
		}
	})
}

func keyStrings(keys config.Keys) []string {
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = string(key)
	}
	return texts
}
