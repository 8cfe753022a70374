package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/membership"
)

const (
	// recentRecords is the number of records of a feed kept for other daemons.
	recentRecords = 1024
	// pushBatch is the number of records in one message.
	pushBatch = 256
	// replicaMailboxSize bounds the messages that wait for the replicas.
	replicaMailboxSize = 1024
	// spreadTick is the resolution of the spread's timers.
	spreadTick = 100 * time.Millisecond
	// exchangeTimeout bounds one comparison of versions with a peer.
	exchangeTimeout = 2 * time.Second
	// storeReadTimeout bounds one read of the store outside the request path.
	storeReadTimeout = 5 * time.Second
)

// replicas is the duty that keeps this daemon's copies of the feeds in step with the
// store and with other daemons.
type replicas struct {
	log     *zap.Logger
	box     *mailbox
	loader  *feed.Loader
	peers   transport
	address string

	clusterApplier   *clusterApplier
	catalogueApplier *catalogueApplier
	// The fields below are used only in the mailbox's goroutine.
	feeds  map[string]*feed.Replica
	spread *membership.Spread

	// onCluster is called in the mailbox's goroutine after each new cluster version.
	onCluster func(*cluster.State)
	// onCatalogue is called there after each new catalogue version.
	onCatalogue func()
	pulls       chan string
	polls       chan struct{}
}

func newReplicas(log *zap.Logger, loader *feed.Loader, peers transport, address string, spread *membership.Spread) *replicas {
	r := &replicas{
		log: log, box: newMailbox(replicaMailboxSize), loader: loader, peers: peers, address: address,
		clusterApplier: newClusterApplier(), catalogueApplier: newCatalogueApplier(),
		spread: spread, onCluster: func(*cluster.State) {}, onCatalogue: func() {},
		pulls: make(chan string, 8), polls: make(chan struct{}, 1),
	}
	r.feeds = map[string]*feed.Replica{
		feed.TopicCluster:   feed.NewReplica(feed.TopicCluster, recentRecords, r.clusterApplier),
		feed.TopicCatalogue: feed.NewReplica(feed.TopicCatalogue, recentRecords, r.catalogueApplier),
	}
	return r
}

// cluster returns the latest cluster state, which must not be changed.
func (r *replicas) cluster() *cluster.State { return r.clusterApplier.state.Load() }

// book returns the latest catalogue, which must not be changed.
func (r *replicas) book() *catalogue.Book { return r.catalogueApplier.book.Load() }

// offer hands records to the replica of topic and pushes the new ones to peers.
func (r *replicas) offer(ctx context.Context, topic string, records []feed.Record, from string) {
	posted := r.box.post(func() { r.apply(ctx, topic, records, from) })
	if !posted {
		r.log.Warn("feed records dropped, the replica is behind", zap.String("topic", topic))
	}
}

// offerWait is offer for a writer that needs its own record applied.
func (r *replicas) offerWait(ctx context.Context, topic string, records []feed.Record) error {
	return r.box.do(ctx, func() { r.apply(ctx, topic, records, "") })
}

// apply runs in the mailbox's goroutine.
func (r *replicas) apply(ctx context.Context, topic string, records []feed.Record, from string) {
	replica := r.feeds[topic]
	if replica == nil || len(records) == 0 {
		return
	}
	applied, err := replica.Offer(records)
	if err != nil {
		r.log.Error("feed record refused", zap.String("topic", topic), zap.Error(err))
	}
	if len(applied) == 0 {
		if records[0].Version > replica.Version()+1 && from != "" {
			r.requestPull(from)
		}
		return
	}
	r.changed(topic)
	r.push(ctx, topic, applied, from)
}

func (r *replicas) changed(topic string) {
	if topic == feed.TopicCatalogue {
		r.onCatalogue()
		return
	}
	state := r.cluster()
	r.spread.SetMembers(state.SortedMembers())
	r.onCluster(state)
}

