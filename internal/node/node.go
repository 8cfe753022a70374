package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/evacuation"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/preflight"
	"github.com/basilway/basilway/retry"
	"github.com/basilway/basilway/stopperiod"
)

// Node routes the requests of one instance.
type Node struct {
	config  Config
	headers Headers
	log     *zap.Logger
	events  *events
	metrics *nodeMetrics
	session cluster.Session

	store     *relayStore
	views     *viewStore
	lease     *leaseKeeper
	writer    *keyWriter
	backend   *backend
	planner   *planner
	gossip    *rowGossip
	moves     *moveRecorder
	desired   *desiredStateGossip
	fetcher   *desiredStateFetcher
	source    *desiredStateSource
	freshness *routeFreshness
	peers     *peers
	demand    *demandMeter
	meanWork  workMeter
	contact   *storeContact
	sizes     responseSizes
	buffers   responseBuffers
	pacer     *pacer
	clients   *clientConns
	limiter   *inputlimit.Limiter
	refusals  refusals
	zoneExits zoneExits
	// preflights decides when a node in another availability zone is asked before it gets a request.
	preflights preflights
	// plannerContact is when the planner last accepted a report of this node.
	plannerContact plannerContact
	// newestRead is the newest read of the desired state by any node.
	newestRead newestRead
	statuses   *statuses
	// reportNow makes the node send its next report to the planner at once.
	reportNow broadcast
	// evacuation decides what evacuated availability zones mean.
	evacuation evacuation.Policy
	// generation is the present generation of the store.
	generation *storeGeneration
	// now reads the clock that leases and holds are measured with.
	now func() time.Time
	// exchange sends a message to a peer and returns the response body.
	exchange func(ctx context.Context, address, path string, body []byte) ([]byte, error)

	sequence atomic.Uint64
	stopping atomic.Bool
	// stopPeriod is set once the node stops. ending ends by endRequests when the requests that still run are given up.
	stopPeriod  atomic.Pointer[stopperiod.Period]
	ending      context.Context
	endRequests context.CancelFunc

	budgetsMu sync.Mutex
	budgets   map[string]*retry.SharedBudget
}

// New returns a node that is not running yet.
func New(config Config, log *zap.Logger) *Node {
	n := &Node{
		config: config, headers: config.Protocol.Headers(), log: log,
		session: cluster.Session{Instance: config.Instance, Incarnation: rand.Uint64()},
		demand:  newDemandMeter(), contact: newStoreContact(), meanWork: workMeter{routes: map[string]time.Duration{}},
		sizes: responseSizes{routes: map[string]float64{}}, pacer: newPacer(config.LinkBitsPerSecond),
		budgets: map[string]*retry.SharedBudget{}, refusals: refusals{first: map[uint64]time.Time{}}, zoneExits: zoneExits{services: map[string]*zoneExit{}},
		preflights: preflights{routes: map[string]*preflight.Route{}},
		now:        config.Now,
	}
	if n.now == nil {
		n.now = boottimeNow
	}
	n.exchange = n.exchangeHTTP
	n.ending, n.endRequests = context.WithCancel(context.Background())
	n.evacuation = evacuation.Policy{Bound: config.Bounds.Evacuate}
	n.statuses, n.generation = newStatuses(n.now), newStoreGeneration(config.Bootstrap, n.now)
	n.clients = newClientConns(n.clientIdleLimit, config.MaxDescriptors*clientConnPercent/100)
	n.peers = newPeers(log.Named("peers"), n.stopping.Load)
	n.peers.counter = n.peerByteCounter
	store := countedStore{config.Store, func(call, rows string, err error) { n.metrics.countStoreCall(call, rows, err) }}
	n.store = &relayStore{WatchedTable: store, node: n, log: log.Named("relay")}
	n.views = newViewStore(config.Protocol, log.Named("view"))
	n.lease = &leaseKeeper{
		instance: config.Instance, address: config.PeerAddress, store: n.store, views: n.views, log: log.Named("lease"), now: n.now,
		earlierGrantsEnd: n.now().Add(leaseDuration),
	}
	n.writer = newKeyWriter(n.store, n.views, n.lease, log.Named("keys"))
	n.backend = newBackend(n)
	n.planner = newPlanner(n)
	n.lease.sample = n.planner.sample
	n.gossip, n.desired, n.moves = newRowGossip(n), newDesiredStateGossip(n), newMoveRecorder(n)
	n.fetcher, n.source = newDesiredStateFetcher(n), newDesiredStateSource(n)
	n.freshness = newRouteFreshness(config.Bounds.ConfigApply, log.Named("desired"))
	n.views.beginDecode = n.freshness.beginDecode
	n.views.onNewRows = n.gossip.enqueue
	n.views.onGeneration = n.enterGeneration
	n.views.settled = n.generation.settled
	n.views.evacuations.policy, n.views.evacuations.prefix, n.views.evacuations.now = n.evacuation, config.Protocol.EvacuationRows(), n.now
	n.views.onEvacuation = n.desired.notify
	n.lease.restored, n.lease.onLapse = n.restored, n.generation.stopVouching
	n.metrics = newMetrics(n)
	n.views.onDesiredState = func(version uint64, forwarded bool) {
		n.metrics.countDesiredState(forwarded)
		n.fetcher.applied(version)
		n.freshness.applied(version)
		n.desired.notify()
	}
	n.events = newEvents(log, n.metrics.countDroppedLine)
	n.limiter = newInputLimiter(n)
	return n
}

