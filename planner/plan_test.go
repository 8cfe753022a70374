package planner

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilway/basilway/cluster"
)

// Guards against units that stay without an owner after a fence or get one in a later
// transaction. One plan must fence the member and assign its units, with the floor, to many
// members.
func TestFencedUnitsAreAssignedInTheSamePlan(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(12, 3)
	reportAll(state, load, start, evenLoad, nil)
	lost := newMember(2, 3).Session
	owned := state.UnitsOf(lost)
	entries := Plan(state, load, DefaultConfig(), Losses{Fenced: []cluster.Session{lost}, FloorMS: 77}, start)
	g.Expect(entries[0]).To(Equal(cluster.Entry{Kind: cluster.EntryMemberFenced, Session: lost}))
	g.Expect(state.Check(entries)).To(Succeed())
	mustApply(state, entries)
	owners := map[cluster.Session]bool{}
	for _, u := range owned {
		o, _ := state.Get(u)
		g.Expect(o.Owner.IsZero()).To(BeFalse())
		g.Expect(o.FloorMS).To(BeEquivalentTo(77))
		owners[o.Owner] = true
	}
	g.Expect(len(owners)).To(BeNumerically(">=", 8))
}

// Guards against requests that run twice: a unit that lost its owner in an earlier version
// gets a floor although the caller passes none.
func TestUnitsOrphanedEarlierGetAFloor(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(1, 1)
	mustApply(state, []cluster.Entry{{Kind: cluster.EntryMemberFenced, Session: newMember(0, 1).Session}})
	mustApply(state, []cluster.Entry{{Kind: cluster.EntryMemberJoined, Member: newMember(1, 1)}})
	mustApply(state, Plan(state, load, DefaultConfig(), Losses{}, start))
	o, _ := state.Owner("booking", 1)
	g.Expect(o.Owner).To(Equal(newMember(1, 1).Session))
	g.Expect(o.FloorMS).To(Equal(start.UnixMilli() + 400))
}

// Guards against units of a lost availability zone that go to the rest of the zone.
func TestLostZoneGetsNoUnits(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(12, 3)
	reportAll(state, load, start, evenLoad, nil)
	var lost []cluster.Session
	for _, i := range []int{0, 3, 6} { // three of the four members of zone a
		lost = append(lost, newMember(i, 3).Session)
	}
	remaining := newMember(9, 3).Session
	before := len(state.UnitsOf(remaining))
	mustApply(state, Plan(state, load, DefaultConfig(), Losses{Fenced: lost, FloorMS: 1}, start))
	g.Expect(state.UnitsOf(remaining)).To(HaveLen(before))
}

// Guards against moves away from draining members and crashed backend servers that wait for
// the limit on open moves.
func TestLeavingMembersAreEvacuatedAtOnce(t *testing.T) {
	for _, down := range []bool{false, true} {
		g := NewWithT(t)
		state, load := newTestCluster(8, 2)
		reportAll(state, load, start, evenLoad, nil)
		leaving := newMember(0, 2).Session
		if down {
			load.SetDown(leaving, true)
		} else {
			mustApply(state, []cluster.Entry{{Kind: cluster.EntryMemberDraining, Session: leaving}})
		}
		mustApply(state, Plan(state, load, DefaultConfig(), Losses{}, start))
		for _, u := range state.UnitsOf(leaving) {
			o, _ := state.Get(u)
			g.Expect(o.MovingTo.IsZero()).To(BeFalse())
		}
	}
}

// Guards against a new member that gets its full share while its backend server is cold,
// and against one that gets nothing because no member is above Trigger.
func TestNewMembersFillGradually(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(16, 2)
	reportAll(state, load, start, evenLoad, nil)
	member := newMember(16, 2)
	mustApply(state, []cluster.Entry{{Kind: cluster.EntryMemberJoined, Member: member}})
	at := start
	counts := []int{}
	for range 60 {
		at = at.Add(time.Second)
		mustApply(state, Plan(state, load, DefaultConfig(), Losses{}, at))
		completeMoves(state)
		load.Sync(state, at)
		reportAll(state, load, at, evenLoad, nil)
		counts = append(counts, len(state.UnitsOf(member.Session)))
	}
	g.Expect(counts[0]).To(BeNumerically("<=", 4))
	g.Expect(counts[59]).To(BeNumerically(">=", 11))
}

// completeMoves completes all open moves.
func completeMoves(state *cluster.State) {
	var entries []cluster.Entry
	for _, m := range state.SortedMembers() {
		for _, u := range state.UnitsOf(m.Session) {
			if o, _ := state.Get(u); !o.MovingTo.IsZero() {
				entries = append(entries, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: u, Session: o.MovingTo})
			}
		}
	}
	mustApply(state, entries)
}

