package backendstatus

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that ends because of a response that was sent before the limit was
// named and arrived after it.
func TestOvertakenResponseDoesNotEndALimit(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	changed, _ := table.Observe("a@1", Report{Limited: true, Limit: 5}, at(0), at(50))
	g.Expect(changed).To(BeTrue())
	changed, _ = table.Observe("a@1", Report{}, at(40), at(60))
	g.Expect(changed).To(BeFalse())
	limit, limited := table.Limit("a@1")
	g.Expect(limited).To(BeTrue())
	g.Expect(limit).To(Equal(5.0))
	changed, _ = table.Observe("a@1", Report{}, at(70), at(80))
	g.Expect(changed).To(BeTrue())
	_, limited = table.Limit("a@1")
	g.Expect(limited).To(BeFalse())
}

// Guards against a limit that ends, or a hint that is ignored, because of a response that
// failed.
func TestFailedResponseEndsNoLimit(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Observe("a@1", Report{}, time.Time{}, at(0))
	g.Expect(table.Hint("a@1", 5, at(1))).To(BeTrue())
	table.Observe("a@1", Report{}, time.Time{}, at(2))
	_, limited := table.Limit("a@1")
	g.Expect(limited).To(BeTrue())
	table.Observe("a@1", Report{}, at(3), at(4))
	_, limited = table.Limit("a@1")
	g.Expect(limited).To(BeFalse())
}

// Guards against a hint that replaces what the backend server itself has stated.
func TestHintHoldsOnlyUntilTheFirstResponse(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	g.Expect(table.Hint("a@1", 5, at(0))).To(BeTrue())
	g.Expect(table.Hint("a@1", 5, at(1))).To(BeFalse())
	_, limited := table.Limit("a@2")
	g.Expect(limited).To(BeFalse(), "another incarnation")
	table.Observe("a@1", Report{}, at(2), at(3))
	_, limited = table.Limit("a@1")
	g.Expect(limited).To(BeFalse())
	g.Expect(table.Hint("a@1", 5, at(4))).To(BeFalse())
}

// Guards against a leave whose time starts anew with each response, and against one that is
// forgotten.
func TestLeaveIsFinal(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	_, leaves := table.Observe("a@1", Report{Leaving: true}, at(0), at(10))
	g.Expect(leaves).To(BeTrue())
	_, leaves = table.Observe("a@1", Report{Leaving: true}, at(20), at(30))
	g.Expect(leaves).To(BeFalse())
	table.Observe("a@1", Report{}, at(40), at(50))
	since, leaving := table.LeavingFor("a@1", at(110))
	g.Expect(leaving).To(BeTrue())
	g.Expect(since).To(Equal(100 * time.Millisecond))
	_, leaving = table.LeavingFor("b@1", at(110))
	g.Expect(leaving).To(BeFalse())
}

// Guards against a table that grows with each incarnation ever seen.
func TestOldIncarnationsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Observe("a@1", Report{Leaving: true}, at(0), at(0))
	table.Observe("b@1", Report{}, at(0), at(0).Add(Retention+time.Second))
	g.Expect(table.statuses).To(HaveLen(1))
}
