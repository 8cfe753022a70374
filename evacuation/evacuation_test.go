package evacuation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	policy = Policy{Bound: 5 * time.Second}
)

// Guards against requests to an evacuated zone after the bound: what a node learns 2 s late and sends at
// the last moment still arrives within it.
func TestZoneClosesWellInsideTheBound(t *testing.T) {
	g := NewWithT(t)
	zones := Zones{"a": {Version: 7, Since: start}}
	g.Expect(policy.MaySend(zones, "b", true, start.Add(time.Hour))).To(BeTrue())
	g.Expect(policy.MaySend(zones, "a", false, start)).To(BeFalse(), "requests without a key leave it out at once")
	g.Expect(policy.MaySend(zones, "a", true, start.Add(time.Second))).To(BeTrue(), "the key has not moved yet")
	const learnedLate, transit = 2 * time.Second, 500 * time.Millisecond
	closed := start.Add(policy.Bound - learnedLate - transit)
	g.Expect(policy.MaySend(zones, "a", true, closed)).To(BeFalse())
	g.Expect(policy.Closed(zones, "a", closed)).To(BeTrue())
	g.Expect(policy.Closed(Zones{}, "a", closed)).To(BeFalse())
	g.Expect(Policy{}.Enabled()).To(BeFalse())
}

// Guards against callers that come back to a zone long before or after their keys have moved, or wait
// where none is left.
func TestRefusedCallersComeBackWhenKeysHaveMoved(t *testing.T) {
	g := NewWithT(t)
	zones := Zones{"a": {Since: start}, "b": {Since: start}}
	g.Expect(policy.RetryAfter(zones, "a", start.Add(2300*time.Millisecond))).To(Equal(time.Second))
	g.Expect(policy.RetryAfter(zones, "a", start.Add(3500*time.Millisecond))).To(Equal(500 * time.Millisecond))
	g.Expect(policy.RetryAfter(zones, "a", start.Add(3900*time.Millisecond))).To(Equal(minRetryAfter))
	g.Expect(policy.RetryAfter(zones, "a", start.Add(20*time.Second))).To(Equal(maxRetryAfter), "the moves are late")
	g.Expect(zones.CoverAll([]string{"a", "b", "a"})).To(BeTrue())
	g.Expect(zones.CoverAll([]string{"a", "c"})).To(BeFalse())
	g.Expect(zones.CoverAll(nil)).To(BeFalse(), "a service without backend servers is not evacuated")
}

// Guards against a zone that opens for a moment because its row was written again, and against one
// that is evacuated anew and keeps the old time.
func TestTimeOfAnEvacuationIsKeptWhileItLasts(t *testing.T) {
	g := NewWithT(t)
	at := func(d time.Duration) func(string) time.Time { return func(string) time.Time { return start.Add(d) } }
	first := Zones{}.Update(Row("a", 3, false), true, at(0))
	rewritten := first.Update(Row("a", 5, false), true, at(time.Minute))
	g.Expect(rewritten).To(Equal(Zones{"a": {Version: 5, Since: start}}))
	ended := rewritten.Update(Row("a", 6, true), true, at(2*time.Minute))
	g.Expect(ended).To(BeEmpty())
	g.Expect(ended.Update(Row("a", 8, false), true, at(3*time.Minute))).To(Equal(Zones{"a": {Version: 8, Since: start.Add(3 * time.Minute)}}))
}

// Guards against a zone that gets requests because the store lost the operator's row, until the operator
// has had the time to write it again, and against one that stays evacuated for good without a row.
func TestRowThatTheStoreLostStaysInForceForAWhile(t *testing.T) {
	g := NewWithT(t)
	since := func(string) time.Time { return start }
	wentBack := Listed(metastore.VersionOf(1, 2), nil)
	z := Zones{}.Update(Row("a", 3, false), true, since)
	lost := z.Update(wentBack, false, since)
	g.Expect(lost).To(Equal(Zones{"a": {Version: 3, Since: start, Lost: true}}))
	g.Expect(lost.Update(wentBack, true, since)).To(BeEmpty())
	again := wentBack.Merge(Row("a", metastore.VersionOf(1, 4), false))
	rewritten := lost.Update(again, false, func(string) time.Time { return start.Add(time.Hour) })
	g.Expect(rewritten).To(Equal(Zones{"a": {Version: metastore.VersionOf(1, 4), Since: start}}))
	removed := again.Merge(Row("a", metastore.VersionOf(1, 5), true))
	g.Expect(rewritten.Update(removed, false, since)).To(BeEmpty(), "the operator removed it")
}