func (r *replicas) push(ctx context.Context, topic string, records []feed.Record, from string) {
	r.sendRecords(ctx, r.spread.PushTargets(from), topic, records)
}

// notify sends records to certain daemons.
func (r *replicas) notify(addresses []string, topic string, records []feed.Record) {
	r.sendRecords(context.Background(), slices.DeleteFunc(addresses, func(a string) bool { return a == r.address }), topic, records)
}

func (r *replicas) sendRecords(ctx context.Context, targets []string, topic string, records []feed.Record) {
	for start := 0; start < len(records); start += pushBatch {
		batch := records[start:min(start+pushBatch, len(records))]
		body, err := wire.Encode(wire.Push{Topic: topic, Records: batch, From: r.address})
		if err != nil {
			r.log.Error("encode push", zap.Error(err))
			return
		}
		for _, target := range targets {
			// A lost push is repaired by the next comparison of versions.
			go func() {
				ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
				defer cancel()
				_ = r.peers.Notify(ctx, target, uint8(wire.KindPush), body)
			}()
		}
	}
}

func (r *replicas) requestPull(address string) {
	select {
	case r.pulls <- address:
	default: // pulls are pending already
	}
}

// requestPoll asks for an early read of the store.
func (r *replicas) requestPoll() {
	select {
	case r.polls <- struct{}{}:
	default:
	}
}

// run exchanges versions with peers and polls the store until ctx ends.
func (r *replicas) run(ctx context.Context) {
	go r.box.run(ctx)
	ticker := time.NewTicker(spreadTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.tick(ctx, now)
		case address := <-r.pulls:
			r.exchange(ctx, address)
		case <-r.polls:
			r.poll(ctx)
		}
	}
}

func (r *replicas) tick(ctx context.Context, now time.Time) {
	var peer string
	var poll bool
	if r.box.do(ctx, func() { peer, poll = r.spread.Tick(now) }) != nil { // the duty has ended
		return
	}
	if peer != "" {
		r.requestPull(peer)
	}
	if poll {
		r.requestPoll()
	}
}

func (r *replicas) restore(ctx context.Context, topic string, snapshot feed.Snapshot) {
	_ = r.box.do(ctx, func() {
		before := r.feeds[topic].Version()
		if err := r.feeds[topic].Restore(snapshot); err != nil {
			r.log.Error("snapshot refused", zap.String("topic", topic), zap.Error(err))
		}
		if r.feeds[topic].Version() != before {
			r.changed(topic)
		}
	})
}

func (r *replicas) versions(ctx context.Context) (map[string]uint64, error) {
	versions := make(map[string]uint64, len(r.feeds))
	err := r.box.do(ctx, func() {
		for topic, replica := range r.feeds {
			versions[topic] = replica.Version()
		}
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// poll reads records that the store has and this daemon lacks.
func (r *replicas) poll(ctx context.Context) {
	for topic := range r.feeds {
		if err := r.catchUp(ctx, topic); err != nil {
			r.log.Debug("store poll failed", zap.String("topic", topic), zap.Error(err))
		}
	}
}

// catchUp brings the replica of topic to the head of the feed in the store.
func (r *replicas) catchUp(ctx context.Context, topic string) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	head, err := r.loader.HeadVersion(ctx, topic)
	if err != nil {
		return err
	}
	for {
		versions, err := r.versions(ctx)
		if err != nil || versions[topic] >= head {
			return err
		}
		records, err := r.loader.Records(ctx, topic, versions[topic])
		if err != nil {
			return err
		}
		if len(records) == 0 || records[0].Version != versions[topic]+1 {
			snapshot, err := r.loader.LatestSnapshot(ctx, topic)
			if err != nil {
				return err
			}
			if snapshot.Version <= versions[topic] {
				return nil // the rows are being archived; the next poll finds the snapshot
			}
			r.restore(ctx, topic, snapshot)
			continue
		}
		if err := r.offerWait(ctx, topic, records); err != nil {
			return err
		}
	}
}
