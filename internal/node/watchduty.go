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
	watchPauseMax = 800 * time.Millisecond
)

// watchDuty follows one table of the store and applies its rows to the view.
type watchDuty struct {
	table string
	store metastore.WatchedTable
	views *viewStore
	log   *zap.Logger
}

// run follows the table until ctx ends.
func (d *watchDuty) run(ctx context.Context) {
	pause, listed, lost := watchPauseMin, false, false
	var after uint64
	for ctx.Err() == nil {
		var err error
		if !listed {
			var listing metastore.Listing
			if listing, err = d.store.List(ctx, d.table); err == nil {
				d.views.replace(d.table, listing)
				after, listed = listing.Version, true
			}
		} else {
			var changes metastore.Listing
			if changes, err = d.store.Watch(ctx, d.table, after, watchWait); err == nil {
				d.views.apply(changes.Rows...)
				after = max(after, changes.Version)
			}
		}
		if err == nil {
			if lost {
				d.log.Info("store regained", zap.String("table", d.table), zap.Uint64("version", after))
			}
			pause, lost = watchPauseMin, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, metastore.ErrHistoryLost) {
			d.log.Info("history of the table is gone, reading it whole", zap.String("table", d.table))
			listed = false
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
