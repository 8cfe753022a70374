package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newTracker() *Tracker { return New(Config{Tolerance: time.Second, Expiry: 5 * time.Second}) }

// Guards against a node that goes on with an older version for long, also if newer versions follow each other and each
// is heard of only for a short time.
func TestToleranceCountsFromTheOldestVersionThatIsLacked(t *testing.T) {
	g := NewWithT(t)
	tr := newTracker()
	tr.Applied(3)
	tr.Heard(3, at(0))
	g.Expect(tr.Judge(at(9))).To(Equal(Current))
	tr.Heard(4, at(10))
	tr.Heard(5, at(10.9))
	tr.Heard(4, at(10.95))
	g.Expect(tr.Judge(at(10.9))).To(Equal(Tolerated))
	g.Expect(tr.Judge(at(11.1))).To(Equal(Outdated))
	tr.Applied(4)
	g.Expect(tr.OutdatedFor(at(11.4))).To(Equal(500 * time.Millisecond))
	g.Expect(tr.Judge(at(11.4))).To(Equal(Tolerated))
	g.Expect(tr.Judge(at(12))).To(Equal(Outdated))
	tr.Applied(5)
	g.Expect(tr.Judge(at(12))).To(Equal(Current))
	for i := range 2 * maxSightings {
		tr.Heard(uint64(6+i), at(13+float64(i)/100))
	}
	tr.Applied(5 + maxSightings)
	g.Expect(tr.Judge(at(14.5))).To(Equal(Outdated), "more versions than are remembered")
	tr.Applied(5 + 2*maxSightings)
	g.Expect(tr.Judge(at(14.5))).To(Equal(Current))
}

// Guards against a node that refuses requests for good, because a version was lost with all who had it, or cannot be
// used here.
func TestVersionThatNobodyHasAnyMoreIsForgotten(t *testing.T) {
	g := NewWithT(t)
	tr := newTracker()
	tr.Applied(3)
	tr.Heard(4, at(0))
	g.Expect(tr.Judge(at(4))).To(Equal(Outdated))
	g.Expect(tr.Judge(at(5.1))).To(Equal(Current))
	tr.Heard(4, at(20))
	g.Expect(tr.Judge(at(20.5))).To(Equal(Tolerated), "heard of anew")
	tr.Rejected(4)
	g.Expect(tr.Judge(at(22))).To(Equal(Current))
	tr.Heard(4, at(23))
	g.Expect(tr.Judge(at(25))).To(Equal(Current))
	tr.Heard(5, at(26))
	g.Expect(tr.Judge(at(27.5))).To(Equal(Outdated))
}

// Guards against a node that serves on while it decodes a value for long, and was not told the version.
func TestValueThatIsBeingDecodedCounts(t *testing.T) {
	g := NewWithT(t)
	tr := newTracker()
	tr.Applied(3)
	tr.Decoding(at(0))
	tr.Decoding(at(0.9))
	g.Expect(tr.Judge(at(0))).To(Equal(Tolerated))
	g.Expect(tr.Judge(at(1.1))).To(Equal(Outdated))
	tr.Decoded()
	g.Expect(tr.Judge(at(1.1))).To(Equal(Current))
}
