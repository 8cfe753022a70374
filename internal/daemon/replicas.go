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
	// pushBatch is the largest number of records in one message.
	pushBatch = 256
	// replicaMailboxSize bounds the messages that wait for the replicas.
	replicaMailboxSize = 1024
	// gossipTick is the interval of calls of membership.Gossip.Tick.
	gossipTick = 100 * time.Millisecond
	// exchangeTimeout bounds one comparison of versions with a peer, and one push.
	exchangeTimeout = 2 * time.Second
	// storeTimeout bounds one operation on the store, or one catch-up of a replica,
	// outside the request path.
	storeTimeout = 5 * time.Second
)

// replicas keeps this daemon's copies of the feeds up to date with the store and with
// other daemons.
type replicas struct {
	log     *zap.Logger
	mailbox *mailbox
	loader  *feed.Loader
	peers   transport
	address string

	clusterApplier   *clusterApplier
	catalogueApplier *catalogueApplier
	// The fields below are used only in the mailbox's goroutine.
	feeds  map[string]*feed.Replica
	gossip *membership.Gossip

	// onCluster is called in the mailbox's goroutine after each new cluster version.
	onCluster func(*cluster.State)
	// onCatalogue is called there after each new catalogue version.
	onCatalogue func()
	exchanges   chan string
	polls       chan struct{}
}

func newReplicas(log *zap.Logger, loader *feed.Loader, peers transport, address string, gossip *membership.Gossip) *replicas {
	r := &replicas{
		log: log, mailbox: newMailbox(replicaMailboxSize), loader: loader, peers: peers, address: address,
		clusterApplier: newClusterApplier(), catalogueApplier: newCatalogueApplier(),
		gossip: gossip, onCluster: func(*cluster.State) {}, onCatalogue: func() {},
		exchanges: make(chan string, 8), polls: make(chan struct{}, 1),
	}
	r.feeds = map[string]*feed.Replica{
		feed.TopicCluster:   feed.NewReplica(feed.TopicCluster, recentRecords, r.clusterApplier),
		feed.TopicCatalogue: feed.NewReplica(feed.TopicCatalogue, recentRecords, r.catalogueApplier),
	}
	return r
}

// cluster returns the latest cluster state, which must not be changed.
func (r *replicas) cluster() *cluster.State { return r.clusterApplier.state.Load() }

// catalogue returns the latest catalogue, which must not be changed.
func (r *replicas) catalogue() *catalogue.State { return r.catalogueApplier.state.Load() }

// applyAsync passes records to the replica of topic and pushes the new ones to peers other
// than from, the address that sent them; from is "" if no peer did. It does not wait; if
// the mailbox is full, the records are dropped.
func (r *replicas) applyAsync(ctx context.Context, topic string, records []feed.Record, from string) {
	posted := r.mailbox.post(func() { r.apply(ctx, topic, records, from) })
	if !posted {
		r.log.Warn("feed records dropped, the mailbox is full", zap.String("topic", topic))
	}
}

// applyAndWait is like applyAsync, but waits until the records are applied.
func (r *replicas) applyAndWait(ctx context.Context, topic string, records []feed.Record) error {
	return r.mailbox.do(ctx, func() { r.apply(ctx, topic, records, "") })
}

// apply runs in the mailbox's goroutine.
func (r *replicas) apply(ctx context.Context, topic string, records []feed.Record, from string) {
	replica := r.feeds[topic]
	if replica == nil || len(records) == 0 {
		return
	}
	applied, err := replica.Apply(records)
	if err != nil {
		r.log.Error("feed record refused", zap.String("topic", topic), zap.Error(err))
	}
	if len(applied) == 0 {
		if records[0].Version > replica.Version()+1 && from != "" {
			r.requestExchange(from)
		}
		return
	}
	r.topicChanged(topic)
	r.push(ctx, topic, applied, from)
}

func (r *replicas) topicChanged(topic string) {
	if topic == feed.TopicCatalogue {
		r.onCatalogue()
		return
	}
	state := r.cluster()
	r.gossip.SetMembers(state.SortedMembers())
	r.onCluster(state)
}

func (r *replicas) push(ctx context.Context, topic string, records []feed.Record, from string) {
	r.sendRecords(ctx, r.gossip.PushTargets(from), topic, records)
}

// notify sends records to the daemons at addresses other than this one's.
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
			// The next comparison of versions makes up for a lost push.
			go func() {
				ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
				defer cancel()
				_ = r.peers.Notify(ctx, target, uint8(wire.KindPush), body)
			}()
		}
	}
}

// requestExchange requests an exchange with the daemon at address.
func (r *replicas) requestExchange(address string) {
	select {
	case r.exchanges <- address:
	default: // enough exchanges are pending already
	}
}

// requestPoll requests an early read of the store.
func (r *replicas) requestPoll() {
	select {
	case r.polls <- struct{}{}:
	default:
	}
}

// run exchanges versions with peers and polls the store until ctx ends.
func (r *replicas) run(ctx context.Context) {
	go r.mailbox.run(ctx)
	ticker := time.NewTicker(gossipTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.tick(ctx, now)
		case address := <-r.exchanges:
			r.exchange(ctx, address)
		case <-r.polls:
			r.poll(ctx)
		}
	}
}

func (r *replicas) tick(ctx context.Context, now time.Time) {
	var peer string
	var poll bool
	if r.mailbox.do(ctx, func() { peer, poll = r.gossip.Tick(now) }) != nil { // the mailbox has stopped
		return
	}
	if peer != "" {
		r.requestExchange(peer)
	}
	if poll {
		r.requestPoll()
	}
}

func (r *replicas) restore(ctx context.Context, topic string, snapshot feed.Snapshot) {
	_ = r.mailbox.do(ctx, func() {
		before := r.feeds[topic].Version()
		if err := r.feeds[topic].Restore(snapshot); err != nil {
			r.log.Error("snapshot refused", zap.String("topic", topic), zap.Error(err))
		}
		if r.feeds[topic].Version() != before {
			r.topicChanged(topic)
		}
	})
}

func (r *replicas) versions(ctx context.Context) (map[string]uint64, error) {
	versions := make(map[string]uint64, len(r.feeds))
	err := r.mailbox.do(ctx, func() {
		for topic, replica := range r.feeds {
			versions[topic] = replica.Version()
		}
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// poll reads the records that this daemon lacks from the store.
func (r *replicas) poll(ctx context.Context) {
	for topic := range r.feeds {
		if err := r.catchUp(ctx, topic); err != nil {
			r.log.Debug("store poll failed", zap.String("topic", topic), zap.Error(err))
		}
	}
}

// catchUp brings the replica of topic to the head of the feed in the store.
func (r *replicas) catchUp(ctx context.Context, topic string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
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
		if err := r.applyAndWait(ctx, topic, records); err != nil {
			return err
		}
	}
}
