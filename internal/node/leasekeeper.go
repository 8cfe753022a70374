package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

const (
	// leaseDuration is how long a lease lasts after its row is written. It must outlast the
	// usual outages of the store, and bounds how long the keys of an unreachable instance
	// are not served. Holds end with the lease, and backend servers accept holds of at most
	// 10 s.
	leaseDuration = 9 * time.Second
	// leaseMaxClockDrift is the largest fraction by which this instance's clock may run
	// slower than the store's.
	leaseMaxClockDrift = 0.02
	// leaseSelfRenewAfter is the time since the last renewal after which a node writes its
	// lease row itself, because the planner has not renewed it. The planner renews each lease every
	// renewInterval, and the node learns of it with its next report.
	leaseSelfRenewAfter = 3500 * time.Millisecond
	// leaseRetryInterval is the pause after a failed renewal, and between checks whether a
	// renewal is due. It doubles with each failure up to leaseRetryIntervalMax, because
	// rejected store calls are priced too. A lease must be renewed within two seconds of the
	// store's return.
	leaseRetryInterval    = 250 * time.Millisecond
	leaseRetryIntervalMax = 1500 * time.Millisecond
)

// leaseKeeper keeps the node's lease, the right to grant keys to the backend server beside
// it. The planner takes a node's keys away only in a transaction that deletes the node's
// lease row, after the row was unchanged for leaseDuration by the store's clock or after
// another node took over the address.
//
// The planner renews the leases of all nodes that report to it in one transaction. A node
// whose lease is not renewed this way writes its row itself.
type leaseKeeper struct {
	instance, address string
	store             metastore.WatchedTable
	views             *viewStore
	log               *zap.Logger
	now               func() time.Time
	// sample is called with the store's newest version and clock at each response.
	sample func(version uint64, now time.Duration)

	// restored, if not nil, reports whether a renewal at a version may extend the lease.
	restored func(version uint64) bool
	// onLapse, if not nil, is called when the node has no lease.
	onLapse func()

	mu          sync.Mutex
	until       time.Time
	lastRenewal time.Time // send time of the last renewal
	version     uint64
	// shown is the version of a renewal that a failed transaction showed before it was confirmed; 0 if none did
	// since the last confirmed write.
	shown uint64
	// acquired is the version with which the lease was acquired; 0 until then.
	acquired uint64
	// pendingNonces are the nonces written or requested since the last confirmed write; any
	// of those writes may have taken effect.
	pendingNonces []uint64
	// requested are the renewals requested from the planner since the last confirmed write, oldest
	// first. The planner writes the newest that it knows.
	requested []requestedRenewal
	// recentNonces are the last nonces of this process. A store that went back shows one of
	// them.
	recentNonces []uint64
	// earlierGrantsEnd is when all grants of an earlier process of this node have expired.
	earlierGrantsEnd time.Time
}

// validUntil returns the end of the lease by the boot-time clock, or zero without a lease.
func (k *leaseKeeper) validUntil() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.until
}

// earlierGrantsUntil returns when all grants of an earlier process have expired.
func (k *leaseKeeper) earlierGrantsUntil() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.earlierGrantsEnd
}

// requestedRenewal is a renewal that the planner was asked for at a time.
type requestedRenewal struct {
	nonce uint64
	at    time.Time
}

// requestRenewal returns the renewal to request from the planner now, or nil without a lease.
func (k *leaseKeeper) requestRenewal() *renewalRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.until.IsZero() {
		return nil
	}
	nonce := rand.Uint64()
	k.addNonce(nonce)
	k.requested = append(k.requested, requestedRenewal{nonce, k.now()})
	return &renewalRequest{Version: k.version, Row: leaseRow{Nonce: nonce, Address: k.address, Acquired: k.acquired}}
}

// maxRecentNonces is the number of nonces that are kept; the last minute's at least.
const maxRecentNonces = 256

// addNonce records a nonce that is about to be written. k.mu must be held.
func (k *leaseKeeper) addNonce(nonce uint64) {
	k.pendingNonces = append(k.pendingNonces, nonce)
	k.recentNonces = append(k.recentNonces, nonce)
	if len(k.recentNonces) > maxRecentNonces {
		k.recentNonces = k.recentNonces[1:]
	}
}

