package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

const (
	// recordTimeout bounds the time for which an owner's node waits for the planner to record
	// completed moves. Then it writes them itself.
	recordTimeout = 600 * time.Millisecond
	// minRecordDelay is how long the planner collects completed moves for one transaction, and
	// recordDelayPerMember is added for each member: with more members more moves complete at the
	// same time. Nobody holds their keys meanwhile.
	minRecordDelay       = 8 * time.Millisecond
	recordDelayPerMember = 100 * time.Microsecond
	// maxRecordDelay bounds that time.
	maxRecordDelay = 50 * time.Millisecond
)

// errNotRecorded means that the planner did not record completed moves, and that their owner's node
// is to write them.
var errNotRecorded = errors.New("completed moves not recorded")

// completedMoves asks the planner to record moves whose keys the owner has released.
type completedMoves struct {
	Owner keyrange.Owner `cbor:"1,keyasint"`
	// Service is the service whose keys move.
	Service string `cbor:"2,keyasint"`
	// Generation is the generation of the store that the owner's node knows.
	Generation uint64                `cbor:"3,keyasint,omitempty"`
	Moves      []grant.CompletedMove `cbor:"4,keyasint"`
}

// recordRequest is a request that waits for the next transaction.
type recordRequest struct {
	completedMoves
	// done receives the outcome; it has room for it.
	done chan error
}

// moveRecorder writes completed moves for their owners while this node has the planner role. Many
// moves complete at about the same time and share rows, so writes of the owners' nodes would
// conflict with each other.
type moveRecorder struct {
	node   *Node
	log    *zap.Logger
	wakeup chan struct{}

	mu      sync.Mutex
	pending []recordRequest
}

func newMoveRecorder(n *Node) *moveRecorder {
	return &moveRecorder{node: n, log: n.log.Named("moves"), wakeup: make(chan struct{}, 1)}
}

// serve records the completed moves of another node's backend server and responds once they are
// written.
func (r *moveRecorder) serve(w http.ResponseWriter, request *http.Request) {
	var message completedMoves
	if !r.node.readCall(w, request, &message) {
		return
	}
	if r.node.views.current().Planner.Instance != r.node.config.Instance || r.node.stopping.Load() {
		http.Error(w, "this node does not plan", http.StatusConflict)
		return
	}
	waiting := recordRequest{message, make(chan error, 1)}
	r.mu.Lock()
	r.pending = append(r.pending, waiting)
	r.mu.Unlock()
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
	select {
	case err := <-waiting.done:
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusOK)
	case <-request.Context().Done():
	}
}

// run writes the requested moves until ctx ends.
func (r *moveRecorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wakeup:
		case <-ctx.Done():
			return
		}
		sleep(ctx, recordDelay(len(r.node.views.current().Members)))
		r.mu.Lock()
		byService := map[string][]recordRequest{}
		for _, request := range r.pending {
			byService[request.Service] = append(byService[request.Service], request)
		}
		r.pending = nil
		r.mu.Unlock()
		for service, requests := range byService {
			r.record(ctx, service, requests)
		}
	}
}

// recordDelay returns how long completed moves are collected in a cluster with a number of members.
func recordDelay(members int) time.Duration {
	return min(minRecordDelay+time.Duration(members)*recordDelayPerMember, maxRecordDelay)
}

// record writes the moves of several requests in one transaction.
func (r *moveRecorder) record(ctx context.Context, service string, requests []recordRequest) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var outcomes []error
	err := r.node.writer.update(ctx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
		generation := r.node.generation.generation()
		next, changed := t, false
		outcomes = make([]error, len(requests))
		for i, request := range requests {
			released, ok := releaseMoves(next, request.completedMoves, generation)
			if !ok {
				outcomes[i] = errNotRecorded
				continue
			}
			changed = changed || released != next
			next = released
		}
		if !changed {
			return nil, metastore.Txn{}, errNoChange
		}
		return next, metastore.Txn{}, nil
	})
	if err != nil {
		r.log.Info("completed moves not written", zap.String("service", service), zap.Int("backends", len(requests)), zap.Error(err))
	}
	for i, request := range requests {
		if err == nil {
			request.done <- outcomes[i]
		} else {
			request.done <- err
		}
	}
}

// releaseMoves completes moves that their owner's node has reported. It returns false if the table does
// not show all of them as open: they may be completed already, or the table may be older than the one
// that the owner's node knows. It does so too if only that node can tell whether the keys are the
// owner's, because the store went back.
func releaseMoves(t *keyrange.Space, m completedMoves, generation uint64) (*keyrange.Space, bool) {
	if m.Generation != generation {
		return nil, false
	}
	next := t
	for _, move := range m.Moves {
		r := t.Find(move.From)
		if r.Owner != m.Owner || r.Fence != move.Fence || !r.Moving() || !t.SettledIn(generation, move.From) {
			return nil, false
		}
		released, err := next.Release(move.Span, m.Owner, move.Handover)
		if err != nil {
			return nil, false
		}
		next = released
	}
	return next, true
}

// submit asks the planner to record moves and waits until they are written. It returns false if
// the caller has to write them.
func (r *moveRecorder) submit(ctx context.Context, message completedMoves) bool {
	address := r.node.gossip.distributorAddress()
	if address == "" || len(message.Moves) == 0 {
		return false
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		r.log.Error("completed moves cannot be encoded", zap.Error(err))
		return false
	}
	if _, err := r.node.post(ctx, address, completedMovesPath, recordTimeout, body); err != nil {
		r.log.Info("completed moves not recorded by the planner; writing them", zap.Int("moves", len(message.Moves)), zap.Error(err))
		return false
	}
	return true
}
