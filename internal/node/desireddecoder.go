package node

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/metastore"
)

// decodedDesiredState is what a row of the desired state holds.
type decodedDesiredState struct {
	row   metastore.Row
	table *httproute.Table
	err   error
	took  time.Duration
}

// desiredStateDecoder decodes rows of the desired state. One that comes in several ways at once is decoded
// once.
type desiredStateDecoder struct {
	protocol Protocol

	mu   sync.Mutex
	last *decodedDesiredState
}

func (d *desiredStateDecoder) decode(row metastore.Row) *decodedDesiredState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last != nil && d.last.row.Deleted == row.Deleted && bytes.Equal(d.last.row.Value, row.Value) {
		return d.last
	}
	started := time.Now()
	out := &decodedDesiredState{row: row}
	out.table, out.err = d.tableOf(row)
	out.took = time.Since(started)
	d.last = out
	return out
}

func (d *desiredStateDecoder) tableOf(row metastore.Row) (*httproute.Table, error) {
	if row.Deleted {
		return nil, fmt.Errorf("the desired state was deleted")
	}
	snapshot, err := d.protocol.DesiredState(row.Value)
	if err != nil {
		return nil, err
	}
	return httproute.NewTable(snapshot)
}