// confirm extends the lease if response confirms a requested renewal. The lease counts from the
// time at which that renewal was requested.
func (k *leaseKeeper) confirm(response reportResponse) {
	r := response.Renewed
	if r == nil {
		return
	}
	restored := k.mayExtend(r.Version)
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.requested, func(other requestedRenewal) bool { return other.nonce == r.Nonce })
	if i < 0 {
		return
	}
	confirmed := k.requested[i]
	k.version, k.shown, k.requested, k.pendingNonces = r.Version, 0, slices.Clone(k.requested[i+1:]), nil
	for _, later := range k.requested {
		k.pendingNonces = append(k.pendingNonces, later.nonce)
	}
	if restored {
		k.extend(confirmed.at)
	}
}

// extend sets the end of the lease after a renewal that was sent at the given time.
// k.mu must be held.
func (k *leaseKeeper) extend(sent time.Time) {
	if sent.After(k.lastRenewal) {
		k.lastRenewal = sent
	}
	k.until = k.lastRenewal.Add(time.Duration(float64(leaseDuration) * (1 - leaseMaxClockDrift)))
}

// run acquires the lease and keeps it until ctx ends.
func (k *leaseKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.acquire(ctx); err != nil {
			k.log.Warn("lease not acquired", zap.Error(err))
			sleep(ctx, jitter(leaseRetryInterval))
			continue
		}
		k.log.Info("lease acquired", zap.Uint64("version", k.version))
		k.renewUntilLost(ctx)
	}
}

// acquire creates the lease row or takes it over from an earlier process of this node.
// It then lists the cluster's rows again, because keys may have been reassigned while the
// node had no lease.
func (k *leaseKeeper) acquire(ctx context.Context) error {
	if k.onLapse != nil {
		k.onLapse()
	}
	k.mu.Lock()
	k.until, k.lastRenewal, k.requested, k.earlierGrantsEnd = time.Time{}, time.Time{}, nil, k.now().Add(leaseDuration)
	k.acquired = 0
	k.mu.Unlock()
	sent, err := k.acquireRow(ctx)
	if err != nil {
		return err
	}
	listing, err := k.store.List(ctx, clusterTable)
	if err != nil {
		return err
	}
	k.sample(listing.Version, listing.Now)
	k.views.replace(clusterTable, listing)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.extend(sent)
	return nil
}

// acquireRow writes the row on the basis of whatever it holds. It returns the time before the write
// was sent.
func (k *leaseKeeper) acquireRow(ctx context.Context) (time.Time, error) {
	generation := k.views.currentGeneration()
	sent, err := k.write(ctx)
	if errors.Is(err, metastore.ErrConflict) {
		version, _, _, readErr := k.rowAfterConflict(ctx, err)
		if readErr != nil {
			return time.Time{}, readErr
		}
		k.adoptVersion(version)
		generation = k.views.currentGeneration()
		sent, err = k.write(ctx)
	}
	if err != nil {
		return time.Time{}, err
	}
	k.mu.Lock()
	k.acquired = k.version
	k.mu.Unlock()
	if metastore.Generation(k.rowVersion()) != generation {
		// The row names the generation that was known before the write.
		return k.write(ctx)
	}
	return sent, nil
}

// adoptVersion makes version the one that the next write is based on, and clears the
// outstanding renewals.
func (k *leaseKeeper) adoptVersion(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version, k.shown, k.pendingNonces, k.requested = version, 0, nil, nil
}

// renewUntilLost writes the row whenever the planner does not renew it, until the lease is
// lost or ctx ends.
func (k *leaseKeeper) renewUntilLost(ctx context.Context) {
	failing, interval := false, leaseRetryInterval
	for {
		sleep(ctx, jitter(interval))
		if ctx.Err() != nil {
			return
		}
		if !k.renewalDue() {
			interval = leaseRetryInterval
			continue
		}
		sent, err := k.write(ctx)
		k.finishSelfRenewal(sent, err)
		interval = min(2*interval, leaseRetryIntervalMax)
		if err == nil {
			interval = leaseRetryInterval
		}
		switch {
		case err == nil && failing:
			k.log.Info("lease renewed again", zap.Uint64("version", k.version))
			failing = false
		case err == nil:
		case errors.Is(err, metastore.ErrConflict):
			k.log.Error("lease lost: the row was changed by another node", zap.Uint64("version", k.version), zap.Error(err))
			return
		case !failing:
			k.log.Warn("lease not renewed", zap.Duration("left", k.validUntil().Sub(k.now())), zap.Error(err))
			failing = true
		}
	}
}

