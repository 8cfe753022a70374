package evacuation

import (
	"maps"
	"slices"
)

// Set is what is known of the rows with which operators evacuate zones. Sets of different nodes
// merge to the same result in any order: of each zone, what was true at the newest version of the store
// wins. A removed row therefore wins over an older one also where both were missed, as long as the
// store was read after the removal. Versions of a later generation of the store are greater. Set is
// immutable; the zero value knows nothing.
type Set struct {
	// through is the version up to which all rows are known.
	through uint64
	// entries are the zones with a row, and those whose row was removed after through.
	entries map[string]entry
}

// entry is what is known of one zone.
type entry struct {
	// asOf is the version of the store at which it was so.
	asOf uint64
	// version is that of the row; 0 if there was none.
	version uint64
}

// Listed returns what a listing of all rows at a version of the store tells. rows are the versions
// of the rows by zone.
func Listed(through uint64, rows map[string]uint64) Set {
	s := Set{through: through, entries: map[string]entry{}}
	for zone, version := range rows {
		s.entries[zone] = entry{asOf: max(version, through), version: version}
	}
	return s
}

// Row returns what one row tells that was written or, if removed, removed at a version.
func Row(zone string, version uint64, removed bool) Set {
	e := entry{asOf: version, version: version}
	if removed {
		e.version = 0
	}
	return Set{entries: map[string]entry{zone: e}}
}

// Known reports whether all rows are known up to some version.
func (s Set) Known() bool { return s.through > 0 }

// IsEmpty reports whether no row is known, nor the removal of one that others may still know.
func (s Set) IsEmpty() bool { return len(s.entries) == 0 }

// at returns what is known of a zone.
func (s Set) at(zone string) entry {
	e := s.entries[zone]
	e.asOf = max(e.asOf, s.through)
	return e
}

// Merge returns the newer of what both sets know.
func (s Set) Merge(other Set) Set {
	out := Set{through: max(s.through, other.through), entries: map[string]entry{}}
	for _, zone := range slices.Concat(slices.Collect(maps.Keys(s.entries)), slices.Collect(maps.Keys(other.entries))) {
		e := s.at(zone)
		if theirs := other.at(zone); theirs.asOf > e.asOf || theirs.asOf == e.asOf && theirs.version > e.version {
			e = theirs
		}
		if e.version > 0 || e.asOf > out.through {
			out.entries[zone] = e
		}
	}
	return out
}

// ReadThrough returns the set after a read of all changes up to a version, which are in the set.
func (s Set) ReadThrough(version uint64) Set {
	out := Set{through: max(s.through, version), entries: map[string]entry{}}
	for zone, e := range s.entries {
		if e.version > 0 || e.asOf > out.through {
			out.entries[zone] = entry{asOf: max(e.asOf, out.through), version: e.version}
		}
	}
	return out
}

// Evacuated returns the version of the row of each evacuated zone.
func (s Set) Evacuated() map[string]uint64 {
	out := map[string]uint64{}
	for zone, e := range s.entries {
		if e.version > 0 {
			out[zone] = e.version
		}
	}
	return out
}

// RowState is what is known of the row of one zone.
type RowState struct {
	// Version is that of the row or, if Removed, one at which it was known not to exist.
	Version uint64
	Removed bool
}

// Rows returns the rows that are known, and those whose removal others may not know from Through.
func (s Set) Rows() map[string]RowState {
	out := map[string]RowState{}
	for zone, e := range s.entries {
		if e.version > 0 {
			out[zone] = RowState{Version: e.version}
		} else {
			out[zone] = RowState{Version: e.asOf, Removed: true}
		}
	}
	return out
}

// Agrees reports whether both sets have the same zones evacuated by the same rows.
func (s Set) Agrees(other Set) bool { return maps.Equal(s.Evacuated(), other.Evacuated()) }

// AsOf returns the version of the store at which the state of a zone was last known.
func (s Set) AsOf(zone string) uint64 { return s.at(zone).asOf }

// Through returns the version up to which all rows are known.
func (s Set) Through() uint64 { return s.through }
