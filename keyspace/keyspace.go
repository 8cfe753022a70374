// Package keyspace maps keys to the 64-bit hash space of their service.
package keyspace

import "github.com/cespare/xxhash/v2"

// Hash returns the position of key in the hash space of service. All daemons must
// compute the same value, so the algorithm (xxhash64 of service, a zero byte, key)
// is fixed.
func Hash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(key)
	return d.Sum64()
}

var separator = []byte{0}
