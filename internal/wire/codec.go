package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on decoded messages; they bound the memory that a malformed message can take.
const (
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 16
	maxNesting       = 16
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode encodes v as CBOR.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode decodes one message of type T.
func Decode[T any](body []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(body, &v); err != nil {
		return v, fmt.Errorf("malformed %T: %w", v, err)
	}
	return v, nil
}
