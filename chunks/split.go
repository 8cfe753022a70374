// Package chunks divides a value at boundaries that its content determines, so that two versions of a
// value have most chunks in common. Who has one version needs only the chunks that it lacks of another,
// in messages whose size does not depend on that of the value. It does no I/O and reads no clock.
package chunks

import "github.com/cespare/xxhash/v2"

// Sizes of chunks in bytes.
const (
	// MinSize and MaxSize bound all chunks but the last one, which may be smaller.
	MinSize, MaxSize = 1 << 10, 16 << 10
	// meanSize is about the mean distance of a boundary from the smallest size.
	meanSize = 4 << 10
)

// boundaryMask selects the bits of the rolling hash that are zero at a boundary. The topmost ones depend
// on the most bytes.
const boundaryMask = uint64(meanSize-1) << 52

// gear maps each byte to a random number for the rolling hash.
var gear = func() (out [256]uint64) {
	for i := range out {
		out[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return out
}()

// Split divides a value into chunks, which share its memory.
func Split(value []byte) [][]byte {
	var out [][]byte
	for len(value) > 0 {
		size := boundary(value)
		out = append(out, value[:size:size])
		value = value[size:]
	}
	return out
}

// boundary returns the size of the first chunk of a value.
func boundary(value []byte) int {
	end := min(len(value), MaxSize)
	var hash uint64 // of the last 64 bytes
	for i := range end {
		hash = hash<<1 + gear[value[i]]
		if i >= MinSize && hash&boundaryMask == 0 {
			return i + 1
		}
	}
	return end
}
