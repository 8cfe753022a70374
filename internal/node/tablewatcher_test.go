package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

// scriptedStore answers reads with functions and counts listings.
type scriptedStore struct {
	metastore.WatchedTable
	list     func() metastore.Listing
	watch    func(ctx context.Context) (metastore.Listing, error)
	listings atomic.Int64
}

func (s *scriptedStore) List(context.Context, string) (metastore.Listing, error) {
	s.listings.Add(1)
	time.Sleep(storeDelay)
	return s.list(), nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (metastore.Listing, error) {
	return s.watch(ctx)
}

// watchDesired runs a watcher of the desired state until the test ends.
func watchDesired(t *testing.T, store *scriptedStore) *viewStore {
	views := newViewStore(simProtocol{}, zap.NewNop())
	w := &tableWatcher{
		table: tableOf(simProtocol{}.DesiredStateRow()), store: store, views: views, log: zap.NewNop(), contact: newStoreContact(),
		shouldWatch: func() bool { return true }, watchers: func() int { return 100 }, sample: func(uint64, time.Duration) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return views
}

// Guards against a watch that resumes in an earlier generation of the store and misses rows that were
// written at versions given out again.
func TestWatchEndsOnceTheStoreIsKnownToHaveGoneBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var generation atomic.Uint64
		store := &scriptedStore{
			list: func() metastore.Listing {
				now := generation.Load()
				row := desiredRow(now+1, metastore.VersionOf(now, 90))
				return metastore.Listing{Rows: []metastore.Row{row}, Version: row.Version}
			},
			watch: func(ctx context.Context) (metastore.Listing, error) {
				<-ctx.Done()
				return metastore.Listing{}, metastore.ErrUnavailable
			},
		}
		views := watchDesired(t, store)
		time.Sleep(100 * time.Millisecond)
		generation.Store(1)
		views.observeGeneration(metastore.VersionOf(1, 95)) // by a response to another call
		time.Sleep(100 * time.Millisecond)
		version, _ := views.desiredState()
		g.Expect(version).To(BeEquivalentTo(2))
	})
}

// Guards against a node that lists a table again and again without a pause while its watches cannot
// resume, as when other nodes read a later generation of the store for it. All nodes together may make
// 2,000 reads a second; with 1,900 nodes that is one a second for each.
func TestListingsPauseWhileWatchesCannotResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &scriptedStore{
			list:  func() metastore.Listing { return metastore.Listing{Version: 1} },
			watch: func(context.Context) (metastore.Listing, error) { return metastore.Listing{}, metastore.ErrHistoryLost },
		}
		watchDesired(t, store)
		const seconds = 60
		time.Sleep(seconds * time.Second)
		g.Expect(store.listings.Load()).To(BeNumerically("<=", 2*seconds))
	})
}

// Guards against a reader with a slow link that never gets a large row, because it gives up each watch
// while the answer arrives.
func TestWatchIsNotGivenUpWhileItsAnswerArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var watches atomic.Int64
		store := &scriptedStore{
			list: func() metastore.Listing {
				return metastore.Listing{Version: 20, Rows: []metastore.Row{desiredRow(5, 20)}}
			},
			watch: func(ctx context.Context) (metastore.Listing, error) {
				if watches.Add(1) > 1 {
					<-ctx.Done()
					return metastore.Listing{}, ctx.Err()
				}
				metastore.AnswerBegan(ctx)
				select {
				case <-time.After(maxAnswerTime - time.Second):
					return metastore.Listing{Version: 21, Rows: []metastore.Row{desiredRow(6, 21)}}, nil
				case <-ctx.Done():
					return metastore.Listing{}, ctx.Err()
				}
			},
		}
		views := watchDesired(t, store)
		time.Sleep(maxAnswerTime)
		version, _ := views.desiredState()
		g.Expect(version).To(BeEquivalentTo(6))
		g.Expect(store.listings.Load()).To(BeEquivalentTo(1))
	})
}
