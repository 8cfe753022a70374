// Package daemon wires the decision packages into basilwayd. Each duty is a goroutine
// with a bounded mailbox; the request path runs on the goroutines of net/http.
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
	"github.com/basilway/basilway/internal/peer"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/retry"
)

const (
	// startRetry is the pause between attempts to read the feeds at the start.
	startRetry = 500 * time.Millisecond
	// requestIDsExpiry is how often old request ids and strikes are dropped.
	requestIDsExpiry = 5 * time.Second
)

// Daemon is one basilwayd.
type Daemon struct {
	config   Config
	log      *zap.Logger
	pool     *peer.Pool
	replicas *replicas
	writer   *clusterWriter
	editor   *editor
	ids      *idMemory
	slots    *slots
	backend  *backendLink
	metrics  *metrics
	router   *router
	server   *http.Server
	listener net.Listener
	// accepted is closed when listener accepts no more connections.
	accepted chan struct{}
	// peerListener equals listener unless other daemons use an address of their own.
	peerListener net.Listener

	// life ends when the daemon has stopped.
	life    context.Context
	end     context.CancelFunc
	duties  sync.WaitGroup
	current atomic.Pointer[sessionRuntime]
	// loaded is set when the feeds were read once.
	loaded atomic.Bool
	// stopping is set when a graceful stop has begun.
	stopping atomic.Bool
	// refusing is set when the daemon takes no new requests.
	refusing atomic.Bool
	// drained is set when an operator asked for a drain.
	drained atomic.Bool
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
		accepted: make(chan struct{})}
	d.life, d.end = context.WithCancel(context.Background())
	handlers := peer.NewServer()
	d.pool = peer.NewPool(peer.Config{
		Address: config.Address, Identity: config.Instance, Keys: keyTexts(config.PeerKeys),
		MaxFrameBytes: config.MaxFrameBytes, MaxQueuedBytes: 2 * config.MaxFrameBytes, Logger: log,
	}, handlers)
	self := cluster.Member{Zone: config.Zone}
	spread := membership.NewSpread(config.Spread, config.Address, self.Region(), config.Seeds, newRand())
	loader := feed.NewLoader(config.Table, config.Objects)
	d.replicas = newReplicas(log, loader, d.pool, config.Address, spread)
	d.replicas.onCluster = d.clusterChanged
	d.replicas.onCatalogue = d.updateLimits
	writer := feed.NewWriter(config.Table)
	d.writer = &clusterWriter{replicas: d.replicas, writer: writer}
	d.editor = &editor{replicas: d.replicas, writer: writer}
	d.ids = newIDMemory(dedupe.Config{MaxIDs: config.MaxRequestIDs})
	d.slots = newSlots(config.Admission)
	d.backend = newBackendLink(d)
	d.router = &router{
		log: log, replicas: d.replicas, peers: d.pool, session: d.current.Load,
		budget: retry.NewSharedBudget(retry.BudgetConfig{}), metrics: d.metrics, draining: d.refusing.Load, loaded: d.loaded.Load,
		maxPayloadBytes: config.MaxPayloadBytes,
	}
	d.current.Store(newSessionRuntime(d, newSuspects(cluster.Session{}, nil, time.Now())))
	d.registerHandlers(handlers)
	d.registerGauges()
	d.server = d.newHTTPServer()
	return d, nil
}

// Address returns the address at which other daemons reach this one.
func (d *Daemon) Address() string { return d.config.Address }

// Run serves until ctx ends, then stops gracefully: its units move to other daemons
// and requests in flight finish. It returns nil if no request was cut.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.end()
	if len(d.config.OperatorKeys) == 0 || len(d.config.PeerKeys) == 0 {
		d.log.Warn("no operator key or no peer key is set; such calls are accepted from loopback only",
			zap.Int("operator keys", len(d.config.OperatorKeys)), zap.Int("peer keys", len(d.config.PeerKeys)))
	}
	d.duties.Go(func() { d.replicas.run(d.life) })
	d.duties.Go(d.expire)
	d.duties.Go(d.archive)
	d.duties.Go(func() { d.backend.run(d.life) })
	served := make(chan error, 2)
	go func() {
		defer close(d.accepted)
		served <- d.server.Serve(d.listener)
	}()
	if d.peerListener != d.listener {
		go func() { served <- d.server.Serve(d.peerListener) }()
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

// loadFeeds waits until both feeds were read once, from the store or from a seed.
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
			d.log.Warn("the store is not reachable; the feeds were read from a seed", zap.Error(err))
			return
		}
		d.log.Warn("feeds not read yet", zap.Error(err))
		_ = sleepContext(ctx, startRetry)
	}
}

// runSessions runs one session after the other until ctx ends.
func (d *Daemon) runSessions(ctx context.Context) {
	for {
		s := d.current.Load()
		s.start()
		if d.drained.Load() {
			s.drain()
		}
		select {
		case <-ctx.Done():
			return
		case <-s.lease.stopped:
		case <-s.owner.removed:
		}
		d.log.Warn("session was fenced; joining as a new one", zap.Stringer("fenced", s.session))
		s.inFlight.cancelAll(errLeaseEnded)
		s.end()
		d.current.Store(newSessionRuntime(d, s.suspects))
	}
}

// clusterChanged runs in the goroutine of the replicas.
func (d *Daemon) clusterChanged(state *cluster.State) {
	d.current.Load().clusterChanged(state)
	d.updateLimits()
}

// expire drops what is too old to matter.
func (d *Daemon) expire() {
	ticker := time.NewTicker(requestIDsExpiry)
	defer ticker.Stop()
	for {
		select {
		case <-d.life.Done():
			return
		case now := <-ticker.C:
			d.ids.with(func(m *dedupe.Memory) { m.Expire(now) })
			d.current.Load().suspects.expire(now)
		}
	}
}

// spreadStrikes sends quarantine records to some peers, which pass on what is new to
// them.
func (d *Daemon) spreadStrikes(records []quarantine.Record, from string) {
	body, err := wire.Encode(wire.Strikes{Records: records, From: d.config.Address})
	if err != nil {
		d.log.Error("encode strikes", zap.Error(err))
		return
	}
	_ = d.replicas.box.do(d.life, func() {
		for _, target := range d.replicas.spread.PushTargets(from) {
			go func() { _ = d.pool.Notify(d.life, target, uint8(wire.KindStrikes), body) }()
		}
	})
}

func keyTexts(keys config.Keys) []string {
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = string(key)
	}
	return texts
}
