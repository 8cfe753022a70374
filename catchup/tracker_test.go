package catchup

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var testConfig = Config{FailurePause: 300 * time.Millisecond, BusyPause: 50 * time.Millisecond, MaxFailures: 3, MaxHolders: 3}

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// next returns the address that is asked, and the wait in ms.
func next(t *Tracker, ms int, random float64) (string, int) {
	address, wait := t.Next(at(ms), random)
	return address, int(wait.Milliseconds())
}

// Guards against a node that knows of a newer version, and asks nobody for it or always one that fails.
func TestOtherHoldersAreAskedAfterAFailure(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Applied(4, at(0))
	g.Expect(s.Heard(4, "a", at(0))).To(BeFalse())
	address, wait := next(s, 0, 0)
	g.Expect(address).To(BeEmpty())
	g.Expect(wait).To(BeZero())
	g.Expect(s.Behind(at(9))).To(BeZero())

	g.Expect(s.Heard(7, "a", at(10))).To(BeTrue())
	g.Expect(s.Heard(7, "b", at(20))).To(BeFalse())
	address, _ = next(s, 20, 0)
	g.Expect(address).To(Equal("a"))
	address, _ = next(s, 20, 0.99)
	g.Expect(address).To(Equal("b"))

	s.Failed("a", Unanswered, at(30))
	address, _ = next(s, 30, 0)
	g.Expect(address).To(Equal("b"))
	s.Failed("b", Busy, at(40))
	address, wait = next(s, 40, 0)
	g.Expect(address).To(BeEmpty())
	g.Expect(wait).To(Equal(50))
	address, _ = next(s, 91, 0.99)
	g.Expect(address).To(Equal("b"))
	s.Failed("b", Outdated, at(100))
	_, wait = next(s, 100, 0)
	g.Expect(wait).To(Equal(230))
	address, _ = next(s, 330, 0)
	g.Expect(address).To(Equal("a"))
}

// Guards against a holder that fails and is asked again at once because it is heard of again.
func TestAPausedHolderStaysPaused(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Heard(7, "a", at(0))
	s.Failed("a", Unanswered, at(10))
	s.Heard(8, "a", at(20))
	address, wait := next(s, 20, 0)
	g.Expect(address).To(BeEmpty())
	g.Expect(wait).To(Equal(290))
}

// Guards against an older version that is fetched although a newer one can be had, and against one that
// is not because the only holder of the newest fails.
func TestTheNewestAvailableVersionIsAskedFor(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Heard(9, "new", at(0))
	s.Heard(7, "old", at(0))
	address, _ := next(s, 0, 0.99)
	g.Expect(address).To(Equal("new"))
	s.Failed("new", Unanswered, at(0))
	address, _ = next(s, 0, 0)
	g.Expect(address).To(Equal("old"))
	s.Applied(7, at(100))
	_, wait := next(s, 100, 0)
	g.Expect(wait).To(Equal(200))
	g.Expect(s.Behind(at(150))).To(Equal(50 * time.Millisecond))
	s.Applied(9, at(200))
	g.Expect(s.Behind(at(250))).To(BeZero())
	s.Applied(8, at(300))
	g.Expect(s.Heard(9, "old", at(300))).To(BeFalse(), "an older version does not replace the one in force")
	g.Expect(s.Behind(at(350))).To(BeZero())
}

// Guards against a node that never reads the store although nothing arrives, and against one that does
// while a newer version is arriving or each time that yet another one becomes known.
func TestStalledCountsFromTheLastProgress(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Heard(7, "a", at(1000))
	s.Heard(8, "a", at(1400))
	g.Expect(s.Stalled(at(1500))).To(Equal(500 * time.Millisecond))
	s.Answered("a", 20*time.Millisecond, at(1600))
	g.Expect(s.Stalled(at(1700))).To(Equal(100 * time.Millisecond))
	g.Expect(s.Behind(at(1700))).To(Equal(700 * time.Millisecond))
	s.Applied(8, at(1800))
	g.Expect(s.Stalled(at(5000))).To(BeZero())
	s.Heard(9, "a", at(6000))
	g.Expect(s.Stalled(at(6100))).To(Equal(100 * time.Millisecond))
}

// Guards against a version that is late because all of it is fetched from a slow node although a faster one
// has it too.
func TestTheFastestHolderIsAskedOnceAllAreKnown(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Heard(7, "slow", at(0))
	s.Answered("slow", 200*time.Millisecond, at(200))
	s.Heard(7, "fast", at(200))
	address, _ := next(s, 200, 0)
	g.Expect(address).To(Equal("fast"), "not asked yet")
	s.Answered("fast", 20*time.Millisecond, at(220))
	address, _ = next(s, 220, 0)
	g.Expect(address).To(Equal("fast"))
	s.Failed("fast", Unanswered, at(520))
	address, _ = next(s, 520, 0)
	g.Expect(address).To(Equal("slow"))
	s.Heard(8, "slow", at(900))
	address, _ = next(s, 900, 0)
	g.Expect(address).To(Equal("slow"), "it has a newer version")
}

// Guards against memory that grows with the number of nodes.
func TestHoldersAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	for _, address := range []string{"a", "b", "c", "d", "b", "e"} {
		s.Heard(7, address, at(0))
	}
	g.Expect(s.holders).To(HaveLen(3))
	for _, random := range []float64{0, 0.5, 0.99} {
		address, _ := next(s, 0, random)
		g.Expect([]string{"d", "b", "e"}).To(ContainElement(address))
	}
}

// Guards against a node that asks for ever for a version that was lost with the nodes that had it, and
// that reads the store all the while.
func TestAVersionThatNobodyHasIsForgotten(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Applied(4, at(0))
	s.Heard(9, "gone", at(0))
	s.Heard(9, "wrong", at(0))
	s.Failed("wrong", Outdated, at(10))
	for i := range testConfig.MaxFailures {
		g.Expect(s.Behind(at(1000))).To(Equal(time.Second))
		s.Failed("gone", Busy, at(20))
		s.Failed("gone", Unanswered, at(1000*i))
	}
	address, wait := next(s, 60_000, 0)
	g.Expect(address).To(BeEmpty())
	g.Expect(wait).To(BeZero())
	g.Expect(s.Behind(at(60_000))).To(BeZero())
	s.Heard(9, "back", at(70_000))
	g.Expect(s.Behind(at(70_001))).To(Equal(time.Millisecond))
}

// Guards against a sound node that is given up for failures long ago.
func TestFailuresCountInARow(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Heard(9, "a", at(0))
	for range 5 {
		s.Failed("a", Unanswered, at(0))
		s.Failed("a", Unanswered, at(0))
		s.Answered("a", time.Millisecond, at(400))
	}
	address, _ := next(s, 1000, 0)
	g.Expect(address).To(Equal("a"))
}
