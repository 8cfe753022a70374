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
	// leaseDuration is how long a lease lasts after a write of its row. It must outlast
	// the usual outages of the store, and bounds the time until the keys of a machine
	// that went dark are served again. Holds end with the lease, and backend servers
	// accept holds of at most 10 s.
	leaseDuration = 9 * time.Second
	// leaseClockSkew is the rate, as a share, by which this machine's clock may run slow
	// against the store's.
	leaseClockSkew = 0.02
	// leaseRenewInterval is the pause between renewals. Each is a priced call.
	leaseRenewInterval = 2 * time.Second
	// leaseRetryInterval is the pause after a renewal that failed.
	leaseRetryInterval = 250 * time.Millisecond
)

// leaseDuty keeps the node's lease: the right to grant keys to the backend server beside
// it. The planner gives the keys of a node away only in a transaction that deletes its
// lease row, after the row was unchanged for leaseDuration by the store's clock.
type leaseDuty struct {
	instance, address string
	store             metastore.WatchedTable
	views             *viewStore
	log               *zap.Logger
	now               func() time.Time
	// sampled is told the store's newest version and clock at each answer.
	sampled func(version uint64, now time.Duration)

	mu      sync.Mutex
	until   time.Time
	version uint64
	// pending are the nonces written since the last confirmed write; any of those writes may
	// have taken effect.
	pending []uint64
	// priorUntil is when grants of an earlier process on this machine have ended.
	priorUntil time.Time
}

// validUntil returns the end of the lease by the boot-time clock; zero without a lease.
func (d *leaseDuty) validUntil() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.until
}

// earlierGrantsUntil returns when grants of an earlier process have ended.
func (d *leaseDuty) earlierGrantsUntil() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.priorUntil
}

// run acquires the lease and renews it until ctx ends.
func (d *leaseDuty) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.acquire(ctx); err != nil {
			d.log.Warn("lease not acquired", zap.Error(err))
			sleep(ctx, jitter(leaseRetryInterval))
			continue
		}
		d.log.Info("lease acquired", zap.Uint64("version", d.version))
		d.renewUntilLost(ctx)
	}
}

// acquire takes the lease row over from an earlier process of this machine, or creates
// it, and then reads the cluster again: without a lease, keys may have been given away.
func (d *leaseDuty) acquire(ctx context.Context) error {
	d.mu.Lock()
	d.until, d.priorUntil = time.Time{}, d.now().Add(leaseDuration)
	d.mu.Unlock()
	version, _, err := d.read(ctx)
	if err != nil {
		return err
	}
	d.version, d.pending = version, nil
	sent, err := d.write(ctx)
	if err != nil {
		return err
	}
	listing, err := d.store.List(ctx, clusterTable)
	if err != nil {
		return err
	}
	d.views.replace(clusterTable, listing)
	d.extend(sent)
	return nil
}

func (d *leaseDuty) extend(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = sent.Add(time.Duration(float64(leaseDuration) * (1 - leaseClockSkew)))
}

func (d *leaseDuty) renewUntilLost(ctx context.Context) {
	pause := leaseRenewInterval
	failing := false
	for {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		sent, err := d.write(ctx)
		switch {
		case err == nil:
			d.extend(sent)
			if failing {
				d.log.Info("lease renewed again", zap.Uint64("version", d.version))
			}
			pause, failing = leaseRenewInterval, false
		case errors.Is(err, metastore.ErrConflict):
			d.log.Error("lease lost: the row was changed by another node", zap.Uint64("version", d.version), zap.Error(err))
			return
		default:
			if !failing {
				d.log.Warn("lease not renewed", zap.Duration("left", d.validUntil().Sub(d.now())), zap.Error(err))
			}
			pause, failing = jitter(leaseRetryInterval), true
		}
	}
}

// write renews the row. It returns the time before the write was sent.
func (d *leaseDuty) write(ctx context.Context) (time.Time, error) {
	nonce := rand.Uint64()
	d.pending = append(d.pending, nonce)
	value, err := cbor.Marshal(leaseRow{Nonce: nonce, Address: d.address})
	if err != nil {
		return time.Time{}, err
	}
	key := leaseKey(d.instance)
	sent := d.now()
	applied, err := d.store.Apply(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Version: d.version}},
		Writes:     []metastore.Write{{Key: key, Value: value}},
	})
	if err == nil {
		d.sampled(applied.Version, applied.Now)
		d.version, d.pending = applied.Version, nil
		return sent, nil
	}
	if !errors.Is(err, metastore.ErrConflict) {
		return time.Time{}, err
	}
	// An earlier write without an answer may have taken effect.
	version, nonce, readErr := d.read(ctx)
	if readErr != nil {
		return time.Time{}, readErr
	}
	if version == 0 || !slices.Contains(d.pending, nonce) {
		return time.Time{}, err
	}
	d.version, d.pending = version, nil
	return time.Time{}, errAdopted
}

// errAdopted means that an earlier write of this process was found in the row; the next
// write continues from it.
var errAdopted = errors.New("an earlier renewal without an answer had taken effect")

// read returns the version and the nonce of the own row; zeros if there is none.
func (d *leaseDuty) read(ctx context.Context) (version, nonce uint64, err error) {
	listing, err := d.store.List(ctx, leaseTable)
	if err != nil {
		return 0, 0, err
	}
	for _, row := range listing.Rows {
		if row.Key != leaseKey(d.instance) {
			continue
		}
		var value leaseRow
		if err := cbor.Unmarshal(row.Value, &value); err != nil {
			return 0, 0, err
		}
		return row.Version, value.Nonce, nil
	}
	return 0, 0, nil
}
