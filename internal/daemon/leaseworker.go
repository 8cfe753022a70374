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

// leaseMailboxSize bounds the events queued for the lease worker.
const leaseMailboxSize = 1024

// leaseWorker renews the session's lease and is a witness for other sessions. It performs
// the actions of the state machines of package lease.
type leaseWorker struct {
	log     *zap.Logger
	config  lease.Config
	session cluster.Session
	table   metastore.Table
	peers   transport
	mailbox *mailbox
	clock   *leaseClock
	// state returns the latest cluster state.
	state func() *cluster.State
	// reportExpired sends a witness's report to the planner.
	reportExpired func(lease.Expired)
	// takePlanner makes this session the planner and passes it the report.
	takePlanner func(lease.Expired)
	// stopped is closed when the session has been fenced or has left.
	stopped chan struct{}
	// onLeaseChange is called in the mailbox's goroutine when the end of the lease
	// changes.
	onLeaseChange func()

	// baseCtx is cancelled when the session ends. Actions use it because they can outlive
	// the message that caused them.
	baseCtx context.Context

	// The fields below are used only in the mailbox's goroutine.
	holder  *lease.Holder
	witness *lease.Witness
	members map[cluster.Session]bool
	// load is the number of sessions with a grant of each witness, as it last reported.
	load map[cluster.Session]int
}

func newLeaseWorker(ctx context.Context, log *zap.Logger, config lease.Config, session cluster.Session, table metastore.Table, peers transport, rng *rand.Rand) *leaseWorker {
	return &leaseWorker{
		baseCtx: ctx, log: log, config: config, session: session, table: table, peers: peers,
		mailbox: newMailbox(leaseMailboxSize), clock: &leaseClock{}, stopped: make(chan struct{}),
		onLeaseChange: func() {},
		holder:        lease.NewHolder(config, session, rng),
		witness:       lease.NewWitness(config, session, rng),
		members:       map[cluster.Session]bool{}, load: map[cluster.Session]int{},
	}
}

// run ticks the state machines until the session ends.
func (w *leaseWorker) run() {
	go w.mailbox.run(w.baseCtx)
	ticker := time.NewTicker(w.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.baseCtx.Done():
			return
		case <-ticker.C:
			_ = w.mailbox.do(w.baseCtx, func() {
				now := time.Now()
				w.perform(w.holder.Handle(now, lease.Tick{}))
				w.perform(w.witness.Handle(now, lease.Tick{}))
			})
		}
	}
}

// setMembers passes the members of the cluster to the state machines.
func (w *leaseWorker) setMembers(self cluster.Member, state *cluster.State) {
	w.mailbox.post(func() {
		now := time.Now()
		members := state.SortedMembers()
		if _, joined := state.Members[w.session]; !joined {
			members = append(members, self) // the lease is acquired before the member entry is written
		}
		event := lease.Members{Self: self, Members: members, Load: w.load}
		w.perform(w.holder.Handle(now, event))
		present := make(map[cluster.Session]bool, len(members))
		for session := range state.Members {
			present[session] = true
		}
		for session := range w.members {
			if !present[session] {
				delete(w.load, session)
				w.perform(w.witness.Handle(now, lease.Forget{Session: session}))
			}
		}
		if w.members[w.session] && !present[w.session] {
			w.perform(w.holder.Handle(now, lease.Fenced{}))
		}
		w.members = present
	})
}

// leave gives up the lease permanently.
func (w *leaseWorker) leave(ctx context.Context) error {
	return w.mailbox.do(ctx, func() { w.perform(w.holder.Handle(time.Now(), lease.Leave{})) })
}

// notLost tells the witness that a session that it reported is alive at generation.
func (w *leaseWorker) notLost(session cluster.Session, generation uint64) {
	w.mailbox.post(func() {
		w.perform(w.witness.Handle(time.Now(), lease.NotLost{Session: session, Generation: generation}))
	})
}

