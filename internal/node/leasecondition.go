package node

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

// errNoLease means that a write that depends on the node's lease was not sent, because the node has none.
var errNoLease = errors.New("the node has no lease")

// condition returns a condition on the lease row. A transaction with it does not take effect once another process of
// this node has acquired the lease or another node has ended it, however late the store does it; nor does it once the
// lease has been renewed, and then it has to be sent again. It fails with errNoLease if no such condition can hold.
func (k *leaseKeeper) condition() (metastore.Condition, error) {
	generation := k.views.currentGeneration()
	k.mu.Lock()
	defer k.mu.Unlock()
	version := max(k.version, k.shown)
	if k.until.IsZero() || metastore.Generation(version) != generation {
		return metastore.Condition{}, errNoLease
	}
	return metastore.Condition{Key: leaseKey(k.instance), Version: version}, nil
}

// observe learns from the rows of a transaction that failed on its condition: of a renewal whose confirmation is on its
// way, or that the lease is lost. It reports whether condition returns something else now.
func (k *leaseKeeper) observe(rows []metastore.Row) bool {
	i := slices.IndexFunc(rows, func(r metastore.Row) bool { return r.Key == leaseKey(k.instance) })
	if i < 0 {
		return false
	}
	row, nonce := rows[i], k.nonceOf(rows[i])
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.until.IsZero() || row.Version <= max(k.version, k.shown) {
		return false
	}
	if slices.Contains(k.recentNonces, nonce) {
		k.shown = row.Version
		return true
	}
	k.log.Error("lease lost: a write found the row changed by another node", zap.Uint64("version", k.version), zap.Uint64("found", row.Version))
	k.until = time.Time{}
	return true
}
