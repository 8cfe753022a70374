package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

const (
	// relayBackoff is the pause before other nodes are asked again after none of those asked
	// could reach the store: store calls are priced, rejected ones too.
	relayBackoff = time.Second
	// relayMaxNodes is the number of nodes that are asked for one call.
	relayMaxNodes = 2
)

// relayStore makes store calls through other nodes if this node cannot reach the store.
// Sending a transaction again is safe: it is conditional, and if it already took effect, it
// fails with a conflict, after which the rows are read. Its outcome is that of all tries together: if one of
// them may have taken effect, or may yet, so may the transaction.
type relayStore struct {
	metastore.WatchedTable
	node *Node
	log  *zap.Logger

	mu          sync.Mutex
	pausedUntil time.Time
}

// relayCall asks another node to make a store call.
type relayCall struct {
	// Table is set to list a table, Txn to commit a transaction.
	Table string         `cbor:"1,keyasint,omitempty"`
	Txn   *metastore.Txn `cbor:"2,keyasint,omitempty"`
	// LeaveOut is set if the sender fetches large rows. Nodes of an earlier release don't.
	LeaveOut bool `cbor:"3,keyasint,omitempty"`
}

// relayResult is the result of a relayCall.
type relayResult struct {
	Listing metastore.Listing `cbor:"1,keyasint,omitempty"`
	Applied metastore.Applied `cbor:"2,keyasint,omitempty"`
	Failure relayFailure      `cbor:"3,keyasint,omitempty"`
	Message string            `cbor:"4,keyasint,omitempty"`
	// Rows are those of a metastore.ConflictError.
	Rows []metastore.Row `cbor:"5,keyasint,omitempty"`
	// LeftOut are the large rows of the listing, without their values. Desired is the version of the desired
	// state that the node which made the call has in force after it.
	LeftOut []leftOutRow `cbor:"6,keyasint,omitempty"`
	Desired uint64       `cbor:"7,keyasint,omitempty"`
}

// relayFailure is the kind of a store error.
type relayFailure uint8

const (
	relayOK relayFailure = iota
	relayConflict
	relayUnavailable
	relayUnknown
)

func failureOf(err error) relayFailure {
	switch {
	case err == nil:
		return relayOK
	case errors.Is(err, metastore.ErrConflict):
		return relayConflict
	case errors.Is(err, metastore.ErrUnavailable):
		return relayUnavailable
	default:
		return relayUnknown
	}
}

func (r relayResult) err() error {
	switch r.Failure {
	case relayOK:
		return nil
	case relayConflict:
		return &metastore.ConflictError{Rows: r.Rows, Message: r.Message}
	case relayUnavailable:
		return fmt.Errorf("%w: %s", metastore.ErrUnavailable, r.Message)
	default:
		return fmt.Errorf("%w: %s", metastore.ErrUnknown, r.Message)
	}
}

// List implements metastore.WatchedTable.
func (s *relayStore) List(ctx context.Context, table string) (metastore.Listing, error) {
	listing, _, err := s.list(ctx, table)
	return listing, err
}

// list is List, and reports whether another node made the call.
func (s *relayStore) list(ctx context.Context, table string) (listing metastore.Listing, relayed bool, err error) {
	listing, err = s.WatchedTable.List(ctx, table)
	if err == nil || ctx.Err() != nil {
		s.node.views.observeGeneration(listing.Version)
		return listing, false, err
	}
	made := s.relay(ctx, relayCall{Table: table, LeaveOut: true})
	if made.result == nil {
		return listing, false, err
	}
	result := *made.result
	result.Listing.Rows = append(result.Listing.Rows, s.node.views.ownVersions(result.LeftOut)...)
	s.node.views.observeGeneration(result.Listing.Version)
	return result.Listing, true, result.err()
}

// Watch implements metastore.WatchedTable.
func (s *relayStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	listing, err := s.WatchedTable.Watch(ctx, table, after, wait)
	s.node.views.observeGeneration(listing.Version)
	return listing, err
}

// Apply implements metastore.WatchedTable.
func (s *relayStore) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	applied, err := s.WatchedTable.Apply(ctx, txn)
	if err == nil || errors.Is(err, metastore.ErrConflict) || ctx.Err() != nil {
		s.node.views.observeGeneration(applied.Version)
		return applied, err
	}
	made := s.relay(ctx, relayCall{Txn: &txn})
	if made.result == nil {
		return applied, outcomeOfTries(made.uncertain, err)
	}
	s.node.views.observeGeneration(made.result.Applied.Version)
	uncertain := made.uncertain || !errors.Is(err, metastore.ErrUnavailable)
	return made.result.Applied, outcomeOfTries(uncertain, made.result.err())
}

