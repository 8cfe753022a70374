package ownership

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// Event is an input of Machine.Handle.
type Event interface{ event() }

// StateApplied brings a cluster state. The machine keeps State, which must not change
// afterwards. States older than the last one are ignored. After a jump of more than
// one version, units received in between count as received without a hand-over.
type StateApplied struct{ State *cluster.State }

// LeaseChanged sets the time until which the lease is valid; it may lie earlier than
// before. The zero time means that there is no lease.
type LeaseChanged struct{ ValidUntil time.Time }

// RequestEnded follows Gate.End when it returned true.
type RequestEnded struct{}

// RequestQueued asks to queue a request for which Gate.Admit answered Queue.
type RequestQueued struct{ Request QueuedRequest }

// RequestCancelled removes a queued request whose caller gave up.
type RequestCancelled struct{ ID uint64 }

// HandOverReceived says that a HandOver for this session has been imported.
type HandOverReceived struct {
	Unit cluster.Unit
	Move uint64
}

// HandOverAcked says that the new owner has imported the hand-over.
type HandOverAcked struct {
	Unit cluster.Unit
	Move uint64
}

// ReleasedAnswered is the planner's answer to Released, or the lack of one.
type ReleasedAnswered struct {
	Unit     cluster.Unit
	Move     uint64
	Accepted bool
}

// BackendChanged brings the state of the backend server. Before BackendDown the
// daemon ends the requests that were in flight.
type BackendChanged struct{ State BackendState }

// DrainAsked asks for all units to be moved away. It cannot be taken back.
type DrainAsked struct{}

// Tick lets time pass. It is due at Machine.NextTick.
type Tick struct{}

func (StateApplied) event()     {}
func (LeaseChanged) event()     {}
func (RequestEnded) event()     {}
func (RequestQueued) event()    {}
func (RequestCancelled) event() {}
func (HandOverReceived) event() {}
func (HandOverAcked) event()    {}
func (ReleasedAnswered) event() {}
func (BackendChanged) event()   {}
func (DrainAsked) event()       {}
func (Tick) event()             {}

// BackendState is the state of the backend server beside the daemon.
type BackendState uint8

// The states of a backend server. A daemon starts without one.
const (
	// BackendDown means that it refuses connections or crashed.
	BackendDown BackendState = iota
	// BackendUp means that it takes requests.
	BackendUp
	// BackendFrozen means that it keeps connections but answers nothing.
	BackendFrozen
)
