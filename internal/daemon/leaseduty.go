package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore"
)

// leaseMailboxSize bounds the events that wait for the lease duty.
const leaseMailboxSize = 1024

// leaseDuty keeps the session's lease and serves as witness for others. It does what
// the state machines of package lease decide.
type leaseDuty struct {
	log     *zap.Logger
	config  lease.Config
	session cluster.Session
	table   metastore.Table
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

	// life ends with the duty. Actions outlive the message that caused them.
	life context.Context

	// The fields below are used only in the mailbox's goroutine.
	holder  *lease.Holder
	witness *lease.Witness
	members map[cluster.Session]bool
	load    map[cluster.Session]int
}

func newLeaseDuty(life context.Context, log *zap.Logger, config lease.Config, session cluster.Session, table metastore.Table, peers transport, rng *rand.Rand) *leaseDuty {
	return &leaseDuty{
		life: life, log: log, config: config, session: session, table: table, peers: peers,
		box: newMailbox(leaseMailboxSize), clock: &leaseClock{}, stopped: make(chan struct{}),
		changed: func() {},
		holder:  lease.NewHolder(config, session, rng),
		witness: lease.NewWitness(config, session, rng),
		members: map[cluster.Session]bool{}, load: map[cluster.Session]int{},
	}
}

// run ticks the state machines until the duty's life ends.
func (d *leaseDuty) run() {
	go d.box.run(d.life)
	ticker := time.NewTicker(d.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.life.Done():
			return
		case <-ticker.C:
			_ = d.box.do(d.life, func() {
				now := time.Now()
				d.perform(d.holder.Handle(now, lease.Tick{}))
				d.perform(d.witness.Handle(now, lease.Tick{}))
			})
		}
	}
}

// setMembers tells the state machines who is in the cluster.
func (d *leaseDuty) setMembers(self cluster.Member, state *cluster.State) {
	d.box.post(func() {
		now := time.Now()
		members := state.SortedMembers()
		if _, joined := state.Members[d.session]; !joined {
			members = append(members, self) // the lease comes before the entry in the feed
		}
		event := lease.Members{Self: self, Members: members, Load: d.load}
		d.perform(d.holder.Handle(now, event))
		present := make(map[cluster.Session]bool, len(members))
		for session := range state.Members {
			present[session] = true
		}
		for session := range d.members {
			if !present[session] {
				delete(d.load, session)
				d.perform(d.witness.Handle(now, lease.Forget{Session: session}))
			}
		}
		if d.members[d.session] && !present[d.session] {
			d.perform(d.holder.Handle(now, lease.Fenced{}))
		}
		d.members = present
	})
}

// leave gives up the lease for good.
func (d *leaseDuty) leave(ctx context.Context) error {
	return d.box.do(ctx, func() { d.perform(d.holder.Handle(time.Now(), lease.Leave{})) })
}

// notLost settles a witness's report about a session that is alive at a generation.
func (d *leaseDuty) notLost(session cluster.Session, generation uint64) {
	d.box.post(func() {
		d.perform(d.witness.Handle(time.Now(), lease.NotLost{Session: session, Generation: generation}))
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
				d.perform([]lease.Action{action})
			}
		}
	})
	if err != nil {
		return wire.RenewReply{}, err
	}
	return reply, nil
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
			d.perform([]lease.Action{action})
		}
	})
	if err != nil {
		return lease.Sealed{}, err
	}
	return reply, nil
}

// perform runs in the mailbox's goroutine. Sends and store calls run beside it and
// post their results back.
func (d *leaseDuty) perform(actions []lease.Action) {
	// The request path must see an earlier end of the lease before a commit is sent
	// that makes it necessary.
	for _, action := range actions {
		if a, ok := action.(lease.LeaseChanged); ok {
			d.clock.set(time.Now(), a.ValidUntil)
			d.changed()
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendRenew:
			go d.sendRenew(a.Renew)
		case lease.CommitRow:
			go d.commit(a.Attempt, a.Txn)
		case lease.CommitRenewal:
			go d.commit(a.Attempt, a.Txn)
		case lease.ReadRow:
			go d.read(a)
		case lease.Stopped:
			d.log.Info("lease given up", zap.Stringer("reason", a.Reason))
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
func (d *leaseDuty) handle(event lease.Event) {
	_ = d.box.do(d.life, func() { d.perform(d.holder.Handle(time.Now(), event)) })
}

func (d *leaseDuty) sendRenew(m lease.Renew) {
	address := d.address(m.Witness)
	if address == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(d.life, d.config.GrantDuration)
	defer cancel()
	reply, err := call[wire.RenewReply](callCtx, d.peers, address, wire.KindRenew, m)
	if err != nil {
		d.log.Debug("renewal not answered", zap.Stringer("witness", m.Witness), zap.Error(err))
		return
	}
	switch {
	case reply.Granted != nil:
		witnessLoad := int(reply.Granted.Load)
		_ = d.box.do(d.life, func() {
			d.load[m.Witness] = witnessLoad
			d.perform(d.holder.Handle(time.Now(), *reply.Granted))
		})
	case reply.Refused != nil:
		d.handle(*reply.Refused)
	}
}

func (d *leaseDuty) address(session cluster.Session) string {
	return d.state().Members[session].Address
}

func (d *leaseDuty) commit(attempt uint64, txn metastore.Txn) {
	callCtx, cancel := context.WithTimeout(d.life, storeReadTimeout)
	defer cancel()
	err := d.table.Commit(callCtx, txn)
	d.handle(lease.Committed{Attempt: attempt, Outcome: lease.OutcomeOf(err)})
}

func (d *leaseDuty) read(a lease.ReadRow) {
	callCtx, cancel := context.WithTimeout(d.life, storeReadTimeout)
	defer cancel()
	row, err := d.table.Get(callCtx, a.Key)
	d.handle(lease.RowRead{Attempt: a.Attempt, Outcome: readOutcome(err), Session: row})
}

// readOutcome returns the outcome of a read: any error means that there is no answer.
func readOutcome(err error) lease.Outcome {
	if err != nil {
		return lease.OutcomeNotApplied
	}
	return lease.OutcomeApplied
}
