package coldstate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a backend server that counts as warm although it has not said so, has become cold
// again since, or has said nothing for so long that it may have.
func TestStateIsUnknownWithoutARecentStatement(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(DefaultConfig())
	g.Expect(tracker.State(at(0))).To(Equal(Unknown))
	tracker.Response(0, at(0), at(5))
	g.Expect(tracker.State(at(10))).To(Equal(Warm))
	tracker.Heartbeat(3*time.Second, at(20))
	tracker.Response(0, at(15), at(25))
	g.Expect(tracker.State(at(30))).To(Equal(Cold), "a response that the heartbeat overtook")
	tracker.Heartbeat(1100*time.Millisecond, at(1900))
	g.Expect(tracker.State(at(2990))).To(Equal(Cold))
	g.Expect(tracker.State(at(3010))).To(Equal(Warm), "as it said")
	g.Expect(tracker.State(at(4200))).To(Equal(Unknown))
	tracker.Response(0, at(4200), at(4210))
	g.Expect(tracker.State(at(4220))).To(Equal(Warm))
	tracker.Forget()
	g.Expect(tracker.State(at(4230))).To(Equal(Unknown))
}

// Guards against a backend server that becomes cold and is not asked until its next heartbeat, and
// against questions without a sign, while it is known to be cold, or more often than allowed.
func TestBackendServerIsAskedOnlyOnASign(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(DefaultConfig())
	tracker.Heartbeat(0, at(0))
	g.Expect(tracker.Overdue(at(1000))).To(Equal(None))
	g.Expect(tracker.Ask(None, at(1000))).To(BeFalse())
	var sign Sign
	for i, ms := range []int{190, 30, 60, 90, 190, 60, 60, 190, 190, 190} {
		g.Expect(sign).To(Equal(None), "response %d", i)
		sign = tracker.Completed(time.Duration(ms)*time.Millisecond, 60*time.Millisecond, 36.5)
	}
	g.Expect(sign).To(Equal(Slow))
	g.Expect(tracker.Ask(sign, at(1000))).To(BeTrue())
	g.Expect(tracker.Ask(Disconnected, at(1100))).To(BeFalse(), "just asked")
	g.Expect(tracker.Overdue(at(1500))).To(Equal(Overdue), "the response was lost")
	g.Expect(tracker.Ask(Overdue, at(1500))).To(BeTrue())
	tracker.Response(5*time.Second, at(1500), at(1510))
	g.Expect(tracker.Ask(Slow, at(2100))).To(BeFalse(), "known to be cold")
}
