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
	// storeWatchInstances is the number of instances up to which the store is a witness.
	storeWatchInstances = lease.MaxWitnesses
	// storeWatchers is how many members watch the store for others in larger clusters.
	// Each join costs each of them one read; four tolerate the losses that a lease does.
	storeWatchers = 4
	// maxWatchReads bounds the sessions looked at in one interval, because a new watcher
	// of a large cluster knows none of them.
	maxWatchReads = 16
)

// aliveRecheck is how long a renewal row that is not written any more is ignored after
// its session was found alive. The row stays when a session no longer needs the store.
const aliveRecheck = 10 * time.Second

// watchStoreWitnesses reads the renewal rows of the other members of a small cluster,
// where the store is a witness. A row that is unchanged for longer than a grant is
// reported like an expired grant, since no peer may be left to report it.
//
// A session that started in a small cluster keeps the store as a witness for a time
// after the cluster has grown, as the only one if it was alone. So the oldest members of
// a larger cluster watch each session until its row names peers only.
func (d *planDuty) watchStoreWitnesses(state *cluster.State, now time.Time) {
	if now.Sub(d.watchedAt) < d.lease.WatchInterval {
		return
	}
	d.watchedAt = now
	maps.DeleteFunc(d.peersOnly, func(session cluster.Session, _ bool) bool {
		_, present := state.Members[session]
		return !present
	})
	small := smallCluster(state)
	if small {
		clear(d.peersOnly)
	} else if !amongOldest(state, d.session) {
		return
	}
	reads := 0
	for session := range state.Members {
		if session == d.session || d.peersOnly[session] {
			continue
		}
		if reads++; reads > maxWatchReads {
			return
		}
		go d.watchRenewal(session, small)
	}
}

// smallCluster reports whether the store is a witness. Sessions of one instance count
// once, as they do in the choice of witnesses.
func smallCluster(state *cluster.State) bool {
	instances := map[string]bool{}
	for session := range state.Members {
		if instances[session.Instance] = true; len(instances) > storeWatchInstances {
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

func (d *planDuty) watchRenewal(session cluster.Session, small bool) {
	ctx, cancel := context.WithTimeout(d.life, d.lease.GrantDuration)
	defer cancel()
	if !small && !d.usesStore(ctx, session) {
		_ = d.box.do(d.life, func() { d.peersOnly[session] = true })
		return
	}
	row, err := d.table.Get(ctx, lease.RenewalKey(session))
	if err != nil || row.Version == 0 {
		return
	}
	_ = d.box.do(d.life, func() {
		now := time.Now()
		since := d.watch.Observe(now, session, row.Version)
		lasts := time.Duration(float64(d.lease.GrantDuration) * (1 + d.lease.ClockError))
		stale := now.Sub(since.At) - lasts
		if stale <= 0 || now.Before(d.aliveUntil[session]) {
			return
		}
		d.startTakeover(session, cluster.Session{})
		// No witness reports the session again, so this duty escalates like a witness. The
		// lost session may be the planner itself.
		if stale > d.lease.EscalateAfter+rand.N(d.lease.RankDelay) && d.replicas.cluster().Planner != d.session {
			d.takeRole()
		}
	})
}

// usesStore reports whether the store may be a witness of a session.
func (d *planDuty) usesStore(ctx context.Context, session cluster.Session) bool {
	row, err := d.table.Get(ctx, lease.SessionKey(session))
	if err != nil || row.Version == 0 {
		return true
	}
	named, err := lease.DecodeSessionRow(row)
	return err != nil || named.Set.Store
}

// readLostRow reads the session row and then the renewal row of a lost session.
func (d *planDuty) readLostRow(t *takeover, a lease.ReadLostRow) {
	ctx, cancel := context.WithTimeout(d.life, storeReadTimeout)
	defer cancel()
	event := lease.RowRead{Attempt: a.Attempt, Outcome: lease.OutcomeNotApplied}
	row, err := d.table.Get(ctx, lease.SessionKey(a.Session))
	if err == nil {
		event.Session = row
		event.Renewal, err = d.table.Get(ctx, lease.RenewalKey(a.Session))
	}
	event.Outcome = readOutcome(err)
	_ = d.box.do(d.life, func() {
		now := time.Now()
		if err == nil && event.Renewal.Version != 0 {
			event.RenewalSince = d.watch.Observe(now, a.Session, event.Renewal.Version)
		}
		if d.takeovers[a.Session] == t {
			d.performTakeover(a.Session, t, t.machine.Handle(now, event))
		}
	})
}

// tellNotLost tells the reporting witness that a session is alive.
func (d *planDuty) tellNotLost(reporter, session cluster.Session, generation uint64) {
	if reporter.IsZero() {
		return
	}
	if reporter == d.session {
		d.notLost(session, generation)
		return
	}
	address := d.replicas.cluster().Members[reporter].Address
	body, err := wire.Encode(wire.NotLost{Session: session, Generation: generation})
	if err != nil || address == "" {
		return
	}
	go func() { _ = d.peers.Notify(d.life, address, uint8(wire.KindNotLost), body) }()
}
