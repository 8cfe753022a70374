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
	// leaseOwnWriteAfter is the age of the last renewal after which a node writes its row
	// itself, because the planner does not.
	leaseOwnWriteAfter = 3 * time.Second
	// leaseRetryInterval is the pause after a renewal that failed; it doubles with each
	// failure up to leaseRetryMax, as refused calls of the store are priced too. A lease
	// must be back within two seconds of the store's return.
	leaseRetryInterval = 250 * time.Millisecond
	leaseRetryMax      = 1500 * time.Millisecond
)

// leaseDuty keeps the node's lease: the right to grant keys to the backend server beside
// it. The planner gives the keys of a node away only in a transaction that deletes its
// lease row, after the row was unchanged for leaseDuration by the store's clock.
//
// The planner renews the leases of all nodes that report to it in one transaction. A node
// that gets no such renewal writes its row itself.
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
	renewed time.Time // send time of the last renewal
	version uint64
	// pending are the nonces written since the last confirmed write; any of those writes may
	// have taken effect.
	pending []uint64
	// offered is the renewal that the planner was asked for, at offeredAt.
	offered   *leaseOffer
	offeredAt time.Time
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

// offer returns the renewal to ask the planner for, or nil. An offer is repeated until it
// is confirmed or the node writes its row itself.
func (d *leaseDuty) offer() *leaseOffer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until.IsZero() {
		return nil
	}
	if d.offered == nil {
		nonce := rand.Uint64()
		d.pending = append(d.pending, nonce)
		d.offered = &leaseOffer{Version: d.version, Row: leaseRow{Nonce: nonce, Address: d.address}}
		d.offeredAt = d.now()
	}
	return d.offered
}

// confirm takes a renewal by the planner. It counts from when it was first asked for.
func (d *leaseDuty) confirm(answer reportAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := answer.Renewed
	if r == nil || d.offered == nil || d.offered.Row.Nonce != r.Nonce {
		return
	}
	d.version, d.pending, d.offered = r.Version, nil, nil
	d.extend(d.offeredAt)
}

// extend makes the lease last from a renewal that was sent at a time. d.mu must be held.
func (d *leaseDuty) extend(sent time.Time) {
	if sent.After(d.renewed) {
		d.renewed = sent
	}
	d.until = d.renewed.Add(time.Duration(float64(leaseDuration) * (1 - leaseClockSkew)))
}

// run acquires the lease and keeps it until ctx ends.
func (d *leaseDuty) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.acquire(ctx); err != nil {
			d.log.Warn("lease not acquired", zap.Error(err))
			sleep(ctx, jitter(leaseRetryInterval))
			continue
		}
		d.log.Info("lease acquired", zap.Uint64("version", d.version))
		d.keep(ctx)
	}
}

// acquire takes the lease row over from an earlier process of this machine, or creates
// it, and then reads the cluster again: without a lease, keys may have been given away.
func (d *leaseDuty) acquire(ctx context.Context) error {
	d.mu.Lock()
	d.until, d.renewed, d.offered, d.priorUntil = time.Time{}, time.Time{}, nil, d.now().Add(leaseDuration)
	d.mu.Unlock()
	sent, err := d.write(ctx)
	if errors.Is(err, metastore.ErrConflict) {
		version, _, readErr := d.read(ctx)
		if readErr != nil {
			return readErr
		}
		d.adopt(version)
		sent, err = d.write(ctx)
	}
	if err != nil {
		return err
	}
	listing, err := d.store.List(ctx, clusterTable)
	if err != nil {
		return err
	}
	d.sampled(listing.Version, listing.Now)
	d.views.replace(clusterTable, listing)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extend(sent)
	return nil
}

// adopt continues from a version of the row that was read.
func (d *leaseDuty) adopt(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.pending, d.offered = version, nil, nil
}

// keep renews the lease whenever the planner does not, until it is lost.
func (d *leaseDuty) keep(ctx context.Context) {
	failing, pause := false, leaseRetryInterval
	for {
		sleep(ctx, jitter(pause))
		if ctx.Err() != nil {
			return
		}
		if !d.renewalDue() {
			pause = leaseRetryInterval
			continue
		}
		sent, err := d.write(ctx)
		d.endOwnWrite(sent, err)
		pause = min(2*pause, leaseRetryMax)
		if err == nil {
			pause = leaseRetryInterval
		}
		switch {
		case err == nil && failing:
			d.log.Info("lease renewed again", zap.Uint64("version", d.version))
			failing = false
		case err == nil:
		case errors.Is(err, metastore.ErrConflict):
			d.log.Error("lease lost: the row was changed by another node", zap.Uint64("version", d.version), zap.Error(err))
			return
		case !failing:
			d.log.Warn("lease not renewed", zap.Duration("left", d.validUntil().Sub(d.now())), zap.Error(err))
			failing = true
		}
	}
}

// renewalDue reports whether the node is to write its row itself now.
func (d *leaseDuty) renewalDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Sub(d.renewed) >= leaseOwnWriteAfter
}

func (d *leaseDuty) endOwnWrite(sent time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.extend(sent)
	}
	if errors.Is(err, metastore.ErrConflict) {
		d.until = time.Time{}
	}
}

// write renews the row. It returns the time before the write was sent.
func (d *leaseDuty) write(ctx context.Context) (time.Time, error) {
	row := leaseRow{Nonce: rand.Uint64(), Address: d.address}
	value, err := cbor.Marshal(row)
	if err != nil {
		return time.Time{}, err
	}
	d.mu.Lock()
	d.pending = append(d.pending, row.Nonce)
	version := d.version
	d.mu.Unlock()
	key := leaseKey(d.instance)
	sent := d.now()
	applied, err := d.store.Apply(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Version: version}},
		Writes:     []metastore.Write{{Key: key, Value: value}},
	})
	if err == nil {
		d.sampled(applied.Version, applied.Now)
		d.adopt(applied.Version)
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
	d.mu.Lock()
	// The planner may have renewed the row meanwhile.
	own := version != 0 && (version == d.version || slices.Contains(d.pending, nonce))
	d.mu.Unlock()
	if !own {
		return time.Time{}, err
	}
	d.adopt(version)
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
