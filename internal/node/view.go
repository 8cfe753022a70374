package node

import (
	"cmp"
	"maps"
	"slices"

	"github.com/basilway/basilway/evacuation"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/quarantine"
)

// View is what a node knows about the cluster. It is immutable.
type View struct {
	// Routes is nil until a desired state has been read.
	Routes *httproute.Table
	// Members is keyed by instance.
	Members map[string]Member
	// Keys is keyed by service; a service without a first assignment is missing.
	Keys map[string]KeySpace
	// Planner names the instance that has the planner role; its Instance is empty if none has.
	Planner PlannerRow
	// Evacuated are the evacuated availability zones.
	Evacuated evacuation.Zones
	// EvacuationsKnown is set once the operators' rows have been read, here or by another node.
	EvacuationsKnown bool
	// Listed is true once the cluster's rows have been listed.
	Listed bool

	// unreadableMembers are the versions of member rows that cannot be decoded, by instance. What the rows held
	// before stays in effect.
	unreadableMembers map[string]uint64

	// strikes is only appended to: backend.mergedStrikes is an index into it.
	strikes []quarantine.Record
}

// KeySpace is a key space with the versions of its rows.
type KeySpace struct {
	*keyrange.Space
	Versions [keyrange.Buckets]uint64
	// Contents identify the contents of the tables: the versions at which they were written,
	// in the generations in which they were. They differ from Versions for what was written
	// before the store went back.
	Contents [keyrange.Buckets]uint64
	// unreadable are the buckets whose rows cannot be decoded. What they held before stays in effect.
	unreadable [keyrange.Buckets]bool
}

// unreadableBuckets returns the buckets whose rows are to be written again.
func (s *KeySpace) unreadableBuckets() []int {
	var out []int
	for bucket, unreadable := range s.unreadable {
		if unreadable {
			out = append(out, bucket)
		}
	}
	return out
}

// isUnreadableFor reports whether a row that cannot be decoded held keys of owner.
func (s *KeySpace) isUnreadableFor(owner keyrange.Owner) bool {
	return slices.ContainsFunc(s.unreadableBuckets(), func(bucket int) bool {
		return slices.ContainsFunc(s.Table(bucket).Ranges, func(r keyrange.Range) bool { return r.Owner == owner })
	})
}

// PlannerRow is the row that names the planner.
type PlannerRow struct {
	Instance string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"-"`
}

// clone returns a copy whose maps can be changed.
func (v *View) clone() *View {
	out := *v
	out.Members, out.unreadableMembers = map[string]Member{}, maps.Clone(v.unreadableMembers)
	for k, m := range v.Members {
		out.Members[k] = m
	}
	out.Keys = map[string]KeySpace{}
	for k, t := range v.Keys {
		out.Keys[k] = t
	}
	return &out
}

// ServiceMembers returns the members of a service, sorted by instance.
func (v *View) ServiceMembers(service string) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Service == service {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Owner.Instance, b.Owner.Instance) })
	return out
}

// serviceOf returns the service with key ownership that an instance serves or owns keys of, or ""
// if there is none.
func (v *View) serviceOf(instance string) string {
	if m, ok := v.Members[instance]; ok {
		if _, sharded := v.Keys[m.Service]; sharded {
			return m.Service
		}
	}
	for service, space := range v.Keys {
		if slices.ContainsFunc(space.Owners(), func(o keyrange.Owner) bool { return o.Instance == instance }) {
			return service
		}
	}
	return ""
}
