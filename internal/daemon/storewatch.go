package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
)

const (
	// smallClusterInstances is the largest number of instances with which the store is a
	// witness.
	smallClusterInstances = lease.MaxWitnesses
	// storeWatchers is how many members watch the store for others in larger clusters.
	// Each member that joins costs each watcher one read. Four watchers tolerate as many
	// losses as a lease does.
	storeWatchers = 4
	// maxWatchReads bounds the sessions that are read in one interval, because a new
	// watcher of a large cluster has to read all of them.
	maxWatchReads = 16
)

// aliveRecheck is how long a renewal row that is no longer written is ignored after its
// session was found alive. The row remains when a session no longer needs the store.
const aliveRecheck = 10 * time.Second

// watchStoreWitnesses reads the renewal rows of the other members of a small cluster,
// where the store is a witness. A row that is unchanged for longer than a grant starts a
// takeover like an expired grant, because there may be no peer left to report it.
//
// A session that started in a small cluster keeps the store as a witness for some time
// after the cluster has grown, as the only one if it was alone. So the oldest members of
// a larger cluster watch each session until its row names only peers.
func (w *planWorker) watchStoreWitnesses(state *cluster.State, now time.Time) {
	if now.Sub(w.watchedAt) < w.lease.WatchInterval {
		return
	}
	w.watchedAt = now
	maps.DeleteFunc(w.peersOnly, func(session cluster.Session, _ bool) bool {
		_, present := state.Members[session]
		return !present
	})
	small := smallCluster(state)
	if small {
		clear(w.peersOnly)
	} else if !amongOldest(state, w.session) {
		return
	}
	reads := 0
	for session := range state.Members {
		if session == w.session || w.peersOnly[session] {
			continue
		}
		if reads++; reads > maxWatchReads {
			return
		}
		go w.watchRenewal(session, small)
	}
}

// smallCluster reports whether the store is a witness of the members. Sessions of one
// instance count once, as they do in the selection of witnesses.
func smallCluster(state *cluster.State) bool {
	instances := map[string]bool{}
	for session := range state.Members {
		if instances[session.Instance] = true; len(instances) > smallClusterInstances {
			return false
		}
	}
	return true
}

// amongOldest reports whether fewer than storeWatchers members joined before session.
func amongOldest(state *cluster.State, session cluster.Session) bool {
	self, older := state.Members[session], 0
	for _, m := range state.Members {
		if m.JoinedAt < self.JoinedAt {
			if older++; older == storeWatchers {
				return false
			}
		}
	}
	return true
}

func (w *planWorker) watchRenewal(session cluster.Session, small bool) {
	ctx, cancel := context.WithTimeout(w.baseCtx, w.lease.GrantDuration)
	defer cancel()
	if !small && !w.usesStore(ctx, session) {
		_ = w.mailbox.do(w.baseCtx, func() { w.peersOnly[session] = true })
		return
	}
	row, err := w.table.Get(ctx, lease.RenewalKey(session))
	if err != nil || row.Version == 0 {
		return
	}
	_ = w.mailbox.do(w.baseCtx, func() {
		now := time.Now()
		since := w.watch.Observe(now, session, row.Version)
		maxGrant := time.Duration(float64(w.lease.GrantDuration) * (1 + w.lease.ClockError))
		stale := now.Sub(since.At) - maxGrant
		if stale <= 0 || now.Before(w.aliveUntil[session]) {
			return
		}
		w.startTakeover(session, cluster.Session{})
		// No witness reports the session again, so this worker escalates as a witness
		// does. The lost session may be the planner itself.
		if stale > w.lease.EscalateAfter+rand.N(w.lease.RankDelay) && w.replicas.cluster().Planner != w.session {
			w.becomePlanner()
		}
	})
}

// usesStore reports whether the store may be a witness of a session.
func (w *planWorker) usesStore(ctx context.Context, session cluster.Session) bool {
	row, err := w.table.Get(ctx, lease.SessionKey(session))
	if err != nil || row.Version == 0 {
		return true
	}
	named, err := lease.DecodeSessionRow(row)
	return err != nil || named.WitnessSet.Store
}

// readLostRows reads the session row and then the renewal row of a lost session.
func (w *planWorker) readLostRows(t *takeover, a lease.ReadLostRows) {
	ctx, cancel := context.WithTimeout(w.baseCtx, storeTimeout)
	defer cancel()
	event := lease.RowRead{Attempt: a.Attempt, Outcome: lease.OutcomeNotApplied}
	row, err := w.table.Get(ctx, lease.SessionKey(a.Session))
	if err == nil {
		event.Session = row
		event.Renewal, err = w.table.Get(ctx, lease.RenewalKey(a.Session))
	}
	event.Outcome = readOutcome(err)
	_ = w.mailbox.do(w.baseCtx, func() {
		now := time.Now()
		if err == nil && event.Renewal.Version != 0 {
			event.RenewalFirstSeen = w.watch.Observe(now, a.Session, event.Renewal.Version)
		}
		if w.takeovers[a.Session] == t {
			w.performTakeover(a.Session, t, t.machine.Handle(now, event))
		}
	})
}

// sendNotLost tells the reporting witness that a session is alive.
func (w *planWorker) sendNotLost(reporter, session cluster.Session, generation uint64) {
	if reporter.IsZero() {
		return
	}
	if reporter == w.session {
		w.notLost(session, generation)
		return
	}
	address := w.replicas.cluster().Members[reporter].Address
	body, err := wire.Encode(wire.NotLost{Session: session, Generation: generation})
	if err != nil || address == "" {
		return
	}
	go func() { _ = w.peers.Notify(w.baseCtx, address, uint8(wire.KindNotLost), body) }()
}
