package daemon

import (
	"sync/atomic"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/feed"
)

// clusterApplier applies feed records to the cluster state. A published state is never
// changed, so readers in other goroutines need no lock.
type clusterApplier struct {
	state atomic.Pointer[cluster.State]
}

func newClusterApplier() *clusterApplier {
	a := &clusterApplier{}
	a.state.Store(cluster.NewState())
	return a
}

// ApplyRecord implements feed.Applier.
func (a *clusterApplier) ApplyRecord(version uint64, body []byte) error {
	entries, err := cluster.DecodeEntries(body)
	if err != nil {
		return err
	}
	next, err := a.state.Load().Next(version, entries)
	if err != nil {
		return err
	}
	a.state.Store(next)
	return nil
}

// RestoreSnapshot implements feed.Applier.
func (a *clusterApplier) RestoreSnapshot(s feed.Snapshot) error {
	state, err := cluster.DecodeState(s.Body)
	if err != nil {
		return err
	}
	a.state.Store(state)
	return nil
}

// TakeSnapshot implements feed.Applier.
func (a *clusterApplier) TakeSnapshot() (feed.Snapshot, error) {
	state := a.state.Load()
	body, err := state.Encode()
	return feed.Snapshot{Version: state.Version, Body: body}, err
}

// catalogueApplier applies feed records to the catalogue. A published state is never
// changed.
type catalogueApplier struct {
	state atomic.Pointer[catalogue.State]
}

func newCatalogueApplier() *catalogueApplier {
	a := &catalogueApplier{}
	a.state.Store(catalogue.NewState())
	return a
}

// ApplyRecord implements feed.Applier.
func (a *catalogueApplier) ApplyRecord(version uint64, body []byte) error {
	change, err := catalogue.DecodeChange(body)
	if err != nil {
		return err
	}
	next := a.state.Load().Clone()
	if err := next.Apply(version, change); err != nil {
		return err
	}
	a.state.Store(next)
	return nil
}

// RestoreSnapshot implements feed.Applier.
func (a *catalogueApplier) RestoreSnapshot(s feed.Snapshot) error {
	state, err := catalogue.DecodeState(s.Body)
	if err != nil {
		return err
	}
	a.state.Store(state)
	return nil
}

// TakeSnapshot implements feed.Applier.
func (a *catalogueApplier) TakeSnapshot() (feed.Snapshot, error) {
	state := a.state.Load()
	body, err := state.Encode()
	return feed.Snapshot{Version: state.Version(), Body: body}, err
}
