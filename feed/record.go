// Package feed keeps an ordered log of changes in the platform's table and copies
// of it in daemons.
//
// A feed has a topic, a head row with the latest version and one log row a version.
// A Writer appends by compare-and-set on the head. A Replica is the pure state of a
// reader: it accepts records in version order only, so a version never goes back.
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
	// Token is chosen at random by the writer, so that it can recognise its own
	// record after a lost answer.
	Token uuid.UUID `cbor:"2,keyasint"`
	Body  []byte    `cbor:"3,keyasint"`
}

// Snapshot is the state of a feed's reader at a version.
type Snapshot struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// HeadKey returns the key of the topic's head row.
func HeadKey(topic string) string { return "feed/" + topic + "/head" }

// LogPrefix returns the prefix of the topic's log rows.
func LogPrefix(topic string) string { return "feed/" + topic + "/log/" }

// LogKey returns the key of the log row of a version. Keys sort by version.
func LogKey(topic string, version uint64) string {
	return fmt.Sprintf("%s%020d", LogPrefix(topic), version)
}

// snapshotSlots is the number of snapshots kept of a topic. Several are kept, because a
// reader may be reading the one before the latest.
const snapshotSlots = 4

// snapshotPrefix returns the prefix of the topic's snapshots in the object store.
func snapshotPrefix(topic string) string { return "snapshot/" + topic + "/" }

// snapshotName returns the name of the object in a slot.
func snapshotName(topic string, slot uint64) string {
	return fmt.Sprintf("%s%d", snapshotPrefix(topic), slot)
}

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
