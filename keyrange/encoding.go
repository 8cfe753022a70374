package keyrange

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encodedTable is the encoding of a Table in the store and between nodes. Owners are listed
// once and referred to by index, because their names are most of the bytes of a table with
// many ranges.
type encodedTable struct {
	NextFence uint64         `cbor:"1,keyasint"`
	Owners    []Owner        `cbor:"3,keyasint"`
	Ranges    []encodedRange `cbor:"4,keyasint"`
	// Generation and Base are those of Table; Unconfirmed lists the indexes of the ranges that
	// are not confirmed.
	Generation  uint64 `cbor:"5,keyasint,omitempty"`
	Base        uint64 `cbor:"6,keyasint,omitempty"`
	Unconfirmed []int  `cbor:"7,keyasint,omitempty"`
}

// encodedRange is a range that begins after the end of the previous one.
type encodedRange struct {
	_     struct{} `cbor:",toarray"`
	To    uint16
	Fence uint64
	// Owner and Next are indexes into encodedTable.Owners, counted from 1; 0 means none.
	Owner, Next int
	Handover    string
}

// Encode returns the encoding that Decode reads.
func (t *Table) Encode() ([]byte, error) {
	out := encodedTable{NextFence: t.NextFence, Ranges: make([]encodedRange, 0, len(t.Ranges)), Generation: t.Generation, Base: t.Base}
	indexes := map[Owner]int{{}: 0}
	indexOf := func(o Owner) int {
		index, known := indexes[o]
		if !known {
			out.Owners = append(out.Owners, o)
			index = len(out.Owners)
			indexes[o] = index
		}
		return index
	}
	for i, r := range t.Ranges {
		if !r.Confirmed {
			out.Unconfirmed = append(out.Unconfirmed, i)
		}
		out.Ranges = append(out.Ranges, encodedRange{To: r.To, Fence: r.Fence, Owner: indexOf(r.Owner), Next: indexOf(r.Next), Handover: r.Handover})
	}
	return cbor.Marshal(out)
}

// Decode decodes a table and checks that its ranges cover span.
func Decode(data []byte, span Span) (*Table, error) {
	var in encodedTable
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("key table: %w", err)
	}
	t := &Table{NextFence: in.NextFence, Ranges: make([]Range, 0, len(in.Ranges)), Generation: in.Generation, Base: in.Base}
	owners := append([]Owner{{}}, in.Owners...)
	nextKey := int(span.From)
	for _, r := range in.Ranges {
		if int(r.To) < nextKey || r.Fence >= t.NextFence {
			return nil, fmt.Errorf("key table: invalid range %d to %d with fence %d", nextKey, r.To, r.Fence)
		}
		if r.Owner < 0 || r.Owner >= len(owners) || r.Next < 0 || r.Next >= len(owners) {
			return nil, fmt.Errorf("key table: range %d to %d refers to an unknown owner", nextKey, r.To)
		}
		t.Ranges = append(t.Ranges, Range{
			Span: Span{From: uint16(nextKey), To: r.To}, Owner: owners[r.Owner], Fence: r.Fence, Handover: r.Handover, Next: owners[r.Next], Confirmed: true,
		})
		nextKey = int(r.To) + 1
	}
	for _, i := range in.Unconfirmed {
		if i < 0 || i >= len(t.Ranges) {
			return nil, fmt.Errorf("key table: unconfirmed range %d of %d", i, len(t.Ranges))
		}
		t.Ranges[i].Confirmed = false
	}
	if nextKey != int(span.To)+1 {
		return nil, fmt.Errorf("key table: last range ends at key %d", nextKey-1)
	}
	return t, nil
}
