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

// baseline places ranges by hashing alone. Without bound and hotKeys, range i belongs to
// member i mod n (static hashing). With bound, ranges are placed on a ring of members
// such that no member is over bound times the mean load (method: Mirrokni, Thorup,
// Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018). With hotKeys,
// ranges are placed on the ring with bounded counts and each heavy key goes to the less
// loaded of two members chosen by its hash (method: Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", IEEE TPDS 2001).
type baseline struct {
	name    string
	bound   float64
	hotKeys bool
	rings   map[string]ring
}

// ring is the ring of a service's members, kept until they change.
type ring struct {
	members []cluster.Session
	points  []point
}

// rangesPerMember equals that of the chosen policy in small services.
const rangesPerMember = 16

// pointsPerMember is the number of a member's points on the ring.
const pointsPerMember = 32

// countBound is the bound on counts of ranges with hotKeys.
const countBound = 1.05

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
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		entries = append(entries, b.place(name, state, load, fenced, losses.FloorMS)...)
	}
	return entries
}

// activeMembers returns the members of service that are neither fenced nor draining nor
// without a backend server.
func activeMembers(state *cluster.State, load *planner.LoadModel, service string, fenced map[cluster.Session]bool) []cluster.Member {
	return slices.DeleteFunc(state.MembersOf(service), func(m cluster.Member) bool {
		return fenced[m.Session] || m.State == cluster.MemberDraining || load.Down(m.Session)
	})
}

type heavyKey struct {
	hash uint64
	load float64
}

// heavyKeys returns the reported keys of service, heaviest first.
func heavyKeys(load *planner.LoadModel, service string) []heavyKey {
	var out []heavyKey
	load.HeavyKeys(service, func(hash uint64, l float64) { out = append(out, heavyKey{hash, l}) })
	slices.SortFunc(out, func(a, b heavyKey) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.hash, b.hash))
	})
	return out
}

func (b *baseline) place(name string, state *cluster.State, load *planner.LoadModel, fenced map[cluster.Session]bool, floor int64) []cluster.Entry {
	members := activeMembers(state, load, name, fenced)
	if len(members) == 0 {
		return nil
	}
	units, owners := b.units(name, state, len(members))
	var wanted []int
	if b.bound == 0 && !b.hotKeys {
		wanted = make([]int, len(units))
		for i := range wanted {
			wanted[i] = i % len(members)
		}
	} else {
		wanted = b.onRing(units, members, load)
	}
	var entries []cluster.Entry
	for i, u := range units {
		entries = change(entries, u, owners[i], fenced, members[wanted[i]].Session, floor)
	}
	if b.hotKeys && state.Services[name] != nil {
		entries = b.placeHot(entries, name, state, load, members, fenced, floor)
	}
	return entries
}

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

// change appends the entry that brings u to session, if it has another owner.
func change(entries []cluster.Entry, u cluster.Unit, o cluster.Ownership, fenced map[cluster.Session]bool, to cluster.Session, floor int64) []cluster.Entry {
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

type point struct {
	hash   uint64
	member int
}

func (b *baseline) ring(members []cluster.Member) []point {
	sessions := make([]cluster.Session, len(members))
	for i, m := range members {
		sessions[i] = m.Session
	}
	service := members[0].Service
	if r, ok := b.rings[service]; ok && slices.Equal(r.members, sessions) {
		return r.points
	}
	points := make([]point, 0, len(members)*pointsPerMember)
	for i, m := range members {
		for p := range uint64(pointsPerMember) {
			points = append(points, point{hashOf(m.Session.Instance, p), i})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	if b.rings == nil {
		b.rings = map[string]ring{}
	}
	b.rings[service] = ring{members: sessions, points: points}
	return points
}

// onRing returns the member of each unit. Units are placed in the order of their hashes,
// so that a change of load moves few of them.
func (b *baseline) onRing(units []cluster.Unit, members []cluster.Member, load *planner.LoadModel) []int {
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
		bound = countBound
	}
	if total == 0 {
		for i := range loads {
			loads[i] = 1
		}
		total = float64(len(units))
	}
	limit := bound * total / float64(len(members))
	used, wanted := make([]float64, len(members)), make([]int, len(units))
	for i, u := range units {
		hash := hashOf(u.Service, u.Start)
		at := sort.Search(len(points), func(p int) bool { return points[p].hash >= hash })
		wanted[i] = points[at%len(points)].member
		for p := range points {
			m := points[(at+p)%len(points)].member
			if used[m]+loads[i] <= limit || used[m] == 0 {
				wanted[i] = m
				break
			}
		}
		used[wanted[i]] += loads[i]
	}
	return wanted
}

// hotShare is the least load of a hot key as a share of a mean member.
const hotShare = 0.06

func (b *baseline) placeHot(entries []cluster.Entry, name string, state *cluster.State, load *planner.LoadModel, members []cluster.Member, fenced map[cluster.Session]bool, floor int64) []cluster.Entry {
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
		entries = change(entries, unit, h.Ownership, fenced, members[choose(h.Hash)].Session, floor)
	}
	for _, k := range heavyKeys(load, name) {
		o, unit := state.Owner(name, k.hash)
		from, ok := indexOf[o.Owner]
		if k.load < hotShare*mean || unit.Hot || !ok || !o.MovingTo.IsZero() || slices.ContainsFunc(entries, func(e cluster.Entry) bool { return e.Unit == unit }) {
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
