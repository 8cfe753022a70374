// Package lease implements the leases of sessions: a session serves its ranges only
// while its lease is valid, and its ranges get other owners only after the lease has
// ended.
//
// The package contains three state machines. Each takes an event and the current time
// in Handle and returns actions; none has a clock, a goroutine or I/O. The time is the
// caller's monotonic time, whose rate is within Config.ClockError of true time.
// A state machine is not safe for concurrent use.
//
// # Holder
//
// A Holder keeps the lease of one session. Its witness set changes in four phases:
//
//	idle       renews the current set; starts a change when a witness is silent or
//	           draining, has sealed or has restarted, when the size of the cluster
//	           requires another set, or when the lease has lapsed
//	gathering  collects grants for a new generation; only the old set counts
//	committing the commit of the session row is in flight; the lease is valid only
//	           while both sets have a quorum
//	resolving  the outcome of the commit is unknown; both sets must still have a
//	           quorum. The holder reads the row back and sends the same transaction
//	           again until the row shows a result, because a lost write may be applied
//	           late.
//
// A set that has lost its quorum stays lapsed; only a committed later generation makes
// the lease valid again. Witnesses can therefore forget a fenced session: grants that
// they give afterwards cannot make its lease valid.
//
// # Witness
//
// For each session, a Witness keeps the last grant of each generation and the highest
// generation that it sealed:
//
//	granted -> expired and sealed, reported -> forgotten (fenced, left, superseded)
//
// It seals a generation when its grant expires, and on request when it has not granted
// for Config.FreshFor. A request never seals a session that renews regularly, so one
// witness that lost contact cannot end the lease of a healthy session.
//
// # Takeover
//
// A Takeover fences one lost session:
//
//	reading    reads the session row and the renewal row
//	sealing    asks the witnesses in the row for seals; waits until enough sealed
//	           grants have run out
//	committing the fence, which is conditional on the rows that were read, is in
//	           flight; a conflict leads back to reading
//	done       fenced, alive, superseded or gone
//
// # Usage
//
// A daemon runs one Holder, one Witness and, while it is the planner, one Takeover
// for each reported session. It does the following:
//
//  1. Calls Handle(now, Tick{}) on each at least every Config.TickInterval.
//  2. Reads the clock for now after the event arrived and before it sends the
//     messages that Handle returns.
//  3. Passes messages from peers in as events, and sends the messages of the
//     returned actions. Messages may be lost, repeated, late and out of order.
//  4. Answers each CommitRow, CommitRenewal, ReadRow, ReadLostRows and CommitFence
//     exactly once, with the same Attempt and OutcomeOf(err). A commit that timed
//     out is OutcomeUnknown.
//  5. Publishes LeaseChanged.ValidUntil in an atomic variable for the request path.
//  6. Passes Members to the Holder when the cluster state changes, and Forget to
//     the Witness for each session that was fenced or left.
package lease
