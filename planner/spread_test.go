package planner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/cluster"
)

// Guards against an idle service whose keys all stay on the member that joined first, and
// against moves that continue once the keys are spread.
func TestIdleServiceIsSpreadOverMembersThatJoinLater(t *testing.T) {
	g := NewWithT(t)
	state, now := cluster.NewState(), time.Unix(1_800_000_000, 0)
	load := NewLoadModel(DefaultLoadConfig(4))
	moves := 0
	step := func() int {
		entries := Plan(state, load, DefaultConfig(), Losses{}, now)
		begun := 0
		if len(entries) > 0 {
			g.Expect(state.Apply(state.Version+1, entries)).To(Succeed())
		}
		var done []cluster.Entry
		for _, e := range entries {
			if e.Kind == cluster.EntryMoveBegun {
				begun++
				done = append(done, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: e.Unit, Session: e.Session})
			}
		}
		if len(done) > 0 {
			g.Expect(state.Apply(state.Version+1, done)).To(Succeed())
		}
		load.Sync(state, now)
		for session := range state.Members {
			load.Observe(session, Report{Version: state.Version, Units: make([]uint32, len(state.UnitsOf(session)))}, now)
		}
		now = now.Add(time.Second)
		moves += begun
		return begun
	}
	for i := range 4 {
		m := cluster.Member{Session: cluster.Session{Instance: fmt.Sprint("i", i), Incarnation: 1}, Service: "s", Slots: 6}
		g.Expect(state.Apply(state.Version+1, []cluster.Entry{{Kind: cluster.EntryMemberJoined, Member: &m}})).To(Succeed())
		step()
	}
	for range 120 {
		step()
	}
	share := map[cluster.Session]float64{}
	for i, r := range state.Services["s"].Ranges {
		share[r.Owner] += state.Services["s"].Width(i)
	}
	g.Expect(share).To(HaveLen(4))
	for _, width := range share {
		g.Expect(width).To(BeNumerically(">=", 0.7/4))
	}
	before := moves
	for range 120 {
		step()
	}
	g.Expect(moves).To(Equal(before))
}
