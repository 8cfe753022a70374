package waitqueue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// snapshot returns the whole state of a queue as text, with the elements of slices and maps.
func snapshot(q *Queue) string {
	arrivals := map[priorityClass]arrivalRate{}
	for class, r := range q.arrivals {
		arrivals[class] = *r
	}
	sent := q.rate.cold.sent
	return fmt.Sprintf("%+v %+v %+v %+v %+v %+v %v %v %v", q.running, q.waiting, q.work, arrivals, q.rate, sent[:cap(sent)],
		q.slots, q.declinedShare, q.reviewedAt)
}

// Guards against a preview that differs from what Offer decides next, or that changes the queue: a
// question about a request must neither count as its arrival nor take its place.
func TestWouldRefuseIsWhatOfferDecides(t *testing.T) {
	refused, admitted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		q, now, running := New(DefaultConfig()), time.Unix(100, 0), []ID{}
		q.SetSlots(rapid.IntRange(0, 4).Draw(t, "slots"), now)
		if rapid.Bool().Draw(t, "cold limit configured") {
			q.SetColdLimit(20, false, now)
		}
		for id := ID(1); id < 80; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * time.Millisecond)
			it := Item{
				ID: id, Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), Nested: rapid.Bool().Draw(t, "nested"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Target:   now.Add(time.Duration(rapid.IntRange(-20, 200).Draw(t, "target")) * time.Millisecond),
			}
			it.Deadline = it.Target.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "late")) * time.Millisecond)
			before := snapshot(q)
			preview, refuses := q.WouldRefuse(it, now)
			g.Expect(snapshot(q)).To(Equal(before))
			decision, others := q.Offer(it, now)
			g.Expect(refuses).To(Equal(decision.Action == Refuse))
			g.Expect(preview).To(Equal(decision))
			if refuses {
				refused++
			} else {
				admitted++
			}
			for _, d := range append(others, decision) {
				if d.Action == Run {
					running = append(running, d.ID)
				}
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				var ended ID
				ended, running = running[0], running[1:]
				for _, d := range q.Done(ended, rapid.SampledFrom([]Result{Completed, Declined, Failed}).Draw(t, "result"), now) {
					if d.Action == Run {
						running = append(running, d.ID)
					}
				}
			}
		}
	})
	t.Logf("%d refused, %d admitted", refused, admitted)
	NewWithT(t).Expect(min(refused, admitted)).To(BeNumerically(">", 50))
}

// Guards against a request that is refused for a limit in requests per second without the place
// that Offer gives it.
func TestWouldRefuseLeavesLimitsToOffer(t *testing.T) {
	g := NewWithT(t)
	s := newLimitSim(4)
	s.queue.SetRateLimit(1, s.now)
	for range 5 {
		s.offer(0)
	}
	it := Item{ID: 99, Route: "r", Fingerprint: 7, Target: s.now.Add(200 * time.Millisecond), Deadline: s.now.Add(10 * time.Second)}
	before := snapshot(s.queue)
	_, refuses := s.queue.WouldRefuse(it, s.now)
	g.Expect(refuses).To(BeFalse())
	g.Expect(snapshot(s.queue)).To(Equal(before))
	d, _ := s.queue.Offer(it, s.now)
	g.Expect(d).To(And(HaveField("Action", Refuse), HaveField("RateLimited", true)))
}
