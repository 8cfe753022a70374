package node

import (
	"context"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/quarantine"
)

// maxStrikesPerWrite is the number of strikes in one transaction, as many as the store accepts.
const maxStrikesPerWrite = 100

// writeStrikes writes the strikes of crashes to the store, so that all nodes learn of them.
func (b *backend) writeStrikes(ctx context.Context) error {
	for {
		b.mu.Lock()
		records := slices.Clone(b.unwrittenStrikes[:min(len(b.unwrittenStrikes), maxStrikesPerWrite)])
		b.mu.Unlock()
		if len(records) == 0 {
			return nil
		}
		if err := b.writeSomeStrikes(ctx, records); err != nil {
			return err
		}
	}
}

// writeSomeStrikes writes the oldest unwritten strikes.
func (b *backend) writeSomeStrikes(ctx context.Context, records []quarantine.Record) error {
	var txn metastore.Txn
	for _, r := range records {
		value, err := cbor.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode strike: %w", err)
		}
		key := fmt.Sprintf("%s%x-%s-%d", strikePrefix, uint64(r.Fingerprint), b.node.config.Instance, r.AtMS)
		txn.Writes = append(txn.Writes, metastore.Write{Key: key, Value: value})
	}
	if _, err := b.node.store.Apply(ctx, txn); err != nil {
		return err
	}
	b.log.Info("strikes written", zap.Int("requests", len(records)))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unwrittenStrikes = b.unwrittenStrikes[len(records):]
	return nil
}
