package memory

import (
	"fmt"
	"strings"

	"github.com/basilway/basilway/metastore"
)

// Limits of the users' store. What operators write is not limited here.
const (
	// maxEntries is the number of conditions and writes that a transaction may have.
	maxEntries = 100
	// maxTxnBytes is the size of what a transaction writes, and maxRowBytes that of a row.
	maxTxnBytes = 1 << 20
	maxRowBytes = 64 << 10
	// maxNameBytes is the length of the key of a row in its table.
	maxNameBytes = 200
)

// nodeTables are the prefixes of the rows that nodes write.
var nodeTables = []string{"cluster/", "lease/"}

// checkLimits returns why the store would refuse a transaction, or nil.
func checkLimits(txn metastore.Txn) error {
	if n := len(txn.Conditions) + len(txn.Writes); n > maxEntries {
		return fmt.Errorf("transaction with %d entries; at most %d are allowed", n, maxEntries)
	}
	total := 0
	for _, w := range txn.Writes {
		for _, table := range nodeTables {
			name, ok := strings.CutPrefix(w.Key, table)
			if !ok {
				continue
			}
			total += len(w.Value)
			if len(name) > maxNameBytes || len(w.Value) > maxRowBytes {
				return fmt.Errorf("row %s with %d bytes; names of %d bytes and rows of %d are allowed", w.Key, len(w.Value), maxNameBytes, maxRowBytes)
			}
		}
	}
	if total > maxTxnBytes {
		return fmt.Errorf("transaction with %d bytes; at most %d are allowed", total, maxTxnBytes)
	}
	return nil
}
