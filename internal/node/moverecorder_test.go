package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
)

// Guards against moves that stay open for ever, because a planner that does not know the newest key table
// says that it recorded them, and against keys that are taken from another owner.
func TestPlannerRecordsOnlyMovesThatItsTableShows(t *testing.T) {
	g := NewWithT(t)
	a, b := keyrange.Owner{Instance: "a", Incarnation: "1"}, keyrange.Owner{Instance: "b", Incarnation: "1"}
	span := keyrange.Span{From: 100, To: 199}
	older, err := keyrange.NewSpace().Assign(span, a)
	g.Expect(err).NotTo(HaveOccurred())
	moving, err := older.BeginMove(span, a, b)
	g.Expect(err).NotTo(HaveOccurred())
	message := completedMoves{Owner: a, Service: "s", Moves: []grant.CompletedMove{{Span: span, Fence: moving.Find(100).Fence, Handover: "h"}}}

	next, ok := releaseMoves(moving, message, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(next.Find(150).Owner).To(Equal(b))
	g.Expect(next.Find(150).Handover).To(Equal("h"))
	for name, table := range map[string]*keyrange.Space{
		"the move is not known yet": older, "the move is completed": next, "another incarnation owns the keys": moving.Replace(a, keyrange.Owner{Instance: "a", Incarnation: "2"}),
	} {
		_, ok = releaseMoves(table, message, 0)
		g.Expect(ok).To(BeFalse(), name)
	}
	_, ok = releaseMoves(moving, message, 1)
	g.Expect(ok).To(BeFalse(), "the owner's node knows another generation of the store")
}
