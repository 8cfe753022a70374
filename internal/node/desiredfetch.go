package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/catchup"
	"github.com/basilway/basilway/chunks"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

const (
	// fetchFailurePause and fetchBusyPause are how long a node is not asked for chunks again after it did
	// not answer, or served others.
	fetchFailurePause = 300 * time.Millisecond
	fetchBusyPause    = 40 * time.Millisecond
	// maxFetchFailures is the number of failures in a row after which a node is not asked until it is heard of
	// again. The store is read before.
	maxFetchFailures = 10
	// maxHolders is the number of nodes with a newer desired state that are remembered.
	maxHolders = 8
	// readStoreAfter is how long a node lacks a known desired state, without receiving any of it, before it
	// reads the store itself. Nodes that all lack one begin to at storeReadersPerSecond, and within
	// maxStoreReadDelay.
	readStoreAfter        = time.Second
	storeReadersPerSecond = 100.0
	maxStoreReadDelay     = 1500 * time.Millisecond
)

// desiredStateFetcher gets the newest desired state that it hears of from other nodes, in messages of a
// bounded size. What arrived is kept when a transfer breaks off or a newer version becomes known.
type desiredStateFetcher struct {
	node   *Node
	log    *zap.Logger
	wakeup chan struct{}
	// transfer is the one in progress, nil after a version was applied. Only run uses it.
	transfer *desiredStateTransfer

	mu      sync.Mutex
	tracker *catchup.Tracker
}

func newDesiredStateFetcher(n *Node) *desiredStateFetcher {
	return &desiredStateFetcher{node: n, log: n.log.Named("desired"), wakeup: make(chan struct{}, 1), tracker: catchup.New(catchup.Config{
		FailurePause: fetchFailurePause, BusyPause: fetchBusyPause, MaxFailures: maxFetchFailures, MaxHolders: maxHolders,
	})}
}

// desiredStateTransfer is the transfer of a desired state, perhaps from several nodes.
type desiredStateTransfer struct {
	*chunks.Assembly
	started  time.Time
	messages int
}

// heard records that the node at an address has a version of the desired state; without an address it
// cannot be asked for it.
func (f *desiredStateFetcher) heard(version uint64, address string) {
	if address == "" {
		return
	}
	f.mu.Lock()
	newest := f.tracker.Heard(version, address, time.Now())
	f.mu.Unlock()
	if newest {
		f.log.Info("newer desired state known", zap.Uint64("version", version), zap.String("address", address))
	}
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// applied records the version in force.
func (f *desiredStateFetcher) applied(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Applied(version, time.Now())
}

// behind returns how long a newer version than the one in force has been known; 0 if none is.
func (f *desiredStateFetcher) behind() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Behind(time.Now())
}

// needsStore reports whether other nodes don't deliver a known version, so that the store is to be read. Nodes of a
// large cluster begin one after the other.
func (f *desiredStateFetcher) needsStore() bool {
	spread := min(time.Duration(float64(len(f.node.views.current().Members))/storeReadersPerSecond*float64(time.Second)), maxStoreReadDelay)
	turn := float64(xxhash.Sum64String(f.node.config.Instance)) / math.MaxUint64
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Stalled(time.Now()) > readStoreAfter+time.Duration(turn*float64(spread))
}

// run fetches newer desired states until ctx ends.
func (f *desiredStateFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		address, wait := f.tracker.Next(time.Now(), rand.Float64())
		f.mu.Unlock()
		if address == "" {
			f.wait(ctx, wait)
			continue
		}
		failure, err := f.fetch(ctx, address)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.log.Debug("desired state not fetched", zap.String("address", address), zap.Error(err))
		f.mu.Lock()
		f.tracker.Failed(address, failure, time.Now())
		f.mu.Unlock()
	}
}

// wait waits until another node is heard of, for a bounded time unless that is 0.
func (f *desiredStateFetcher) wait(ctx context.Context, bound time.Duration) {
	var timeout <-chan time.Time
	if bound > 0 {
		timer := time.NewTimer(bound + jitter(bound))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-f.wakeup:
	case <-timeout:
	case <-ctx.Done():
	}
}

var (
	errSourceBusy     = errors.New("the node serves others")
	errSourceOutdated = errors.New("the node has no newer desired state")
	errNothingNew     = errors.New("the node sent nothing that was missing")
)

// fetch asks the node at an address for a part of its desired state, and applies that once it is whole.
func (f *desiredStateFetcher) fetch(ctx context.Context, address string) (catchup.Failure, error) {
	have, row := f.node.views.desiredState()
	if f.transfer == nil {
		f.transfer = &desiredStateTransfer{Assembly: chunks.NewAssembly(row.Value), started: time.Now()}
	}
	t, asked := f.transfer, time.Now()
	t.messages++
	response, err := f.ask(ctx, address, chunksRequest{Have: have, Expected: t.Expected(), Wanted: t.Missing(maxChunkBytes)})
	switch {
	case err != nil:
		return catchup.Unanswered, err
	case response.Busy:
		return catchup.Busy, errSourceBusy
	case response.Version <= have:
		return catchup.Outdated, errSourceOutdated
	}
	if progress, err := t.collect(response); err != nil || !progress {
		f.transfer = nil
		return catchup.Unanswered, errors.Join(err, errNothingNew)
	}
	f.mu.Lock()
	f.tracker.Answered(address, time.Since(asked), time.Now())
	f.mu.Unlock()
	if !t.Complete() {
		return 0, nil
	}
	f.transfer = nil
	value, err := t.Value()
	if err != nil {
		return catchup.Unanswered, err
	}
	f.log.Info("desired state fetched", zap.Uint64("version", response.Version), zap.String("last part from", address), zap.Int("bytes", len(value)),
		zap.Int("messages", t.messages), zap.Duration("took", time.Since(t.started)))
	f.node.views.applyFromPeer(membership.FromRelay, metastore.Row{Key: f.node.config.Protocol.DesiredStateRow(), Version: response.RowVersion, Value: value})
	if now, _ := f.node.views.desiredState(); now < response.Version {
		f.node.freshness.rejected(response.Version)
		return catchup.Outdated, fmt.Errorf("desired state %d could not be used", response.Version)
	}
	return 0, nil
}

// collect adds what a response has and reports whether any was new.
func (t *desiredStateTransfer) collect(response chunksResponse) (progress bool, err error) {
	if m := response.Manifest; m != nil {
		if err := m.Check(maxMessageSize); err != nil {
			return false, err
		}
		t.Expect(*m)
		progress = true
	}
	arrived, err := response.chunks()
	if err != nil {
		return false, err
	}
	for _, chunk := range arrived {
		if t.Add(chunk) {
			progress = true
		}
	}
	return progress, nil
}

func (f *desiredStateFetcher) ask(ctx context.Context, address string, request chunksRequest) (response chunksResponse, err error) {
	body, err := cbor.Marshal(request)
	if err != nil {
		return response, err
	}
	data, err := f.node.post(ctx, address, desiredChunksPath, peerMessageTimeout, body)
	if err != nil {
		return response, err
	}
	if err := cbor.Unmarshal(data, &response); err != nil {
		return response, fmt.Errorf("decode chunks: %w", err)
	}
	return response, nil
}
