// Package feed keeps an ordered log of changes in the platform's table and replicates it
// to the daemons.
//
// A feed has a topic, a head row with the latest version and one log row per version.
// A Writer appends by compare-and-set on the head row. A Replica holds the state of a
// reader and does no I/O. It applies records in version order only, so its version never
// goes back.
package feed

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// The topics that basilway uses.
const (
	TopicCluster   = "cluster"
	TopicCatalogue = "catalogue"
)

// Record is one version of a feed.
type Record struct {
	Version uint64 `cbor:"1,keyasint"`
	// Token is a random value by which the writer recognises its own record when the
	// response to its commit was lost.
	Token uuid.UUID `cbor:"2,keyasint"`
	Body  []byte    `cbor:"3,keyasint"`
}

// Snapshot is the encoded state of a feed's reader at a version.
type Snapshot struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// HeadKey returns the key of the topic's head row.
func HeadKey(topic string) string { return "feed/" + topic + "/head" }

// LogPrefix returns the prefix of the topic's log rows.
func LogPrefix(topic string) string { return "feed/" + topic + "/log/" }

// LogKey returns the key of the topic's log row for version. Keys sort by version.
func LogKey(topic string, version uint64) string {
	return fmt.Sprintf("%s%020d", LogPrefix(topic), version)
}

// snapshotSlots is the number of snapshots kept per topic. More than one is kept because a
// reader may still be reading an older one when the next is written.
const snapshotSlots = 4

// snapshotPrefix returns the prefix of the topic's snapshots in the object store.
func snapshotPrefix(topic string) string { return "snapshot/" + topic + "/" }

// snapshotName returns the name of the object that holds the topic's snapshot in slot.
func snapshotName(topic string, slot uint64) string {
	return fmt.Sprintf("%s%d", snapshotPrefix(topic), slot)
}

// head is the value of a head row.
type head struct {
	Version uint64 `cbor:"1,keyasint"`
}

func encodeHead(version uint64) ([]byte, error) { return cbor.Marshal(head{Version: version}) }

func decodeHead(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	var h head
	if err := cbor.Unmarshal(value, &h); err != nil {
		return 0, fmt.Errorf("feed head: %w", err)
	}
	return h.Version, nil
}

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("feed record: %w", err)
	}
	return r, nil
}
