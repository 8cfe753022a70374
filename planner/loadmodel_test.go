package planner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/cluster"
)

// newTestCluster returns a state with n members spread over zones, after the first plan.
func newTestCluster(n, zones int) (*cluster.State, *LoadModel) {
	state, load := cluster.NewState(), NewLoadModel(DefaultLoadConfig(n))
	var joins []cluster.Entry
	for i := range n {
		joins = append(joins, cluster.Entry{Kind: cluster.EntryMemberJoined, Member: newMember(i, zones)})
	}
	mustApply(state, joins)
	mustApply(state, Plan(state, load, DefaultConfig(), Losses{}, start))
	load.Sync(state, start)
	return state, load
}

func newMember(i, zones int) *cluster.Member {
	return &cluster.Member{
		Session: cluster.Session{Instance: string(rune('a' + i)), Incarnation: 1},
		Service: "booking", Slots: 8, Zone: "r/" + string(rune('a'+i%zones)),
	}
}

func mustApply(state *cluster.State, entries []cluster.Entry) {
	if len(entries) == 0 {
		return
	}
	if err := state.Apply(state.Version+1, entries); err != nil {
		panic(err)
	}
}

// reportAll observes a report of each member in which each unit has the load that milli
// returns. If edit is not nil, it may change the report.
func reportAll(state *cluster.State, load *LoadModel, at time.Time, milli func(cluster.Unit) uint32, edit func(cluster.Session, *Report)) {
	for _, m := range state.SortedMembers() {
		r := Report{Version: state.Version}
		for _, u := range state.UnitsOf(m.Session) {
			r.Units = append(r.Units, milli(u))
		}
		if edit != nil {
			edit(m.Session, &r)
		}
		load.Observe(m.Session, r, at)
	}
}

func evenLoad(cluster.Unit) uint32 { return 200 }

// Guards against a server that fails fast or freezes and therefore looks idle: its estimate
// must not fall and it must not get units.
func TestFailingAndFrozenServersGetNoUnits(t *testing.T) {
	faults := map[string]func(r *Report){
		"fast errors": func(r *Report) { r.ErrorPercent = 60; clear(r.Units) },
		"frozen":      func(r *Report) { r.Occupied = 8; clear(r.Units) },
	}
	for name, fault := range faults {
		g := NewWithT(t)
		state, load := newTestCluster(4, 2)
		at, faulty := start, newMember(0, 2).Session
		for i := range 120 {
			at = at.Add(time.Second)
			reportAll(state, load, at, evenLoad, func(s cluster.Session, r *Report) {
				if s == faulty && i > 20 {
					fault(r)
				}
			})
			mustApply(state, Plan(state, load, DefaultConfig(), Losses{}, at))
			load.Sync(state, at)
		}
		g.Expect(load.MemberLoad(faulty)).To(BeNumerically("~", 16*0.2, 0.05), name)
		g.Expect(load.Eligible(faulty, at)).To(BeFalse(), name)
		g.Expect(state.UnitsOf(faulty)).To(HaveLen(16), name)
	}
}

// Guards against a misleading load endpoint: the claimed load must not change the estimate.
func TestClaimedLoadDoesNotChangeEstimate(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(2, 2)
	claiming := newMember(0, 2).Session
	reportAll(state, load, start.Add(time.Second), evenLoad, func(s cluster.Session, r *Report) { r.ClaimedLoad = 1 })
	claimed, measured := load.Claim(claiming)
	g.Expect(claimed).To(Equal(0.001))
	g.Expect(measured).To(BeNumerically("~", 3.2, 0.001))
	g.Expect(load.MemberLoad(claiming)).To(BeNumerically("~", 3.2, 0.001))
}

// Guards against a silent member that looks idle or keeps its last load forever.
func TestStaleLoadDecaysToMean(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(4, 2)
	silent, at := newMember(0, 2).Session, start
	heavy := map[cluster.Unit]bool{}
	for _, u := range state.UnitsOf(silent) {
		heavy[u] = true
	}
	reportAll(state, load, at, func(u cluster.Unit) uint32 {
		if heavy[u] {
			return 400
		}
		return 200
	}, nil)
	g.Expect(load.Eligible(silent, at)).To(BeTrue())
	for range 600 {
		at = at.Add(time.Second)
		reportAll(state, load, at, evenLoad, func(s cluster.Session, r *Report) {
			if s == silent {
				r.Version = 0 // rejected as too old
			}
		})
		load.Expire(at)
	}
	g.Expect(load.Eligible(silent, at)).To(BeFalse())
	g.Expect(load.MemberLoad(silent)).To(BeNumerically("~", 3.2, 0.2))
}

// Guards against load that is lost or counted twice when ranges are split or merged and
// keys are isolated or cleared.
func TestSyncKeepsTheSumOfLoads(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(2, 1)
	reportAll(state, load, start, evenLoad, func(_ cluster.Session, r *Report) {
		r.Keys = []KeyLoad{{Unit: 0, Hash: state.Services["booking"].Ranges[0].Start + 5, Load: 150}}
	})
	sum := func() float64 {
		return load.MemberLoad(newMember(0, 1).Session) + load.MemberLoad(newMember(1, 1).Session)
	}
	before := sum()
	first := cluster.Unit{Service: "booking"}
	hot := cluster.Unit{Service: "booking", Start: 5, Hot: true}
	steps := [][]cluster.Entry{
		{{Kind: cluster.EntryRangeSplit, Unit: first, At: 1 << 20}},
		{{Kind: cluster.EntryHotKeyIsolated, Unit: hot}},
		{{Kind: cluster.EntryHotKeyCleared, Unit: hot}},
		{{Kind: cluster.EntryRangeMerged, Unit: cluster.Unit{Service: "booking", Start: 1 << 20}}},
	}
	for i, entries := range steps {
		mustApply(state, entries)
		load.Sync(state, start)
		g.Expect(sum()).To(BeNumerically("~", before, 0.001), "step %d", i)
	}
	g.Expect(load.UnitLoad(first)).To(BeNumerically("~", 0.2, 0.001))
}
