package membership

import (
	"math"

	"github.com/basilway/basilway/cluster"
)

// directReports is the number of members up to which all report to the planner
// directly. Each open connection costs the planner about 40 kB.
const directReports = 64

// ReportParent returns the session to which self sends its load reports: the planner, or
// in a large cluster a member that passes on the reports of about the square root of
// the members. So neither the planner nor a relay has more than about 2 sqrt(n) peers
// for this. Members are ordered as by cluster.State.SortedMembers; the result is the
// planner if self is not among them.
func ReportParent(members []cluster.Member, self, planner cluster.Session) cluster.Session {
	if len(members) <= directReports {
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
