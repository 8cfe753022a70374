package node

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

const (
	// maxBatchBytes bounds the rows in a message to another node, in bytes, unless there is only one.
	maxBatchBytes = 32 << 10
	// maxWantedRows bounds the rows that a message asks for.
	maxWantedRows = 500
	// rowOverhead is about the size in bytes of an encoded row without its key and its value.
	rowOverhead = 48
)

// batchRows divides rows into batches for one message each, in order.
func batchRows(rows []metastore.Row) [][]metastore.Row {
	var out [][]metastore.Row
	start, size := 0, 0
	for i, row := range rows {
		rowSize := len(row.Key) + len(row.Value) + rowOverhead
		if i > start && size+rowSize > maxBatchBytes {
			out = append(out, rows[start:i])
			start, size = i, 0
		}
		size += rowSize
	}
	if start < len(rows) {
		out = append(out, rows[start:])
	}
	return out
}

// firstBatch returns the rows that fit into one message.
func firstBatch(rows []metastore.Row) []metastore.Row {
	if batches := batchRows(rows); len(batches) > 0 {
		return batches[0]
	}
	return nil
}

// exchangeRows sends the rows with the given keys to another node and gets those that are wanted, in as many
// messages as that takes.
func (g *rowGossip) exchangeRows(ctx context.Context, address string, newer, wanted []string) error {
	batches, leftOut := batchRows(g.node.views.rowsOf(newer)), g.node.views.leftOutOf(newer)
	for len(batches) > 0 || len(wanted) > 0 || len(leftOut) > 0 {
		message := rowsMessage{Want: wanted[:min(len(wanted), maxWantedRows)], LeftOut: leftOut, Source: membership.FromComparison}
		leftOut = nil
		if len(batches) > 0 {
			message.Rows, batches = batches[0], batches[1:]
		}
		body, err := cbor.Marshal(message)
		if err != nil {
			return err
		}
		data, err := g.node.post(ctx, address, rowsPath, peerMessageTimeout, body)
		if err != nil {
			return err
		}
		var got rowsMessage
		if err := cbor.Unmarshal(data, &got); err != nil {
			return fmt.Errorf("decode rows: %w", err)
		}
		g.node.views.applyFromPeer(membership.FromComparison, got.Rows...)
		g.node.views.applyFromPeer(membership.FromComparison, g.node.views.ownVersions(got.LeftOut)...)
		wanted = stillWanted(wanted, len(message.Want), got.Rows)
	}
	return nil
}

// stillWanted returns the wanted keys without those of the rows that a message got, which asked for the
// first ones. Rows are in the order of the wanted keys. The other node doesn't send those before the last
// one that it sent, and none if it sent nothing.
func stillWanted(wanted []string, asked int, got []metastore.Row) []string {
	if len(got) == 0 {
		return wanted[asked:]
	}
	last := got[len(got)-1].Key
	for i, key := range wanted[:asked] {
		if key == last {
			return wanted[i+1:]
		}
	}
	return wanted[asked:]
}