// handleRenew answers a holder's request for a grant.
func (w *leaseWorker) handleRenew(ctx context.Context, m lease.Renew) (wire.RenewReply, error) {
	var reply wire.RenewReply
	err := w.mailbox.do(ctx, func() {
		for _, action := range w.witness.Handle(time.Now(), m) {
			switch a := action.(type) {
			case lease.SendGranted:
				reply.Granted = &a.Granted
			case lease.SendRefused:
				reply.Refused = &a.Refused
			default:
				w.perform([]lease.Action{action})
			}
		}
	})
	if err != nil {
		return wire.RenewReply{}, err
	}
	return reply, nil
}

// handleSeal answers a planner's request for a seal.
func (w *leaseWorker) handleSeal(ctx context.Context, m lease.Seal) (lease.Sealed, error) {
	var reply lease.Sealed
	err := w.mailbox.do(ctx, func() {
		for _, action := range w.witness.Handle(time.Now(), m) {
			if a, ok := action.(lease.SendSealed); ok {
				reply = a.Sealed
				continue
			}
			w.perform([]lease.Action{action})
		}
	})
	if err != nil {
		return lease.Sealed{}, err
	}
	return reply, nil
}

// perform runs in the mailbox's goroutine. Messages and store calls are sent from
// goroutines of their own, which post the results to the mailbox.
func (w *leaseWorker) perform(actions []lease.Action) {
	// If the lease now ends earlier, the request path must see that before the commit is
	// sent that requires it.
	for _, action := range actions {
		if a, ok := action.(lease.LeaseChanged); ok {
			w.clock.set(time.Now(), a.ValidUntil)
			w.onLeaseChange()
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendRenew:
			go w.sendRenew(a.Renew)
		case lease.CommitRow:
			go w.commit(a.Attempt, a.Txn)
		case lease.CommitRenewal:
			go w.commit(a.Attempt, a.Txn)
		case lease.ReadRow:
			go w.read(a)
		case lease.Stopped:
			w.log.Info("lease holder stopped", zap.Stringer("reason", a.Reason))
			close(w.stopped)
		case lease.ReportExpired:
			w.reportExpired(a.Expired)
		case lease.TakePlanner:
			w.takePlanner(a.Expired)
		}
	}
}

// handle passes an event to the holder. It waits while the mailbox is full, because the
// holder needs the result of each of its commits.
func (w *leaseWorker) handle(event lease.Event) {
	_ = w.mailbox.do(w.baseCtx, func() { w.perform(w.holder.Handle(time.Now(), event)) })
}

func (w *leaseWorker) sendRenew(m lease.Renew) {
	address := w.address(m.Witness)
	if address == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(w.baseCtx, w.config.GrantDuration)
	defer cancel()
	reply, err := call[wire.RenewReply](callCtx, w.peers, address, wire.KindRenew, m)
	if err != nil {
		w.log.Debug("no response to a renewal", zap.Stringer("witness", m.Witness), zap.Error(err))
		return
	}
	switch {
	case reply.Granted != nil:
		witnessLoad := int(reply.Granted.Load)
		_ = w.mailbox.do(w.baseCtx, func() {
			w.load[m.Witness] = witnessLoad
			w.perform(w.holder.Handle(time.Now(), *reply.Granted))
		})
	case reply.Refused != nil:
		w.handle(*reply.Refused)
	}
}

func (w *leaseWorker) address(session cluster.Session) string {
	return w.state().Members[session].Address
}

func (w *leaseWorker) commit(attempt uint64, txn metastore.Txn) {
	callCtx, cancel := context.WithTimeout(w.baseCtx, storeTimeout)
	defer cancel()
	err := w.table.Commit(callCtx, txn)
	w.handle(lease.Committed{Attempt: attempt, Outcome: lease.OutcomeOf(err)})
}

func (w *leaseWorker) read(a lease.ReadRow) {
	callCtx, cancel := context.WithTimeout(w.baseCtx, storeTimeout)
	defer cancel()
	row, err := w.table.Get(callCtx, a.Key)
	w.handle(lease.RowRead{Attempt: a.Attempt, Outcome: readOutcome(err), Session: row})
}

// readOutcome returns the outcome of a read. Any error counts as not applied.
func readOutcome(err error) lease.Outcome {
	if err != nil {
		return lease.OutcomeNotApplied
	}
	return lease.OutcomeApplied
}
