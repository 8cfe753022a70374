package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/cluster"
)

// Guards against a planner or relay that needs a connection to each of 1,900 members, and
// against reports that never reach the planner.
func TestReportsReachThePlannerThroughFewPeers(t *testing.T) {
	for _, n := range []int{1, 3, 64, 65, 100, 1900} {
		g := NewWithT(t)
		var members []cluster.Member
		for i := range n {
			members = append(members, cluster.Member{Session: cluster.Session{Instance: fmt.Sprintf("i%04d", i)}})
		}
		planner := members[n/2].Session
		children := map[cluster.Session]int{}
		for _, m := range members {
			hops := 0
			for at := m.Session; at != planner; hops++ {
				at = ReportParent(members, at, planner)
			}
			g.Expect(hops).To(BeNumerically("<=", 2))
			children[ReportParent(members, m.Session, planner)]++
		}
		for _, c := range children {
			g.Expect(c).To(BeNumerically("<=", max(maxDirectReports, 2*44)))
		}
	}
}
