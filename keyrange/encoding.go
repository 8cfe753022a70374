package keyrange

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encodedTable is a Table in the store and between nodes. Owners are named once, because
// their names are most of the bytes of a table with many ranges.
type encodedTable struct {
	NextFence uint64         `cbor:"1,keyasint"`
	Owners    []Owner        `cbor:"3,keyasint"`
	Ranges    []encodedRange `cbor:"4,keyasint"`
}

// encodedRange is a range that begins after the one before it.
type encodedRange struct {
	_     struct{} `cbor:",toarray"`
	To    uint16
	Fence uint64
	// Owner and Next are places in encodedTable.Owners, from 1; 0 is none.
	Owner, Next int
	Handover    string
}

// Encode returns the form that Decode reads.
func (t *Table) Encode() ([]byte, error) {
	out := encodedTable{NextFence: t.NextFence, Ranges: make([]encodedRange, 0, len(t.Ranges))}
	places := map[Owner]int{{}: 0}
	place := func(o Owner) int {
		at, known := places[o]
		if !known {
			out.Owners = append(out.Owners, o)
			at = len(out.Owners)
			places[o] = at
		}
		return at
	}
	for _, r := range t.Ranges {
		out.Ranges = append(out.Ranges, encodedRange{To: r.To, Fence: r.Fence, Owner: place(r.Owner), Next: place(r.Next), Handover: r.Handover})
	}
	return cbor.Marshal(out)
}

// Decode reads the encoded form and checks that it covers the span.
func Decode(data []byte, whole Span) (*Table, error) {
	var in encodedTable
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("key table: %w", err)
	}
	t := &Table{NextFence: in.NextFence, Ranges: make([]Range, 0, len(in.Ranges))}
	owners := append([]Owner{{}}, in.Owners...)
	next := int(whole.From)
	for _, r := range in.Ranges {
		if int(r.To) < next || r.Fence >= t.NextFence {
			return nil, fmt.Errorf("key table: bad range %d to %d with fence %d", next, r.To, r.Fence)
		}
		if r.Owner < 0 || r.Owner >= len(owners) || r.Next < 0 || r.Next >= len(owners) {
			return nil, fmt.Errorf("key table: range %d to %d names an unknown owner", next, r.To)
		}
		t.Ranges = append(t.Ranges, Range{
			Span: Span{From: uint16(next), To: r.To}, Owner: owners[r.Owner], Fence: r.Fence, Handover: r.Handover, Next: owners[r.Next],
		})
		next = int(r.To) + 1
	}
	if next != int(whole.To)+1 {
		return nil, fmt.Errorf("key table: ends at key %d", next-1)
	}
	return t, nil
}
