package daemon

import (
	"context"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
)

// storeWatchMembers is the number of members up to which the store is a witness.
const storeWatchMembers = lease.MaxWitnesses

// aliveRecheck is how long a renewal row that is not written any more is ignored after
// its session was found alive. The row stays when a session no longer needs the store.
const aliveRecheck = 10 * time.Second

// watchStoreWitnesses reads the renewal rows of the other members of a small cluster,
// where the store is a witness. A row that is unchanged for longer than a grant is
// reported like an expired grant, since no peer may be left to report it. When the
// cluster grows, a session keeps the store as its witness for a time, the only one if it
// was alone, so it is watched until its row names other witnesses.
func (d *planDuty) watchStoreWitnesses(state *cluster.State, now time.Time) {
	if now.Sub(d.watchedAt) < d.lease.WatchInterval {
		return
	}
	d.watchedAt = now
	small := len(state.Members) <= storeWatchMembers
	if small {
		for session := range state.Members {
			d.watched[session] = true
		}
	}
	for session := range d.watched {
		if _, ok := state.Members[session]; !ok {
			delete(d.watched, session)
		} else if session != d.session {
			go d.watchRenewal(session, small)
		}
	}
}

func (d *planDuty) watchRenewal(session cluster.Session, small bool) {
	ctx, cancel := context.WithTimeout(d.life, d.lease.GrantDuration)
	defer cancel()
	if !small && !d.usesStore(ctx, session) {
		_ = d.box.do(d.life, func() { delete(d.watched, session) })
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
		if now.Sub(since.At) > lasts && now.After(d.aliveUntil[session]) {
			d.startTakeover(session, cluster.Session{})
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