// outcomeOfTries returns the error of a transaction that was sent more than once. err is the outcome of one try, and
// uncertain is set if another may have taken effect, or may yet.
func outcomeOfTries(uncertain bool, err error) error {
	if err == nil || !uncertain || errors.Is(err, metastore.ErrUnknown) {
		return err
	}
	return fmt.Errorf("%w after an earlier try: %w", metastore.ErrUnknown, err)
}

// relayed is what became of a call that other nodes were asked to make.
type relayed struct {
	// result is that of the node that reached the store; nil if none did.
	result *relayResult
	// uncertain is set if a node that was asked may have sent the call, and its outcome is not known.
	uncertain bool
}

// relay asks other nodes to make a call.
func (s *relayStore) relay(ctx context.Context, call relayCall) (made relayed) {
	s.mu.Lock()
	paused := time.Now().Before(s.pausedUntil)
	s.mu.Unlock()
	if paused {
		return relayed{}
	}
	body, err := cbor.Marshal(call)
	if err != nil {
		s.log.Error("store call cannot be encoded", zap.Error(err))
		return relayed{}
	}
	for _, address := range s.relayTargets() {
		result, err := s.ask(ctx, address, body)
		if err == nil {
			s.node.fetcher.heard(result.Desired, address)
			made.result = &result
			return made
		}
		s.log.Info("store call not made by another node", zap.String("address", address), zap.Bool("write", call.Txn != nil), zap.Error(err))
		made.uncertain = made.uncertain || !errors.Is(err, metastore.ErrUnavailable)
	}
	s.mu.Lock()
	s.pausedUntil = time.Now().Add(relayBackoff)
	s.mu.Unlock()
	return made
}

// ask asks the node at address to make an encoded call, and returns the store's answer. The error is
// metastore.ErrUnavailable if the call certainly had no effect.
func (s *relayStore) ask(ctx context.Context, address string, call []byte) (result relayResult, err error) {
	data, err := s.node.post(ctx, address, storePath, peerMessageTimeout, call)
	if notSent(err) {
		return result, fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
	}
	if err != nil {
		return result, fmt.Errorf("%w: %w", metastore.ErrUnknown, err)
	}
	if err := cbor.Unmarshal(data, &result); err != nil {
		return result, fmt.Errorf("%w: answer cannot be decoded: %w", metastore.ErrUnknown, err)
	}
	if result.Failure == relayOK || result.Failure == relayConflict {
		return result, nil
	}
	return result, result.err()
}

// relayTargets returns the addresses to ask, at most relayMaxNodes: the planner, which
// reaches the store if any node does, and random other nodes.
func (s *relayStore) relayTargets() []string {
	view := s.node.views.current()
	var out, others []string
	for instance, m := range view.Members {
		switch {
		case instance == s.node.config.Instance || s.node.peers.isLost(m.Address):
		case instance == view.Planner.Instance:
			out = append(out, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	out = append(out, others...)
	return out[:min(len(out), relayMaxNodes)]
}

// serveStore makes a store call for another node.
func (s *relayStore) serveStore(w http.ResponseWriter, r *http.Request) {
	var call relayCall
	if !s.node.readCall(w, r, &call) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerMessageTimeout)
	defer cancel()
	var result relayResult
	var err error
	if call.Txn != nil {
		result.Applied, err = s.WatchedTable.Apply(ctx, *call.Txn)
	} else {
		result.Listing, err = s.WatchedTable.List(ctx, call.Table)
		if err == nil && call.LeaveOut {
			s.leaveOutLarge(&result)
		}
	}
	if result.Failure = failureOf(err); err != nil {
		result.Message, result.Rows = err.Error(), metastore.ConflictRows(err)
	}
	s.log.Info("store call made for another node", zap.String("remote", r.RemoteAddr), zap.Bool("write", call.Txn != nil), zap.Error(err))
	s.node.writeCallResponse(w, result)
}

// leaveOutLarge names the large rows of a listing instead of having them in it, and applies them here, so
// that the other node can fetch them.
func (s *relayStore) leaveOutLarge(result *relayResult) {
	var kept []metastore.Row
	for _, row := range result.Listing.Rows {
		if row.Key != s.node.config.Protocol.DesiredStateRow() || !isLarge(row) {
			kept = append(kept, row)
			continue
		}
		s.node.views.apply(row)
		result.LeftOut = append(result.LeftOut, leftOut(row))
		result.Desired, _ = s.node.views.desiredState()
	}
	result.Listing.Rows = kept
}
