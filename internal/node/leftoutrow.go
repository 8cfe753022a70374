package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/basilway/basilway/metastore"
)

// leftOutRow stands for a large row, which is fetched in parts.
type leftOutRow struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Sum is the xxHash of its value.
	Sum uint64 `cbor:"3,keyasint"`
}

func leftOut(row metastore.Row) leftOutRow {
	return leftOutRow{row.Key, row.Version, xxhash.Sum64(row.Value)}
}

// leftOutOf returns what stands for the large rows among those with the given keys.
func (s *viewStore) leftOutOf(keys []string) []leftOutRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []leftOutRow
	for _, key := range keys {
		if row, ok := s.rows[key]; ok && isLarge(row) {
			out = append(out, leftOut(row))
		}
	}
	return out
}

// ownVersions returns this node's rows for those that were left out of a listing: with the listed version
// if the value is the same, or else as they are, so that they don't count as deleted. Those that it doesn't
// have are missing.
func (s *viewStore) ownVersions(leftOut []leftOutRow) []metastore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []metastore.Row
	for _, l := range leftOut {
		known, ok := s.rows[l.Key]
		if !ok {
			continue
		}
		if xxhash.Sum64(known.Value) == l.Sum {
			known.Version = max(known.Version, l.Version)
		}
		out = append(out, known)
	}
	return out
}
