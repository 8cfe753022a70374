package cluster

import (
	"testing"

	. "github.com/onsi/gomega"
)

// stateWithMembers returns a state at version len(names) with one member per instance name.
func stateWithMembers(names ...string) (*State, []Session) {
	s := NewState()
	var sessions []Session
	for i, n := range names {
		session := Session{Instance: n, Incarnation: uint64(i + 1)}
		sessions = append(sessions, session)
		m := Member{Session: session, Service: "booking", Slots: 6}
		if err := s.Apply(s.Version+1, []Entry{{Kind: EntryMemberJoined, Member: &m}}); err != nil {
			panic(err)
		}
	}
	return s, sessions
}

// Guards against two owners of a unit: an EntryOwnerSet must not take a unit from a live
// owner unless a move to the new owner is open.
func TestOwnerSetNeedsAnOpenMoveOrAnAbsentOwner(t *testing.T) {
	g := NewWithT(t)
	s, m := stateWithMembers("a", "b", "c")
	u := Unit{Service: "booking"}
	set := func(to Session) []Entry { return []Entry{{Kind: EntryOwnerSet, Unit: u, Session: to}} }
	g.Expect(s.Apply(4, set(m[0]))).To(Succeed())
	g.Expect(s.Check(set(m[1]))).NotTo(Succeed())
	g.Expect(s.Apply(5, []Entry{{Kind: EntryMoveBegun, Unit: u, Session: m[1]}})).To(Succeed())
	g.Expect(s.Check(set(m[2]))).NotTo(Succeed())
	g.Expect(s.Apply(6, set(m[1]))).To(Succeed())
	fence := Entry{Kind: EntryMemberFenced, Session: m[1]}
	g.Expect(s.Apply(7, append([]Entry{fence}, set(m[2])...))).To(Succeed())
	o, _ := s.Owner("booking", 42)
	g.Expect(o.Owner).To(Equal(m[2]))
	g.Expect(o.Epoch).To(BeEquivalentTo(7))
}

// Guards against keys that change owner through a new range boundary: ranges may be created
// only together with their service, later ones only by splits.
func TestSplitMergeAndHotKeysKeepTheOwner(t *testing.T) {
	g := NewWithT(t)
	s, m := stateWithMembers("a", "b")
	whole := Unit{Service: "booking"}
	half := Unit{Service: "booking", Start: 1 << 63}
	hot := Unit{Service: "booking", Start: 7, Hot: true}
	g.Expect(s.Apply(3, []Entry{{Kind: EntryOwnerSet, Unit: whole, Session: m[0]}})).To(Succeed())
	g.Expect(s.Check([]Entry{{Kind: EntryOwnerSet, Unit: half, Session: m[1]}})).NotTo(Succeed())
	g.Expect(s.Apply(4, []Entry{
		{Kind: EntryRangeSplit, Unit: whole, At: half.Start},
		{Kind: EntryHotKeyIsolated, Unit: hot},
		{Kind: EntryMoveBegun, Unit: hot, Session: m[1]},
	})).To(Succeed())
	g.Expect(s.Apply(5, []Entry{{Kind: EntryOwnerSet, Unit: hot, Session: m[1]}})).To(Succeed())
	o, unit := s.Owner("booking", 7)
	g.Expect(o.Owner).To(Equal(m[1]))
	g.Expect(unit).To(Equal(hot))
	g.Expect(s.Check([]Entry{{Kind: EntryHotKeyCleared, Unit: hot}})).NotTo(Succeed())
	g.Expect(s.Apply(6, []Entry{{Kind: EntryRangeMerged, Unit: half}})).To(Succeed())
	g.Expect(s.Services["booking"].Ranges).To(HaveLen(1))
}

// Guards against Next changing the state that it starts from, which readers in other
// goroutines use meanwhile.
func TestNextLeavesTheStateAsItIs(t *testing.T) {
	g := NewWithT(t)
	s := largeState(30)
	owner, other := s.SortedMembers()[0].Session, s.SortedMembers()[1].Session
	before, err := s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	unit := s.UnitsOf(owner)[0]
	hot := Unit{Service: "booking", Start: 99, Hot: true}
	for _, entries := range [][]Entry{
		{{Kind: EntryMemberFenced, Session: owner}, {Kind: EntryOwnerSet, Unit: unit, Session: other}},
		{{Kind: EntryMemberDraining, Session: owner}, {Kind: EntryMoveBegun, Unit: unit, Session: other}},
		{{Kind: EntryRangeSplit, Unit: unit, At: unit.Start + 1}, {Kind: EntryHotKeyIsolated, Unit: hot}},
		{{Kind: EntryPlannerSet, Session: other}},
	} {
		_, err := s.Next(s.Version+1, entries)
		g.Expect(err).NotTo(HaveOccurred())
	}
	after, err := s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(Equal(before))
}
