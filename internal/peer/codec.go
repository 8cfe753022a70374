package peer

import "github.com/fxamacker/cbor/v2"

const (
	// maxBodyElements bounds the arrays and maps in a body; the largest are in feed snapshots.
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

// Encode encodes a body or an error detail as CBOR.
func Encode(v any) ([]byte, error) { return bodyEncoder.Marshal(v) }

// Decode decodes a body or an error detail, with limits on its size and nesting.
func Decode(data []byte, v any) error { return bodyDecoder.Unmarshal(data, v) }
