package chunks

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Ref identifies a chunk by its content.
type Ref struct {
	// Sum is the xxHash of the chunk.
	Sum uint64 `cbor:"1,keyasint"`
	// Size is its size in bytes.
	Size int `cbor:"2,keyasint"`
}

// Manifest lists the chunks of a value in order.
type Manifest struct {
	// Sum is the xxHash of the whole value.
	Sum    uint64 `cbor:"1,keyasint"`
	Chunks []Ref  `cbor:"2,keyasint"`
}

// Size returns the size of the value in bytes.
func (m Manifest) Size() int {
	size := 0
	for _, c := range m.Chunks {
		size += c.Size
	}
	return size
}

// Check returns an error if the manifest cannot be that of a value of at most maxBytes.
func (m Manifest) Check(maxBytes int) error {
	if len(m.Chunks) > maxBytes/MinSize+1 {
		return fmt.Errorf("manifest of %d chunks; a value of %d bytes has fewer", len(m.Chunks), maxBytes)
	}
	for i, c := range m.Chunks {
		if c.Size <= 0 || c.Size > MaxSize {
			return fmt.Errorf("chunk %d has %d bytes; 1 to %d are possible", i, c.Size, MaxSize)
		}
	}
	if size := m.Size(); size > maxBytes {
		return fmt.Errorf("manifest of a value of %d bytes; at most %d are accepted", size, maxBytes)
	}
	return nil
}

// Index is a value divided into chunks, for those who ask for some of them.
type Index struct {
	manifest Manifest
	bySum    map[uint64][]byte
}

// NewIndex divides a value into chunks. The index shares its memory.
func NewIndex(value []byte) *Index {
	x := &Index{manifest: Manifest{Sum: xxhash.Sum64(value)}, bySum: map[uint64][]byte{}}
	for _, chunk := range Split(value) {
		sum := xxhash.Sum64(chunk)
		x.manifest.Chunks = append(x.manifest.Chunks, Ref{sum, len(chunk)})
		x.bySum[sum] = chunk
	}
	return x
}

// Manifest returns the list of the value's chunks.
func (x *Index) Manifest() Manifest { return x.manifest }

// Select returns those of the wanted chunks that the value has, in the order in which they are wanted, up
// to a number of bytes but at least one.
func (x *Index) Select(wanted []uint64, maxBytes int) [][]byte {
	var out [][]byte
	size := 0
	for _, sum := range wanted {
		chunk, ok := x.bySum[sum]
		if !ok {
			continue
		}
		if size += len(chunk); size > maxBytes && len(out) > 0 {
			break
		}
		out = append(out, chunk)
	}
	return out
}
