package policybench

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
)

// baseline places ranges by hashing alone:
//   - Without bound and hotKeys, range i belongs to member i mod n (static hashing).
//   - With bound, ranges are placed on a consistent hash ring so that no member has more
//     than bound times the mean load. Method: Mirrokni, Thorup, Zadimoghaddam, "Consistent
//     Hashing with Bounded Loads", SODA 2018.
//   - With hotKeys, ranges are placed on the ring with bounded counts of ranges, and each
//     heavy key goes to the less loaded of two members chosen by its hash. Method:
//     Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001.
type baseline struct {
	name    string
	bound   float64
	hotKeys bool
	rings   map[string]ring
}

// ring is the consistent hash ring of a service, cached until its members change.
type ring struct {
	members []cluster.Session
	points  []ringPoint
}

// rangesPerMember is the number of ranges for each member. The planner uses the same number
// in small services.
const rangesPerMember = 16

// pointsPerMember is the number of points of each member on the ring.
const pointsPerMember = 32

// rangeCountBound bounds the ranges of a member with hotKeys, as a multiple of the mean
// count.
const rangeCountBound = 1.05

// Name implements Policy.
func (b *baseline) Name() string { return b.name }

// Plan implements Policy.
func (b *baseline) Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry {
	load.Sync(state, now)
	load.Expire(now)
	fenced := map[cluster.Session]bool{}
	var entries []cluster.Entry
	for _, s := range losses.Fenced {
		fenced[s] = true
		entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberFenced, Session: s})
	}
	names := map[string]bool{}
	for _, m := range state.Members {
		names[m.Service] = true
	}
	services := make([]string, 0, len(names))
	for name := range names {
		services = append(services, name)
	}
	slices.Sort(services)
	for _, name := range services {
		entries = append(entries, b.planService(name, state, load, fenced, losses.FloorMS)...)
	}
	return entries
}

// activeMembers returns the members of service that can own units: those that are not
// fenced, do not drain and have a backend server.
func activeMembers(state *cluster.State, load *planner.LoadModel, service string, fenced map[cluster.Session]bool) []cluster.Member {
	return slices.DeleteFunc(state.MembersOf(service), func(m cluster.Member) bool {
		return fenced[m.Session] || m.State == cluster.MemberDraining || load.Down(m.Session)
	})
}

type heavyKey struct {
	hash uint64
	load float64
}

// heavyKeys returns the reported heavy keys of service, heaviest first.
func heavyKeys(load *planner.LoadModel, service string) []heavyKey {
	var out []heavyKey
	load.HeavyKeys(service, func(hash uint64, l float64) { out = append(out, heavyKey{hash, l}) })
	slices.SortFunc(out, func(a, b heavyKey) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.hash, b.hash))
	})
	return out
}

func (b *baseline) planService(name string, state *cluster.State, load *planner.LoadModel, fenced map[cluster.Session]bool, floor int64) []cluster.Entry {
	members := activeMembers(state, load, name, fenced)
	if len(members) == 0 {
		return nil
	}
	units, owners := b.units(name, state, len(members))
	var targets []int
	if b.bound == 0 && !b.hotKeys {
		targets = make([]int, len(units))
		for i := range targets {
			targets[i] = i % len(members)
		}
	} else {
		targets = b.placeOnRing(units, members, load)
	}
	var entries []cluster.Entry
	for i, u := range units {
		entries = appendMove(entries, u, owners[i], fenced, members[targets[i]].Session, floor)
	}
	if b.hotKeys && state.Services[name] != nil {
		entries = b.isolateHotKeys(entries, name, state, load, members, fenced, floor)
	}
	return entries
}

// units returns the ranges of a service with their owners, or equal ranges without owners
// if the service has none yet.
func (b *baseline) units(name string, state *cluster.State, members int) ([]cluster.Unit, []cluster.Ownership) {
	var units []cluster.Unit
	if svc := state.Services[name]; svc != nil {
		owners := make([]cluster.Ownership, len(svc.Ranges))
		for i, r := range svc.Ranges {
			units = append(units, cluster.Unit{Service: name, Start: r.Start})
			owners[i] = r.Ownership
		}
		return units, owners
	}
	count := uint64(members * rangesPerMember)
	for i := range count {
		units = append(units, cluster.Unit{Service: name, Start: i * (^uint64(0)/count + 1)})
	}
	return units, make([]cluster.Ownership, count)
}

