package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

const (
	// minWatchWait and maxWatchWait are the shortest and longest time that the store is asked to
	// hold a watch open without changes.
	minWatchWait = 500 * time.Millisecond
	maxWatchWait = 25 * time.Second
	// watchAnswerMargin is how long after that time the answer may begin to arrive. A connection can lose
	// an answer and look alive.
	watchAnswerMargin = 700 * time.Millisecond
	// maxAnswerTime bounds the rest of the answer.
	maxAnswerTime = 10 * time.Second
	// minMeanWatchWait is the mean wait if few nodes watch the table.
	minMeanWatchWait = time.Second
	// watchesPerSecond is the rate at which all nodes together begin watches of a table anew
	// while nothing changes. It bounds how long it takes until one of them notices that all
	// answers were lost; each watch is a priced call.
	watchesPerSecond = 5.0
	// watchBackoffMin and watchBackoffMax bound the backoff after a failed watch.
	watchBackoffMin = 50 * time.Millisecond
	watchBackoffMax = 1200 * time.Millisecond
	// watchCheckInterval is the interval at which a node that does not watch a table checks
	// whether it should.
	watchCheckInterval = 200 * time.Millisecond
	// minRelistInterval is the shortest time after which a node that does not watch a table lists it
	// again, in case the other nodes missed rows too.
	minRelistInterval = 30 * time.Second
	// listingsPerSecond is the rate of these listings of all nodes together.
	listingsPerSecond = 1.0
)

// tableWatcher watches one table of the store and applies its rows to the view.
type tableWatcher struct {
	table string
	store metastore.WatchedTable
	views *viewStore
	log   *zap.Logger
	// contact records the store's answers.
	contact *storeContact
	// shouldWatch reports whether the table is to be watched now, and listInterval returns
	// how often it is listed otherwise. listInterval may be nil if shouldWatch is always true.
	shouldWatch  func() bool
	listInterval func() time.Duration
	// watchers returns how many nodes watch the table.
	watchers func() int
	// sample is called with the store's newest version and clock at each response.
	sample func(version uint64, now time.Duration)
	// onListing, if not nil, is called with each listing before it is applied, and with when its
	// read began. onWatch, if not nil, is called after the rows of a watch are applied.
	onListing func(listing metastore.Listing, started time.Time)
	onWatch   func(version uint64)
	// now is the clock of onListing; nil without one.
	now func() time.Time
	// pause is the time after a watch with changes until the next one, which collects changes that
	// also reach the node in other ways.
	pause time.Duration
	// listsWhenBehind is set for a table whose changes have more bytes than the table itself. It is then
	// listed while changes are made faster than they are read.
	listsWhenBehind bool
	// lastListed is when the table was last listed; zero if it was not.
	lastListed time.Time
}

// run watches the table until ctx ends.
func (w *tableWatcher) run(ctx context.Context) {
	backoff, failing := watchBackoffMin, false
	// resumePause is the pause before a listing after a watch that could not resume; 0 if the last
	// watch did.
	var resumePause time.Duration
	var after uint64
	watching := false
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			watching = false
			if !w.lastListed.IsZero() && time.Since(w.lastListed) < w.listInterval() {
				sleep(ctx, watchCheckInterval)
				continue
			}
		}
		var listing metastore.Listing
		var err error
		answer := answerTimer{}
		if watching {
			if listing, err = w.watch(ctx, after, &answer); err == nil {
				w.views.apply(listing.Rows...)
				if w.onWatch != nil {
					w.onWatch(listing.Version)
				}
				resumePause = 0
				if len(listing.Rows) > 0 {
					sleep(ctx, w.pause)
				}
				watching = !w.listsWhenBehind || !isBehind(listing, after, answer)
			}
		} else if listing, err = w.list(ctx, &answer); err == nil {
			w.views.replace(w.table, listing)
			watching, w.lastListed = w.shouldWatch() && (!w.listsWhenBehind || !isBehind(listing, after, answer)), time.Now()
		}
		if err == nil {
			if failing {
				w.log.Info("store reachable again", zap.String("table", w.table), zap.Uint64("version", listing.Version))
			}
			w.contact.record(w.table)
			w.sample(listing.Version, listing.Now)
			after = max(after, listing.Version)
			backoff, failing = watchBackoffMin, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, metastore.ErrHistoryLost) {
			w.log.Info("watch history of the table is gone; listing the whole table", zap.String("table", w.table))
			watching = false
			sleep(ctx, jitter(resumePause))
			resumePause = min(max(2*resumePause, watchBackoffMin), watchBackoffMax)
			continue
		}
		if errors.Is(err, errWatchSilent) {
			w.log.Info("watch not answered; listing the whole table", zap.String("table", w.table), zap.Uint64("version", after),
				zap.Duration("since its last answer", w.contact.age(w.table)))
			watching = false
			continue
		}
		if !failing {
			w.log.Warn("store not reachable", zap.String("table", w.table), zap.Uint64("version", after), zap.Bool("watching", watching),
				zap.Duration("since its last answer", w.contact.age(w.table)), zap.Error(err))
		}
		failing = true
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, watchBackoffMax)
	}
}