// retryBudgetShare is the fraction of the platform's retry limit that all nodes use together.
const retryBudgetShare = 0.5

// budget returns the retry budget for a service. The nodes do not share it, so each uses
// its part of the platform's limit.
func (n *Node) budget(service string) *retry.SharedBudget {
	n.budgetsMu.Lock()
	defer n.budgetsMu.Unlock()
	b := n.budgets[service]
	if b == nil {
		members := float64(max(len(n.views.current().Members), 1))
		extra := retryBudgetShare * float64(n.config.Bounds.RetryExtra) / members
		b = retry.NewSharedBudget(retry.BudgetConfig{
			Share: retryBudgetShare * n.config.Bounds.RetryShare, MaxSaved: max(extra, 1),
			FloorPerSecond: max(extra, 1) / (4 * n.config.Bounds.RetryWindow.Seconds()), FloorBurst: 1,
		})
		n.budgets[service] = b
	}
	return b
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("starting", zap.String("zone", n.config.Zone), zap.String("service", n.config.Service), zap.String("clients", n.config.ClientAddress),
		zap.String("peers", n.config.PeerAddress), zap.String("backend", n.config.BackendAddress),
		zap.Bool("prefer zone", n.config.PreferZone))
	servers, err := n.listen()
	if err != nil {
		return err
	}
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var running sync.WaitGroup
	for _, task := range n.tasks() {
		running.Go(func() { task(tasks) })
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
	started := time.Now()
	n.stop(servers)
	stopTasks()
	running.Wait()
	n.peers.close()
	n.log.Info("stopped", zap.Duration("took", time.Since(started)))
	return nil
}

// tasks returns what runs beside the servers.
func (n *Node) tasks() []func(context.Context) {
	return []func(context.Context){
		n.watchDesiredState, n.watchCluster, n.lease.run, n.backend.runReconcile, n.planner.run, n.planner.runRenewals,
		n.runReports, n.runRestore, n.gossip.runPush, n.gossip.runDigests, n.gossip.runNewMembers, n.desired.run, n.fetcher.run, n.moves.run, n.runEvacuations, n.runHousekeeping, n.backend.capacity.run,
	}
}

// watchCluster watches the cluster's rows if this node is the planner. Other nodes get them
// from each other; they list the rows every relistInterval too, and more often while they reach
// no other node.
func (n *Node) watchCluster(ctx context.Context) {
	w := n.newTableWatcher(clusterTable)
	w.pause = clusterWatchPause
	w.shouldWatch = func() bool { return n.views.current().Planner.Instance == n.config.Instance }
	w.watchers = func() int { return 1 }
	w.listInterval = func() time.Duration {
		if n.gossip.isolated() {
			return isolatedPollInterval
		}
		return relistInterval(len(n.views.current().Members))
	}
	// The lease keeper lists the table when it acquires the lease.
	for view, changed := n.views.get(); !view.Listed && ctx.Err() == nil; view, changed = n.views.get() {
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	w.lastListed = time.Now()
	w.run(ctx)
}

// clusterWatchPause is the pause between two watches of the cluster's rows. Who writes a row also sends
// it to the planner, so the watch brings it only what was lost.
const clusterWatchPause = 200 * time.Millisecond

func (n *Node) newTableWatcher(table string) *tableWatcher {
	return &tableWatcher{table: table, store: n.store, views: n.views, log: n.log.Named("watch"), contact: n.contact, sample: n.planner.sample}
}

// housekeepingInterval is the interval at which connections to nodes that left are closed.
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

// serveReady handles the platform's readiness check.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	view := n.views.current()
	if n.stopping.Load() || view.Routes == nil || !view.Listed {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