// appendMove appends the entry that assigns u to session to, if u has no owner or a fenced
// one. Otherwise it appends the entry that begins a move to session to, unless that session
// owns u already or u is moving to a session that is not fenced.
func appendMove(entries []cluster.Entry, u cluster.Unit, o cluster.Ownership, fenced map[cluster.Session]bool, to cluster.Session, floor int64) []cluster.Entry {
	switch {
	case o.Owner.IsZero() || fenced[o.Owner]:
		return append(entries, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: u, Session: to, FloorMS: floor})
	case o.Owner == to || !o.MovingTo.IsZero() && !fenced[o.MovingTo]:
		return entries
	default:
		return append(entries, cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u, Session: to})
	}
}

func hashOf(text string, n uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(text), n))
}

type ringPoint struct {
	hash   uint64
	member int
}

func (b *baseline) ring(members []cluster.Member) []ringPoint {
	sessions := make([]cluster.Session, len(members))
	for i, m := range members {
		sessions[i] = m.Session
	}
	service := members[0].Service
	if r, ok := b.rings[service]; ok && slices.Equal(r.members, sessions) {
		return r.points
	}
	points := make([]ringPoint, 0, len(members)*pointsPerMember)
	for i, m := range members {
		for replica := range uint64(pointsPerMember) {
			points = append(points, ringPoint{hashOf(m.Session.Instance, replica), i})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	if b.rings == nil {
		b.rings = map[string]ring{}
	}
	b.rings[service] = ring{members: sessions, points: points}
	return points
}

// placeOnRing returns the index of the member for each unit. Each unit goes to the first
// member at or after its hash on the ring whose load stays within the bound or that has no
// unit yet. Units are placed in a fixed order, so that a change of load moves few of them.
func (b *baseline) placeOnRing(units []cluster.Unit, members []cluster.Member, load *planner.LoadModel) []int {
	points := b.ring(members)
	loads, total := make([]float64, len(units)), 0.0
	for i, u := range units {
		loads[i] = 1
		if !b.hotKeys {
			loads[i] = load.UnitLoad(u)
		}
		total += loads[i]
	}
	bound := b.bound
	if b.hotKeys {
		bound = rangeCountBound
	}
	if total == 0 {
		for i := range loads {
			loads[i] = 1
		}
		total = float64(len(units))
	}
	limit := bound * total / float64(len(members))
	placed, targets := make([]float64, len(members)), make([]int, len(units))
	for i, u := range units {
		hash := hashOf(u.Service, u.Start)
		at := sort.Search(len(points), func(p int) bool { return points[p].hash >= hash })
		targets[i] = points[at%len(points)].member
		for p := range points {
			m := points[(at+p)%len(points)].member
			if placed[m]+loads[i] <= limit || placed[m] == 0 {
				targets[i] = m
				break
			}
		}
		placed[targets[i]] += loads[i]
	}
	return targets
}

// minHotShare is the least load of a hot key, as a share of the mean member load.
const minHotShare = 0.06

// isolateHotKeys appends the entries that isolate new hot keys, and those that place the
// hot keys whose owner is not active.
func (b *baseline) isolateHotKeys(entries []cluster.Entry, name string, state *cluster.State, load *planner.LoadModel, members []cluster.Member, fenced map[cluster.Session]bool, floor int64) []cluster.Entry {
	svc := state.Services[name]
	loads, mean := make([]float64, len(members)), 0.0
	indexOf := map[cluster.Session]int{}
	for i, m := range members {
		indexOf[m.Session] = i
		loads[i] = load.MemberLoad(m.Session)
		mean += loads[i] / float64(len(members))
	}
	choose := func(hash uint64) int {
		x := int(hashOf("first", hash) % uint64(len(members)))
		y := int(hashOf("second", hash) % uint64(len(members)))
		if loads[y] < loads[x] {
			return y
		}
		return x
	}
	for _, h := range svc.HotKeys {
		if _, ok := indexOf[h.Owner]; ok {
			continue
		}
		unit := cluster.Unit{Service: name, Start: h.Hash, Hot: true}
		entries = appendMove(entries, unit, h.Ownership, fenced, members[choose(h.Hash)].Session, floor)
	}
	for _, k := range heavyKeys(load, name) {
		o, unit := state.Owner(name, k.hash)
		from, ok := indexOf[o.Owner]
		if k.load < minHotShare*mean || unit.Hot || !ok || !o.MovingTo.IsZero() || slices.ContainsFunc(entries, func(e cluster.Entry) bool { return e.Unit == unit }) {
			continue
		}
		hot := cluster.Unit{Service: name, Start: k.hash, Hot: true}
		entries = append(entries, cluster.Entry{Kind: cluster.EntryHotKeyIsolated, Unit: hot})
		loads[from] -= k.load
		to := choose(k.hash)
		loads[to] += k.load
		if members[to].Session != o.Owner {
			entries = append(entries, cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: hot, Session: members[to].Session})
		}
	}
	return entries
}
