package peer

import "github.com/fxamacker/cbor/v2"

const (
	// maxBodyElements bounds arrays and maps in bodies; the largest are feed snapshots.
	maxBodyElements = 1 << 17
	maxBodyNesting  = 16
)

var (
	bodyEncoder = must(cbor.EncOptions{}.EncMode())
	bodyDecoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxBodyNesting,
		MaxArrayElements: maxBodyElements,
		MaxMapPairs:      maxBodyElements,
	}.DecMode())
)

// Encode returns the CBOR form of a body or an error detail.
func Encode(v any) ([]byte, error) { return bodyEncoder.Marshal(v) }

// Decode reads a body or an error detail with limits on its size and nesting.
func Decode(data []byte, v any) error { return bodyDecoder.Unmarshal(data, v) }
