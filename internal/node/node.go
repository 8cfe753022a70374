package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/retry"
)

// Node routes the requests of one instance.
type Node struct {
	config  Config
	headers Headers
	log     *zap.Logger
	events  *events
	metrics *nodeMetrics
	session cluster.Session

	store   *relayStore
	views   *viewStore
	lease   *leaseDuty
	writer  *keyWriter
	backend *backend
	planner *planner
	spread  *rowSpread
	peers   *peers
	demand  *demandMeter
	works   workMeter
	sizes   answerSizes
	pacer   *pacer
	clients *clientConns
	returns returns

	sequence atomic.Uint64
	stopping atomic.Bool

	budgetsMu sync.Mutex
	budgets   map[string]*retry.SharedBudget
}

// New returns a node that does not run yet.
func New(config Config, log *zap.Logger) *Node {
	n := &Node{
		config: config, headers: config.Protocol.Headers(), log: log,
		session: cluster.Session{Instance: config.Instance, Incarnation: rand.Uint64()},
		demand:  newDemandMeter(), works: workMeter{routes: map[string]time.Duration{}},
		sizes: answerSizes{routes: map[string]float64{}}, pacer: newPacer(config.LinkBitsPerSecond),
		budgets: map[string]*retry.SharedBudget{}, returns: returns{first: map[uint64]time.Time{}},
	}
	n.clients = newClientConns(n.clientIdleLimit, config.MaxDescriptors*clientConnShare/100)
	n.peers = newPeers(log.Named("peers"), n.stopping.Load)
	n.store = &relayStore{WatchedTable: config.Store, node: n, log: log.Named("relay")}
	n.views = newViewStore(config.Protocol, log.Named("view"))
	n.lease = &leaseDuty{instance: config.Instance, address: config.PeerAddress, store: n.store, views: n.views, log: log.Named("lease"), now: boottimeNow}
	n.writer = &keyWriter{store: n.store, views: n.views, log: log.Named("keys")}
	n.backend = newBackend(n)
	n.planner = newPlanner(n)
	n.lease.sampled = n.planner.sample
	n.spread = newSpread(n)
	n.views.fresh = n.spread.fresh
	n.metrics = newMetrics(n)
	n.events = newEvents(log, n.metrics.droppedLine)
	return n
}

// budgetShare is the part of the platform's bound on repeats that the nodes use together.
const budgetShare = 0.5

// budget returns the budget of repeats to a service. The nodes do not share it, so each
// takes its part of the platform's bound.
func (n *Node) budget(service string) *retry.SharedBudget {
	n.budgetsMu.Lock()
	defer n.budgetsMu.Unlock()
	b := n.budgets[service]
	if b == nil {
		members := float64(max(len(n.views.current().Members), 1))
		extra := budgetShare * float64(n.config.Bounds.RetryExtra) / members
		b = retry.NewSharedBudget(retry.BudgetConfig{
			Share: budgetShare * n.config.Bounds.RetryShare, MaxSaved: max(extra, 1),
			FloorPerSecond: max(extra, 1) / (4 * n.config.Bounds.RetryWindow.Seconds()), FloorBurst: 1,
		})
		n.budgets[service] = b
	}
	return b
}

// Run serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("starting", zap.String("zone", n.config.Zone), zap.String("service", n.config.Service), zap.String("clients", n.config.ClientAddress),
		zap.String("peers", n.config.PeerAddress), zap.String("backend", n.config.BackendAddress))
	servers, err := n.listen()
	if err != nil {
		return err
	}
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	var running sync.WaitGroup
	for _, duty := range []func(context.Context){
		n.watchDesiredState, n.watchCluster, n.lease.run, n.backend.runMember, n.planner.run, n.planner.runRenewals,
		n.runReports, n.spread.runPush, n.spread.runDigests, n.runHousekeeping,
	} {
		running.Go(func() { duty(duties) })
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("%s: %w", s.name, err)
			}
		}()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.stop(servers)
	stopDuties()
	running.Wait()
	n.peers.close()
	n.log.Info("stopped")
	return nil
}

// watchDesiredState follows the operator's desired state; every node does, because a
// change must be in force everywhere within seconds.
func (n *Node) watchDesiredState(ctx context.Context) {
	d := n.watch(tableOf(n.config.Protocol.DesiredStateRow()))
	d.follows = func() bool { return true }
	d.run(ctx)
}

// watchCluster follows the cluster's rows if this node plans. Other nodes get them from
// each other; they read the store at times, and often while they reach no other node.
func (n *Node) watchCluster(ctx context.Context) {
	d := n.watch(clusterTable)
	d.follows = func() bool { return n.views.current().Planner.Instance == n.config.Instance }
	d.listEvery = func() time.Duration {
		if n.spread.isolated() {
			return isolatedPoll
		}
		return relistInterval
	}
	// The lease duty reads the table at the start.
	for view, changed := n.views.get(); !view.Listed && ctx.Err() == nil; view, changed = n.views.get() {
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	d.listed = time.Now()
	d.run(ctx)
}

func (n *Node) watch(table string) *watchDuty {
	return &watchDuty{table: table, store: n.store, views: n.views, log: n.log.Named("watch"), sampled: n.planner.sample}
}

// housekeepingInterval is the time between two looks for connections to nodes that left.
const housekeepingInterval = 5 * time.Second

func (n *Node) runHousekeeping(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, housekeepingInterval)
		addresses := map[string]bool{}
		for _, m := range n.views.current().Members {
			addresses[m.Address] = true
		}
		n.peers.retain(addresses)
	}
}

