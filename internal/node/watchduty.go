package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

const (
	// watchWait is how long the store may hold a watch without changes. Each renewal is a
	// priced call; a connection that died is found by keep-alive probes.
	watchWait = 25 * time.Second
	// watchPauseMin and watchPauseMax bound the pause after a failed watch.
	watchPauseMin = 50 * time.Millisecond
	watchPauseMax = 1200 * time.Millisecond
	// idleCheck is the interval at which a node that does not follow a table looks
	// whether it is to do so.
	idleCheck = 200 * time.Millisecond
	// relistInterval is the time after which a node that does not follow a table reads it
	// again, against rows that the other nodes missed too.
	relistInterval = 30 * time.Second
)

// watchDuty follows one table of the store and applies its rows to the view.
type watchDuty struct {
	table string
	store metastore.WatchedTable
	views *viewStore
	log   *zap.Logger
	// follows reports whether the table is to be followed now, and listEvery how often it
	// is to be read otherwise.
	follows   func() bool
	listEvery func() time.Duration
	// sampled is told the store's newest version and clock at each answer.
	sampled func(version uint64, now time.Duration)
	// listed is when the table was read last; zero if it was not.
	listed time.Time
}

// run follows the table until ctx ends.
func (d *watchDuty) run(ctx context.Context) {
	pause, lost := watchPauseMin, false
	var after uint64
	following := false
	for ctx.Err() == nil {
		if !d.follows() {
			following = false
			if !d.listed.IsZero() && time.Since(d.listed) < d.listEvery() {
				sleep(ctx, idleCheck)
				continue
			}
		}
		var listing metastore.Listing
		var err error
		if following {
			if listing, err = d.store.Watch(ctx, d.table, after, watchWait); err == nil {
				d.views.apply(listing.Rows...)
			}
		} else if listing, err = d.store.List(ctx, d.table); err == nil {
			d.views.replace(d.table, listing)
			following, d.listed = d.follows(), time.Now()
		}
		if err == nil {
			if lost {
				d.log.Info("store regained", zap.String("table", d.table), zap.Uint64("version", listing.Version))
			}
			d.sampled(listing.Version, listing.Now)
			after = max(after, listing.Version)
			pause, lost = watchPauseMin, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, metastore.ErrHistoryLost) {
			d.log.Info("history of the table is gone, reading it whole", zap.String("table", d.table))
			following = false
			continue
		}
		if !lost {
			d.log.Warn("store lost", zap.String("table", d.table), zap.Uint64("version", after), zap.Error(err))
		}
		lost = true
		sleep(ctx, jitter(pause))
		pause = min(2*pause, watchPauseMax)
	}
}