// mayExtend reports whether a renewal at a version extends the lease. k.mu must not be held.
func (k *leaseKeeper) mayExtend(version uint64) bool { return k.restored == nil || k.restored(version) }

// rowVersion returns the version of the last confirmed write of the row.
func (k *leaseKeeper) rowVersion() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}

// renewalDue reports whether the node must write its row itself now.
func (k *leaseKeeper) renewalDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now().Sub(k.lastRenewal) >= leaseSelfRenewAfter
}

// finishSelfRenewal extends the lease after a successful write and ends it after a conflict.
func (k *leaseKeeper) finishSelfRenewal(sent time.Time, err error) {
	restored := err == nil && k.mayExtend(k.rowVersion())
	k.mu.Lock()
	defer k.mu.Unlock()
	if restored {
		k.extend(sent)
	}
	if errors.Is(err, metastore.ErrConflict) {
		k.until = time.Time{}
	}
}

// write renews the row and returns the time before the write was sent. It fails with
// errEarlierWriteApplied if the row holds an earlier write of this process, and with
// metastore.ErrConflict if it holds a write of another process.
func (k *leaseKeeper) write(ctx context.Context) (time.Time, error) {
	generation := k.views.currentGeneration()
	k.mu.Lock()
	row := leaseRow{Nonce: rand.Uint64(), Address: k.address, Acquired: k.acquired}
	if row.Acquired == 0 {
		row.Acquired = metastore.VersionOf(generation, 0)
	}
	k.addNonce(row.Nonce)
	version := k.version
	k.mu.Unlock()
	value, err := cbor.Marshal(row)
	if err != nil {
		return time.Time{}, err
	}
	key := leaseKey(k.instance)
	sent := k.now()
	applied, err := k.store.Apply(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Version: version}},
		Writes:     []metastore.Write{{Key: key, Value: value}},
	})
	if err == nil {
		k.sample(applied.Version, applied.Now)
		k.adoptVersion(applied.Version)
		return sent, nil
	}
	if !errors.Is(err, metastore.ErrConflict) {
		return time.Time{}, err
	}
	// An earlier write whose response was lost may have taken effect.
	version, nonce, listed, readErr := k.rowAfterConflict(ctx, err)
	if readErr != nil {
		return time.Time{}, readErr
	}
	k.mu.Lock()
	// Meanwhile the planner may have renewed the row.
	own := version != 0 && (version == k.version || slices.Contains(k.pendingNonces, nonce))
	if metastore.Generation(listed) > metastore.Generation(k.version) && k.now().Before(k.until) {
		// The store went back. The lease is in force, so the row was not taken: it is an
		// earlier one of this process, or was lost.
		own = version == 0 || slices.Contains(k.recentNonces, nonce)
	}
	k.mu.Unlock()
	if !own {
		return time.Time{}, err
	}
	k.adoptVersion(version)
	return time.Time{}, errEarlierWriteApplied
}

// errEarlierWriteApplied means that the row holds an earlier write of this process; the
// next write is based on it.
var errEarlierWriteApplied = errors.New("an earlier renewal took effect, but its response was lost")

// rowAfterConflict returns what read does, from the response to a failed write if that has the row.
func (k *leaseKeeper) rowAfterConflict(ctx context.Context, conflict error) (version, nonce, listed uint64, err error) {
	for _, row := range metastore.ConflictRows(conflict) {
		if row.Key == leaseKey(k.instance) {
			return row.Version, k.nonceOf(row), row.Version, nil
		}
	}
	return k.read(ctx)
}

// read returns the version and nonce of the node's own row, or zeros if there is none, and the
// version of the store.
func (k *leaseKeeper) read(ctx context.Context) (version, nonce, listed uint64, err error) {
	listing, err := k.store.List(ctx, leaseTable)
	if err != nil {
		return 0, 0, 0, err
	}
	for _, row := range listing.Rows {
		if row.Key == leaseKey(k.instance) {
			return row.Version, k.nonceOf(row), listing.Version, nil
		}
	}
	return 0, 0, listing.Version, nil
}

// nonceOf returns the nonce of a row, or 0, which no process of this node writes, if the row cannot be decoded:
// it is then taken over like one of another process.
func (k *leaseKeeper) nonceOf(row metastore.Row) uint64 {
	var value leaseRow
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		k.log.Warn("lease row cannot be decoded", zap.Uint64("version", row.Version), zap.Error(err))
		return 0
	}
	return value.Nonce
}
