package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// view is the working copy of one service during a plan. It refers to members by index.
type view struct {
	name    string
	cfg     Config
	now     time.Time
	members []memberView
	indexOf map[cluster.Session]int
	ranges  []unitView
	hot     []unitView
	entries []cluster.Entry
	// total is the load in slots, slots the capacity of the staying members, and mean
	// total / slots.
	total, slots, mean float64
	slowMean           float64 // like mean, of the slow estimates
	knownShare         float64 // share of the hash space whose load was reported
	openMoves          int     // open moves away from staying members
	urgentMoves        int     // open moves away from leaving members
	hotCount           int
	fenced             map[cluster.Session]bool
	fencedZones        map[string]int // members fenced by this plan, by availability zone
	floorMS            int64
}

type memberView struct {
	member  cluster.Member
	serves  bool // its backend server is of this service
	leaving bool // draining, down, or not of this service
	// eligible members may get units. warmShare is the share of the mean load allowed to
	// the member; it is below 1 while the member warms up.
	eligible  bool
	warmShare float64
	load      float64 // once open moves are complete
	slow      float64 // like load, of the slow estimates
	units     []*unitView
	exhausted bool // no more units can be moved away in this plan
}

type unitView struct {
	id            cluster.Unit
	owner, target int // indices of members, or noMember
	epoch         uint64
	load, width   float64
	slow          float64
	keys          []keyView // heavy keys inside a range
}

type keyView struct {
	hash uint64
	load float64
	slow float64
}

const noMember = -1

// nextOwner returns the member that owns the unit once its open move is complete.
func (u *unitView) nextOwner() int {
	if u.target != noMember {
		return u.target
	}
	return u.owner
}

func (u *unitView) moving() bool { return u.target != noMember }

func (m *memberView) perSlot(slots float64) float64 { return slots / float64(max(1, m.member.Slots)) }

// util returns the load per slot.
func (m *memberView) util() float64 { return m.perSlot(m.load) }

func newView(name string, state *cluster.State, members []cluster.Member, load *LoadModel, cfg Config, losses Losses, now time.Time) *view {
	v := &view{name: name, cfg: cfg, now: now, indexOf: map[cluster.Session]int{}, fenced: map[cluster.Session]bool{}, fencedZones: map[string]int{}, floorMS: losses.FloorMS}
	for _, s := range losses.Fenced {
		v.fenced[s] = true
	}
	for _, m := range members {
		switch {
		case m.Service != name:
		case v.fenced[m.Session]:
			v.fencedZones[m.Zone]++
		default:
			v.addMember(m, load)
		}
	}
	svc := state.Services[name]
	if svc == nil {
		return v
	}
	v.hotCount = len(svc.HotKeys)
	loads := load.services[name]
	density := v.density(loads)
	v.ranges = make([]unitView, 0, len(svc.Ranges)+cfg.MaxSplits)
	for i, r := range svc.Ranges {
		u := unitView{id: cluster.Unit{Service: name, Start: r.Start}, width: svc.Width(i), load: loads.ranges[i].shown, slow: loads.ranges[i].slow}
		if loads.ranges[i].at.IsZero() {
			u.load, u.slow = density*u.width, density*u.width
		}
		v.setOwners(&u, r.Ownership, state, load)
		v.ranges = append(v.ranges, u)
	}
	v.hot = make([]unitView, 0, len(svc.HotKeys))
	for i, h := range svc.HotKeys {
		u := unitView{id: cluster.Unit{Service: name, Start: h.Hash, Hot: true}, load: loads.hot[i].shown, slow: loads.hot[i].slow}
		v.setOwners(&u, h.Ownership, state, load)
		v.hot = append(v.hot, u)
	}
	for hash, e := range loads.keys {
		if i := loads.rangeIndex(hash); i >= 0 {
			v.ranges[i].keys = append(v.ranges[i].keys, keyView{hash: hash, load: e.shown, slow: e.slow})
		}
	}
	for i := range v.ranges {
		slices.SortFunc(v.ranges[i].keys, func(a, b keyView) int { return cmp.Compare(a.hash, b.hash) })
	}
	v.updateTotals()
	return v
}

// density returns the load of the whole hash space, extrapolated from the reported ranges.
// It sets knownShare to the share of the hash space that they cover.
func (v *view) density(s *serviceLoad) float64 {
	sum := 0.0
	for i := range s.ranges {
		if !s.ranges[i].at.IsZero() {
			v.knownShare += s.ranges[i].width
			sum += s.ranges[i].shown
		}
	}
	if v.knownShare == 0 {
		return 0
	}
	return sum / v.knownShare
}

