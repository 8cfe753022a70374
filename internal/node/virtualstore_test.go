package node

import (
	"context"
	"encoding/base64"
	"fmt"
	"sync"
	"time"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// virtualStore is a node's connection to the store.
type virtualStore struct {
	metastore.WatchedTable
	node *virtualNode
}

func (s virtualStore) List(ctx context.Context, table string) (metastore.Listing, error) {
	if s.node.cutOff.Load() {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	listing, err := s.WatchedTable.List(ctx, table)
	if s.carry(ctx, listing); ctx.Err() != nil {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	return listing, err
}

// carry takes the time that a listing takes on the instance's link, in base64 as the users' store sends it.
func (s virtualStore) carry(ctx context.Context, listing metastore.Listing) {
	metastore.AnswerBegan(ctx)
	size := 0
	for _, row := range listing.Rows {
		size += base64.StdEncoding.EncodedLen(len(row.Value))
	}
	s.node.cluster.carry(ctx, nil, s.node, size)
}

func (s virtualStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	if s.node.cutOff.Load() {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, wait+virtualWatchMargin)
	defer cancel()
	defer s.node.cutOff.onCut(cancel)()
	s.node.cluster.watches.add(table)
	s.node.openWatches.add(table)
	defer s.node.openWatches.done(table)
	before := s.node.silences.Load()
	listing, err := s.WatchedTable.Watch(ctx, table, after, wait)
	if s.node.silences.Load() != before {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	if s.carry(outer, listing); outer.Err() != nil {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	return listing, err
}

// storeCut tells whether a node is cut off from the store, and ends its watches when that begins.
type storeCut struct {
	mu      sync.Mutex
	off     bool
	watches map[*context.CancelFunc]bool
}

// Load reports whether the node is cut off.
func (s *storeCut) Load() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.off
}

// Store cuts the node off or ends that.
func (s *storeCut) Store(off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off = off
	for cancel := range s.watches {
		if off {
			(*cancel)()
		}
	}
}

// onCut calls cancel when the node is cut off, until the returned function is called.
func (s *storeCut) onCut(cancel context.CancelFunc) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches == nil {
		s.watches = map[*context.CancelFunc]bool{}
	}
	s.watches[&cancel] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches, &cancel)
	}
}

// virtualWatchMargin is how much longer than its wait a client waits for the answer to a watch.
const virtualWatchMargin = 2 * time.Second

func (s virtualStore) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	if s.node.cutOff.Load() {
		return metastore.Applied{}, metastore.ErrUnavailable
	}
	late := s.node.cluster.lateWrites.take(s.node, txn, func() {
		// The transaction fails if its conditions no longer hold.
		_, _ = s.WatchedTable.Apply(context.Background(), txn)
	})
	if late {
		sleep(ctx, virtualStoreTimeout)
		return metastore.Applied{}, fmt.Errorf("%w: no answer", metastore.ErrUnknown)
	}
	return s.WatchedTable.Apply(ctx, txn)
}

// virtualStoreTimeout is how long a client waits for the answer to a write.
const virtualStoreTimeout = 1500 * time.Millisecond

// goBack makes the store unavailable for away and then come back as it was age before that.
func (c *virtualCluster) goBack(age, away time.Duration) {
	c.goBackBut(age, away, func(key string) bool { return key == simProtocol{}.DesiredStateRow() })
}

// goBackBut is goBack, with the rows whose keys match kept written again.
func (c *virtualCluster) goBackBut(age, away time.Duration, kept func(key string) bool) {
	from := time.Now().Add(-age)
	c.store.SetFaults(memory.Faults{Down: true})
	time.Sleep(away)
	c.store.Rewind(from, kept)
	c.store.SetFaults(memory.Faults{Delay: storeDelay})
}

// storeDelay is the time of a call to the store.
const storeDelay = 4 * time.Millisecond
