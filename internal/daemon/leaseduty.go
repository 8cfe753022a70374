package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/platform"
)

// leaseMailboxSize bounds the events that wait for the lease duty.
const leaseMailboxSize = 1024

// leaseDuty keeps the session's lease and serves as witness for others. It does what
// the state machines of package lease decide.
type leaseDuty struct {
	log     *zap.Logger
	config  lease.Config
	session cluster.Session
	table   platform.Table
	peers   transport
	box     *mailbox
	clock   *leaseClock
	// state returns the latest cluster state.
	state func() *cluster.State
	// reportExpired sends a witness's report to the planner.
	reportExpired func(lease.Expired)
	// takePlanner makes this daemon the planner and reports to it.
	takePlanner func(lease.Expired)
	// stopped is closed when the session was fenced or has left.
	stopped chan struct{}
	// changed is called in the mailbox's goroutine when the end of the lease moved.
	changed func()

	// The fields below are used only in the mailbox's goroutine.
	holder  *lease.Holder
	witness *lease.Witness
	members map[cluster.Session]bool
	load    map[cluster.Session]int
}

func newLeaseDuty(log *zap.Logger, config lease.Config, session cluster.Session, table platform.Table, peers transport, rng *rand.Rand) *leaseDuty {
	return &leaseDuty{
		log: log, config: config, session: session, table: table, peers: peers,
		box: newMailbox(leaseMailboxSize), clock: &leaseClock{}, stopped: make(chan struct{}),
		changed: func() {},
		holder:  lease.NewHolder(config, session, rng),
		witness: lease.NewWitness(config, session, rng),
		members: map[cluster.Session]bool{}, load: map[cluster.Session]int{},
	}
}

// run ticks the state machines until ctx ends.
func (d *leaseDuty) run(ctx context.Context) {
	go d.box.run(ctx)
	ticker := time.NewTicker(d.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = d.box.do(ctx, func() {
				now := time.Now()
				d.perform(ctx, d.holder.Handle(now, lease.Tick{}))
				d.perform(ctx, d.witness.Handle(now, lease.Tick{}))
			})
		}
	}
}

// setMembers tells the state machines who is in the cluster.
func (d *leaseDuty) setMembers(ctx context.Context, self cluster.Member, state *cluster.State) {
	d.box.post(func() {
		now := time.Now()
		members := state.SortedMembers()
		event := lease.Members{Self: self, Members: members, Load: d.load}
		d.perform(ctx, d.holder.Handle(now, event))
		present := make(map[cluster.Session]bool, len(members))
		for _, m := range members {
			present[m.Session] = true
		}
		for session := range d.members {
			if !present[session] {
				delete(d.load, session)
				d.perform(ctx, d.witness.Handle(now, lease.Forget{Session: session}))
			}
		}
		if d.members[d.session] && !present[d.session] {
			d.perform(ctx, d.holder.Handle(now, lease.Fenced{}))
		}
		d.members = present
	})
}

// leave gives up the lease for good.
func (d *leaseDuty) leave(ctx context.Context) error {
	return d.box.do(ctx, func() { d.perform(ctx, d.holder.Handle(time.Now(), lease.Leave{})) })
}

// superseded tells the witness that a session's row is at a later generation.
func (d *leaseDuty) superseded(ctx context.Context, session cluster.Session, generation uint64) {
	d.box.post(func() {
		d.perform(ctx, d.witness.Handle(time.Now(), lease.Superseded{Session: session, Generation: generation}))
	})
}

// handleRenew answers a holder.
func (d *leaseDuty) handleRenew(ctx context.Context, m lease.Renew) (wire.RenewReply, error) {
	var reply wire.RenewReply
	err := d.box.do(ctx, func() {
		for _, action := range d.witness.Handle(time.Now(), m) {
			switch a := action.(type) {
			case lease.SendGranted:
				reply.Granted = &a.Granted
			case lease.SendRefused:
				reply.Refused = &a.Refused
			default:
				d.perform(ctx, []lease.Action{action})
			}
		}
	})
	return reply, err
}

// handleSeal answers a planner.
func (d *leaseDuty) handleSeal(ctx context.Context, m lease.Seal) (lease.Sealed, error) {
	var reply lease.Sealed
	err := d.box.do(ctx, func() {
		for _, action := range d.witness.Handle(time.Now(), m) {
			if a, ok := action.(lease.SendSealed); ok {
				reply = a.Sealed
				continue
			}
			d.perform(ctx, []lease.Action{action})
		}
	})
	return reply, err
}

// perform runs in the mailbox's goroutine. Sends and store calls run beside it and
// post their results back.
func (d *leaseDuty) perform(ctx context.Context, actions []lease.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendRenew:
			go d.sendRenew(ctx, a.Renew)
		case lease.CommitRow:
			go d.commit(ctx, a.Attempt, a.Txn)
		case lease.CommitRenewal:
			go d.commit(ctx, a.Attempt, a.Txn)
		case lease.ReadRow:
			go d.read(ctx, a)
		case lease.LeaseChanged:
			d.clock.set(time.Now(), a.ValidUntil)
			d.changed()
		case lease.Stopped:
			d.log.Warn("session ended", zap.Stringer("session", d.session), zap.Uint8("reason", uint8(a.Reason)))
			close(d.stopped)
		case lease.ReportExpired:
			d.reportExpired(a.Expired)
		case lease.TakePlanner:
			d.takePlanner(a.Expired)
		}
	}
}

// handle passes an event to the holder. An event that finds the mailbox full is
// delivered late, never dropped, because the holder waits for results of commits.
func (d *leaseDuty) handle(ctx context.Context, event lease.Event) {
	_ = d.box.do(ctx, func() { d.perform(ctx, d.holder.Handle(time.Now(), event)) })
}

func (d *leaseDuty) sendRenew(ctx context.Context, m lease.Renew) {
	address := d.address(m.Witness)
	if address == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, d.config.GrantDuration)
	defer cancel()
	reply, err := call[wire.RenewReply](callCtx, d.peers, address, wire.KindRenew, m)
	if err != nil {
		d.log.Debug("renewal not answered", zap.Stringer("witness", m.Witness), zap.Error(err))
		return
	}
	switch {
	case reply.Granted != nil:
		witnessLoad := int(reply.Granted.Load)
		_ = d.box.do(ctx, func() {
			d.load[m.Witness] = witnessLoad
			d.perform(ctx, d.holder.Handle(time.Now(), *reply.Granted))
		})
	case reply.Refused != nil:
		d.handle(ctx, *reply.Refused)
	}
}

func (d *leaseDuty) address(session cluster.Session) string {
	return d.state().Members[session].Address
}

func (d *leaseDuty) commit(ctx context.Context, attempt uint64, txn platform.Txn) {
	callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	err := d.table.Commit(callCtx, txn)
	d.handle(ctx, lease.Committed{Attempt: attempt, Outcome: lease.OutcomeOf(err)})
}

func (d *leaseDuty) read(ctx context.Context, a lease.ReadRow) {
	callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	row, err := d.table.Get(callCtx, a.Key)
	d.handle(ctx, lease.RowRead{Attempt: a.Attempt, Outcome: readOutcome(err), Session: row})
}

// readOutcome returns the outcome of a read: any error means that there is no answer.
func readOutcome(err error) lease.Outcome {
	if err != nil {
		return lease.OutcomeNotApplied
	}
	return lease.OutcomeApplied
}