func (v *view) addMember(m cluster.Member, load *LoadModel) int {
	mv := memberView{member: m, serves: m.Service == v.name, warmShare: 1}
	mv.leaving = m.State == cluster.MemberDraining || load.Down(m.Session) || !mv.serves
	mv.eligible = !mv.leaving && load.Eligible(m.Session, v.now)
	if ml := load.members[m.Session]; ml != nil && !ml.firstSeen.IsZero() && v.cfg.WarmUp > 0 {
		age := v.now.Sub(ml.firstSeen).Seconds() / v.cfg.WarmUp.Seconds()
		mv.warmShare = min(1, v.cfg.WarmUpStart+(1-v.cfg.WarmUpStart)*max(0, age))
	}
	v.members = append(v.members, mv)
	v.indexOf[m.Session] = len(v.members) - 1
	return len(v.members) - 1
}

func (v *view) setOwners(u *unitView, o cluster.Ownership, state *cluster.State, load *LoadModel) {
	u.owner, u.target, u.epoch = noMember, noMember, o.Epoch
	if o.Owner.IsZero() || v.fenced[o.Owner] {
		return
	}
	u.owner = v.memberIndex(o.Owner, state, load)
	if !o.MovingTo.IsZero() && !v.fenced[o.MovingTo] {
		u.target = v.memberIndex(o.MovingTo, state, load)
	}
}

// memberIndex returns the index of session's member. A member that now serves another
// service but still owns units of this one is added as leaving.
func (v *view) memberIndex(session cluster.Session, state *cluster.State, load *LoadModel) int {
	if i, ok := v.indexOf[session]; ok {
		return i
	}
	return v.addMember(state.Members[session], load)
}

// updateTotals computes the totals and the members' loads and units from the units.
func (v *view) updateTotals() {
	v.total, v.slots, v.openMoves, v.urgentMoves = 0, 0, 0, 0
	for i := range v.members {
		m := &v.members[i]
		m.load, m.slow, m.units = 0, 0, m.units[:0]
		if m.serves && !m.leaving {
			v.slots += float64(max(1, m.member.Slots))
		}
	}
	slow := 0.0
	v.eachUnit(func(u *unitView) {
		v.total += u.load
		slow += u.slow
		if u.owner == noMember {
			return
		}
		if u.moving() && v.members[u.owner].leaving {
			v.urgentMoves++
		} else if u.moving() {
			v.openMoves++
		}
		next := &v.members[u.nextOwner()]
		next.load += u.load
		next.slow += u.slow
		next.units = append(next.units, u)
	})
	v.mean, v.slowMean = 0, 0
	if v.slots > 0 {
		v.mean, v.slowMean = v.total/v.slots, slow/v.slots
	}
}

func (v *view) eachUnit(f func(u *unitView)) {
	for i := range v.ranges {
		f(&v.ranges[i])
	}
	for i := range v.hot {
		f(&v.hot[i])
	}
}

func (v *view) emit(e cluster.Entry) { v.entries = append(v.entries, e) }

// stayingMembers returns the number of members that serve the service and are not leaving.
func (v *view) stayingMembers() int {
	n := 0
	for i := range v.members {
		if v.members[i].serves && !v.members[i].leaving {
			n++
		}
	}
	return n
}

// lightest returns, among the eligible members that accept allows, the one with the lowest
// load per slot relative to its warmShare, or noMember if there is none. A nil accept
// allows all. Of equal members, the first in the order of sessions is returned.
func (v *view) lightest(accept func(i int) bool) int {
	best, bestLoad := noMember, 0.0
	for i := range v.members {
		m := &v.members[i]
		if !m.eligible || accept != nil && !accept(i) {
			continue
		}
		if l := m.util() / m.warmShare; best == noMember || l < bestLoad {
			best, bestLoad = i, l
		}
	}
	return best
}

// beginMove opens a move of u, which must not be moving, to member target.
func (v *view) beginMove(u *unitView, target int) {
	v.emit(cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u.id, Session: v.members[target].member.Session})
	from, to := &v.members[u.owner], &v.members[target]
	if from.leaving {
		v.urgentMoves++
	} else {
		v.openMoves++
	}
	from.load -= u.load
	to.load += u.load
	from.slow -= u.slow
	to.slow += u.slow
	for i := range from.units {
		if from.units[i] == u {
			from.units = append(from.units[:i], from.units[i+1:]...)
			break
		}
	}
	to.units = append(to.units, u)
	u.target = target
}