// isBehind reports whether further changes have probably been made while an answer with rows that are
// newer than a version arrived.
func isBehind(listing metastore.Listing, after uint64, answer answerTimer) bool {
	return answer.took > slowAnswer && slices.ContainsFunc(listing.Rows, func(row metastore.Row) bool { return row.Version > after })
}

// list reads the whole table.
func (w *tableWatcher) list(ctx context.Context, answer *answerTimer) (metastore.Listing, error) {
	var started time.Time
	if w.now != nil {
		started = w.now()
	}
	listing, err := w.store.List(metastore.WithAnswerHook(ctx, answer.observe), w.table)
	answer.stop()
	if err == nil && w.onListing != nil {
		w.onListing(listing, started)
	}
	return listing, err
}

// relistInterval returns the time between two listings of a node that does not watch a table, in a
// cluster with a number of members.
func relistInterval(members int) time.Duration {
	return max(minRelistInterval, time.Duration(float64(members)/listingsPerSecond*float64(time.Second)))
}

// errWatchSilent means that a watch was not answered in time.
var errWatchSilent = errors.New("watch not answered")

// slowAnswer is how long a slow answer takes from its first byte.
const slowAnswer = 250 * time.Millisecond

// answerTimer measures how long an answer takes from its first byte.
type answerTimer struct {
	began time.Time
	took  time.Duration
}

// observe is called when a part of the answer arrives.
func (t *answerTimer) observe() {
	if t.began.IsZero() {
		t.began = time.Now()
	}
}

// stop is called at the end of the answer.
func (t *answerTimer) stop() {
	if !t.began.IsZero() {
		t.took = time.Since(t.began)
	}
}

// watch waits for changes after a version.
func (w *tableWatcher) watch(ctx context.Context, after uint64, answer *answerTimer) (metastore.Listing, error) {
	wait := watchWait(w.watchers(), rand.ExpFloat64())
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	overdue := time.AfterFunc(wait+watchAnswerMargin, func() { cancel(errWatchSilent) })
	defer overdue.Stop()
	go func() {
		select {
		case <-w.views.leftGeneration(after):
			// The store may have given versions up to after to other rows.
			cancel(metastore.ErrHistoryLost)
		case <-watchCtx.Done():
		}
	}()
	listing, err := w.store.Watch(metastore.WithAnswerHook(watchCtx, func() {
		answer.observe()
		overdue.Reset(maxAnswerTime)
	}), w.table, after, wait)
	answer.stop()
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return metastore.Listing{}, context.Cause(watchCtx)
	}
	return listing, err
}

// watchWait returns how long the store is asked to hold a watch open if a number of nodes watch the
// table. random has an exponential distribution with a mean of 1, so that some watch ends soon at any
// time, also after all began together with a change.
func watchWait(watchers int, random float64) time.Duration {
	mean := time.Duration(float64(watchers) / watchesPerSecond * float64(time.Second))
	mean = min(max(mean, minMeanWatchWait), maxWatchWait)
	return min(minWatchWait+time.Duration(random*float64(mean-minWatchWait)), maxWatchWait)
}
