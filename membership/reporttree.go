package membership

import (
	"math"

	"github.com/basilway/basilway/cluster"
)

// maxDirectReports is the number of members up to which all members report directly to the
// planner. Each open connection costs the planner about 40 kB.
const maxDirectReports = 64

// ReportParent returns the session to which self sends its load reports: the planner or, in
// a large cluster, a relay, which is a member that forwards the reports of a group of about
// sqrt(n) members. Neither the planner nor a relay thus has more than about 2 sqrt(n) peers
// for reports. members must be ordered as by cluster.State.SortedMembers. If self is not
// among them, the result is the planner.
func ReportParent(members []cluster.Member, self, planner cluster.Session) cluster.Session {
	if len(members) <= maxDirectReports {
		return planner
	}
	group := int(math.Ceil(math.Sqrt(float64(len(members)))))
	for i, m := range members {
		if m.Session != self {
			continue
		}
		if parent := members[i-i%group].Session; parent != self {
			return parent
		}
		break
	}
	return planner
}
