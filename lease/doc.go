// Package lease decides who may serve: a session serves its ranges only while its
// lease is valid, and its ranges get other owners only after the lease has ended.
//
// The package holds three state machines. Each takes an event and the time in
// Handle and returns actions; none has a clock, a goroutine or I/O. Time is the
// caller's monotonic time, whose rate is within Config.ClockError of true time.
// A state machine is not safe for concurrent use.
//
// # Holder
//
// A Holder belongs to one session and keeps its lease. Its witness set changes in
// four phases:
//
//	idle       renews the current set; begins a change when a witness is silent, has
//	           sealed or has restarted, when the shape of the cluster asks for another
//	           set, or when the lease has lapsed
//	gathering  collects grants for a new generation; the old set alone counts
//	committing the commit of the session row is in flight; the lease is valid only
//	           while both sets have a quorum
//	resolving  the outcome of the commit is unknown; both sets must still have a
//	           quorum. The row is read back, and the same transaction is sent again
//	           until the row shows a result, because a lost write may apply late.
//
// Once a set has lost its quorum it stays lapsed, and only a committed later
// generation makes the holder valid again. Witnesses can therefore forget a fenced
// session: grants that they give afterwards revive nobody.
//
// # Witness
//
// For each session a Witness keeps the last grant of each generation and the highest
// generation that it sealed:
//
//	granted -> expired and sealed, reported -> forgotten (fenced, left, superseded)
//
// It seals on its own when a grant expires, and on request when it has not granted
// for Config.FreshFor. A request never seals a session that renews regularly, so one
// witness without contact cannot end the lease of a healthy session.
//
// # Takeover
//
// A Takeover belongs to one lost session:
//
//	reading    reads the session row (and the renewal row if the store is a witness)
//	sealing    asks the witnesses that the row names; waits out remaining times
//	ready      the fence may be committed under the row conditions that it returns
//	committing the fence is in flight; a conflict leads back to reading
//	done       fenced, alive, superseded or gone
//
// # Driving
//
// A daemon runs one Holder, one Witness and, while it is the planner, one Takeover
// for each reported session. It does the following:
//
//  1. Calls Handle(now, Tick{}) on each at least every Config.TickInterval.
//  2. Takes now before it sends what Handle returns, and after it received what it
//     passes in.
//  3. Passes messages from peers in as events, and sends the messages of the
//     returned actions. Messages may be lost, repeated, late and out of order.
//  4. Answers each CommitRow, CommitRenewal, ReadRow, ReadLostRow and CommitFence
//     exactly once, with the same Attempt and OutcomeOf(err). A commit that timed
//     out is OutcomeUnknown.
//  5. Publishes LeaseChanged.ValidUntil as an atomic for the request path.
//  6. Passes members to the Holder when the cluster state changes, and Forget to
//     the Witness for each session that was fenced or left.
package lease