// ready answers the platform's readiness check.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	view := n.views.current()
	if n.stopping.Load() || view.Routes == nil || !view.Listed {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// boundServer is one address with its server.
type boundServer struct {
	name     string
	server   *http.Server
	listener net.Listener
}

const (
	// headerTimeout bounds the time in which a client sends the header of a request, as
	// long as the operator's limits are not known.
	headerTimeout = 10 * time.Second
	// clientIdle is how long an idle connection of a client is kept if the operator's limit
	// is not known.
	clientIdle = 90 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

func (n *Node) listen() ([]boundServer, error) {
	ready := http.NewServeMux()
	ready.HandleFunc(n.config.Protocol.ReadyPath(), n.ready)
	peers := http.NewServeMux()
	peers.HandleFunc("POST "+reportPath, n.serveReport)
	peers.HandleFunc("POST "+rowsPath, n.spread.serveRows)
	peers.HandleFunc("POST "+digestPath, n.spread.serveDigest)
	peers.HandleFunc("POST "+storePath, n.store.serveStore)
	peers.HandleFunc("GET "+pingPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.metrics)
	var out []boundServer
	for _, s := range []struct {
		name, address string
		handler       http.Handler
		optional      bool
	}{
		{"clients", n.config.ClientAddress, http.HandlerFunc(n.serveClient), false},
		{"ready", n.config.ReadyAddress, ready, false},
		{"heartbeats", n.config.HeartbeatAddress, http.HandlerFunc(n.backend.announce), false},
		{"peers", n.config.PeerAddress, n.peerHandler(peers), false},
		{"metrics", n.config.MetricsAddress, metricsMux, true},
	} {
		if s.address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil && s.optional {
			n.log.Warn("not listening", zap.String("for", s.name), zap.String("address", s.address), zap.Error(err))
			continue
		}
		if err != nil {
			for _, open := range out {
				open.listener.Close()
			}
			return nil, fmt.Errorf("listen for %s: %w", s.name, err)
		}
		server := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: zap.NewStdLog(n.log.Named(s.name)),
		}
		if s.name == "clients" {
			server.ConnState = n.clients.state
		}
		out = append(out, boundServer{s.name, server, l})
	}
	return out, nil
}

// clientConnShare is the part of the file descriptors, in percent, from which connections
// of clients are closed with each answer; refused clients come back on new connections. The
// rest is for other nodes, the backend server and clients with requests that run.
const clientConnShare = 40

// clientIdleLimit returns how long the operator lets a client's connection be idle; 0 if
// that is not known, and then clientIdle holds.
func (n *Node) clientIdleLimit() time.Duration {
	routes := n.views.current().Routes
	if routes == nil {
		return 0
	}
	return routes.Limits.IdleTimeout
}

// peerHandler sends calls between nodes to their handlers. Requests of clients keep their
// own paths and carry a ticket.
func (n *Node) peerHandler(calls http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hopHeader) != "" {
			n.servePeer(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	}
}

const (
	// stopReadyFor is how long a stopping node serves on while the platform finds out,
	// by two failed checks a second apart, that it is not ready.
	stopReadyFor = 2300 * time.Millisecond
	// stopReserve is the part of the stop timeout that is left for the end of the process.
	stopReserve = 700 * time.Millisecond
)

// stop serves until clients have been sent elsewhere, and then finishes what runs.
func (n *Node) stop(servers []boundServer) {
	started := time.Now()
	n.stopping.Store(true)
	n.log.Info("stopping", zap.Int("running", n.backend.lane.load().running))
	limit := n.config.Bounds.StopTimeout - stopReserve
	time.Sleep(min(stopReadyFor, limit))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(limit))
	defer cancel()
	var done sync.WaitGroup
	for _, s := range servers {
		done.Go(func() {
			if err := s.server.Shutdown(ctx); err != nil {
				n.log.Warn("requests cut by the stop", zap.String("server", s.name), zap.Error(err))
				s.server.Close()
			}
		})
	}
	done.Wait()
}

// logOutcome writes a line about a request that this node did not serve for another one.
func (n *Node) logOutcome(t ticket, id string, out outcome) {
	load := n.backend.lane.load()
	n.events.request("request not served here", id, zap.String("route", t.route), zap.Uint16("key", t.key),
		zap.Stringer("verdict", out.err.Verdict), zap.String("reason", string(out.err.Reason)), zap.String("cause", out.err.Message),
		zap.Int("running", load.running), zap.Int("waiting", load.waiting), zap.Int("slots", load.slots))
}
