package chunks

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Assembly collects the chunks of a value. Those that another version has too outlast a change to its
// manifest.
type Assembly struct {
	manifest Manifest
	have     map[uint64][]byte
}

// NewAssembly returns an assembly that has the chunks of present, a version of the value, and no
// manifest yet.
func NewAssembly(present []byte) *Assembly {
	return &Assembly{have: NewIndex(present).bySum}
}

// Expect makes the assembly collect the chunks of a manifest that passed Check, and drops all others.
func (a *Assembly) Expect(m Manifest) {
	a.manifest = m
	kept := make(map[uint64][]byte, len(m.Chunks))
	for _, c := range m.Chunks {
		if chunk, ok := a.have[c.Sum]; ok {
			kept[c.Sum] = chunk
		}
	}
	a.have = kept
}

// Expected returns the sum of the value that is collected, and 0 without a manifest.
func (a *Assembly) Expected() uint64 { return a.manifest.Sum }

// Missing returns the sums of the next missing chunks, up to a number of bytes but at least one if any is
// missing.
func (a *Assembly) Missing(maxBytes int) []uint64 {
	var out []uint64
	listed := map[uint64]bool{}
	size := 0
	for _, c := range a.manifest.Chunks {
		if _, ok := a.have[c.Sum]; ok || listed[c.Sum] {
			continue
		}
		if size += c.Size; size > maxBytes && len(out) > 0 {
			break
		}
		listed[c.Sum] = true
		out = append(out, c.Sum)
	}
	return out
}

// Add adds a chunk and reports whether it was missing.
func (a *Assembly) Add(chunk []byte) bool {
	sum := xxhash.Sum64(chunk)
	if _, ok := a.have[sum]; ok {
		return false
	}
	for _, c := range a.manifest.Chunks {
		if c.Sum == sum && c.Size == len(chunk) {
			a.have[sum] = chunk
			return true
		}
	}
	return false
}

// Complete reports whether no chunk of the manifest is missing.
func (a *Assembly) Complete() bool {
	return len(a.manifest.Chunks) > 0 && len(a.Missing(0)) == 0
}

// errDiffers means that the chunks don't make up the value.
var errDiffers = errors.New("the assembled value differs from the one that was announced")

// Value returns the value of a complete assembly.
func (a *Assembly) Value() ([]byte, error) {
	value := make([]byte, 0, a.manifest.Size())
	for _, c := range a.manifest.Chunks {
		value = append(value, a.have[c.Sum]...)
	}
	if xxhash.Sum64(value) != a.manifest.Sum {
		return nil, errDiffers
	}
	return value, nil
}