// Guards against a stuck move that keeps its unit from ever moving again.
func TestLateMovesAreCancelled(t *testing.T) {
	g := NewWithT(t)
	state, load := newTestCluster(2, 1)
	u := state.UnitsOf(newMember(0, 1).Session)[0]
	mustApply(state, []cluster.Entry{{Kind: cluster.EntryMoveBegun, Unit: u, Session: newMember(1, 1).Session}})
	g.Expect(Plan(state, load, DefaultConfig(), Losses{}, start)).To(BeEmpty())
	late := start.Add(DefaultConfig().MoveTimeout + time.Second)
	g.Expect(Plan(state, load, DefaultConfig(), Losses{}, late)).To(Equal([]cluster.Entry{{Kind: cluster.EntryMoveCancelled, Unit: u}}))
}

// Guards against plans that cluster.State rejects, that exceed the limit on open moves,
// that leave units without an owner while a member can take them, or that differ for equal
// input, in random histories.
func TestPlansAreValidInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		cfg := DefaultConfig()
		state, load := cluster.NewState(), NewLoadModel(DefaultLoadConfig(10))
		twin := NewLoadModel(DefaultLoadConfig(10))
		at, joined := start, 0
		for range 60 {
			at = at.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
			var losses Losses
			members := state.SortedMembers()
			switch op := rng.IntN(8); {
			case op < 2 || len(members) < 2:
				mustApply(state, []cluster.Entry{{Kind: cluster.EntryMemberJoined, Member: newMember(joined, 3)}})
				joined++
			case op == 2:
				mustApply(state, []cluster.Entry{{Kind: cluster.EntryMemberDraining, Session: members[rng.IntN(len(members))].Session}})
			case op == 3:
				losses = Losses{Fenced: []cluster.Session{members[rng.IntN(len(members))].Session}, FloorMS: 9}
			case op == 4:
				down, session := rng.IntN(2) == 0, members[rng.IntN(len(members))].Session
				load.SetDown(session, down)
				twin.SetDown(session, down)
			case op == 5:
				completeMoves(state)
			}
			load.Sync(state, at)
			twin.Sync(state, at)
			observeRandom(state, load, twin, rng, at)
			entries := Plan(state, load, cfg, losses, at)
			if again := Plan(state, twin, cfg, losses, at); !reflect.DeepEqual(entries, again) {
				t.Fatalf("plans differ: %v and %v", entries, again)
			}
			if err := state.Check(entries); err != nil {
				t.Fatalf("refused: %v", err)
			}
			open := countOpenMoves(state)
			mustApply(state, entries)
			if err := checkBounds(state, load, cfg, open); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func observeRandom(state *cluster.State, load, twin *LoadModel, rng *rand.Rand, at time.Time) {
	for _, m := range state.SortedMembers() {
		r := Report{Version: state.Version}
		for i, u := range state.UnitsOf(m.Session) {
			r.Units = append(r.Units, uint32(rng.ExpFloat64()*300))
			if !u.Hot && rng.IntN(20) == 0 {
				r.Keys = append(r.Keys, KeyLoad{Unit: uint32(i), Hash: u.Start + uint64(rng.IntN(5)), Load: uint32(rng.IntN(3000))})
			}
		}
		if rng.IntN(10) == 0 {
			r.ErrorPercent = 50
		}
		load.Observe(m.Session, r, at)
		twin.Observe(m.Session, r, at)
	}
}

func countOpenMoves(state *cluster.State) int {
	n := 0
	for _, m := range state.Members {
		if m.State == cluster.MemberDraining {
			continue
		}
		for _, u := range state.UnitsOf(m.Session) {
			if o, _ := state.Get(u); !o.MovingTo.IsZero() {
				n++
			}
		}
	}
	return n
}

func checkBounds(state *cluster.State, load *LoadModel, cfg Config, open int) error {
	anyDown, moves, available, unowned := false, countOpenMoves(state), 0, 0
	for _, m := range state.Members {
		anyDown = anyDown || load.Down(m.Session)
		if m.State == cluster.MemberActive && !load.Down(m.Session) {
			available++
		}
	}
	for _, svc := range state.Services {
		for _, r := range svc.Ranges {
			if r.Owner.IsZero() {
				unowned++
			}
		}
	}
	limit := max(cfg.MinOpenMoveLimit, int(cfg.MaxOpenMoveShare*float64(available)))
	if !anyDown && moves > max(limit, open) {
		return fmt.Errorf("%d open moves, at most %d allowed", moves, limit)
	}
	if available > 0 && unowned > 0 {
		return fmt.Errorf("%d ranges without an owner, %d members", unowned, available)
	}
	return nil
}
