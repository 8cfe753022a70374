package ownership

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// Event is an input of Machine.Handle.
type Event interface{ event() }

// StateApplied passes a new cluster state. The machine keeps State, which must not
// change afterwards. A state that is not newer than the last one is ignored. If
// versions are skipped, units acquired in between count as acquired without a
// handover.
type StateApplied struct{ State *cluster.State }

// LeaseChanged sets the end of the lease, which may be earlier than before. The zero
// time means that there is no lease.
type LeaseChanged struct{ ValidUntil time.Time }

// RequestEnded must follow each Gate.End that returned true.
type RequestEnded struct{}

// RequestQueued queues a request for which Gate.Admit returned Queue.
type RequestQueued struct{ Request QueuedRequest }

// RequestCancelled removes a queued request that its caller has cancelled.
type RequestCancelled struct{ ID uint64 }

// HandoverReceived reports that a Handover for this session was imported.
type HandoverReceived struct {
	Unit cluster.Unit
	Move uint64
}

// HandoverAcked reports that the new owner has imported the handover.
type HandoverAcked struct {
	Unit cluster.Unit
	Move uint64
}

// ReleasedAnswered is the planner's response to Released. Accepted is false if the planner
// did not accept it or did not respond.
type ReleasedAnswered struct {
	Unit     cluster.Unit
	Move     uint64
	Accepted bool
}

// BackendChanged passes the state of the backend server. Before BackendDown, the
// daemon ends the requests in flight.
type BackendChanged struct{ State BackendState }

// DrainRequested starts a drain, which moves all units away. It cannot be undone.
type DrainRequested struct{}

// Tick triggers the work that is due. The next one is due at Machine.NextTick.
type Tick struct{}

func (StateApplied) event()     {}
func (LeaseChanged) event()     {}
func (RequestEnded) event()     {}
func (RequestQueued) event()    {}
func (RequestCancelled) event() {}
func (HandoverReceived) event() {}
func (HandoverAcked) event()    {}
func (ReleasedAnswered) event() {}
func (BackendChanged) event()   {}
func (DrainRequested) event()   {}
func (Tick) event()             {}

// BackendState is the state of the backend server beside the daemon.
type BackendState uint8

// Values of BackendState. A machine starts with BackendDown.
const (
	// BackendDown means that the backend server refuses connections or crashed.
	BackendDown BackendState = iota
	// BackendUp means that the backend server accepts requests.
	BackendUp
	// BackendFrozen means that the backend server keeps connections open but does not
	// answer.
	BackendFrozen
)
