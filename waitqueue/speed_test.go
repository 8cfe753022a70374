package waitqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that wait for a server that became slow, until their deadline, against a
// slowdown that is learned as usual, and against expectations that outlast it.
func TestSpeedScalesExpectedWork(t *testing.T) {
	g := NewWithT(t)
	q, now := New(DefaultConfig()), time.Unix(100, 0)
	q.SetSlots(1, now)
	offer := func(id ID) Action {
		d, _ := q.Offer(Item{ID: id, Route: "r", Target: now.Add(200 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond)}, now)
		return d.Action
	}
	g.Expect(offer(1)).To(Equal(Run))
	now = now.Add(60 * time.Millisecond)
	q.Done(1, Completed, now)
	g.Expect(offer(2)).To(Equal(Run))
	g.Expect(offer(3)).To(Equal(Wait))
	refused := q.SetSpeed(0.1, map[string]time.Duration{"r": 50 * time.Millisecond}, now)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].ID).To(Equal(ID(3)))
	g.Expect(refused[0].Action).To(Equal(Refuse))
	g.Expect(offer(4)).To(Equal(Refuse))
	now = now.Add(500 * time.Millisecond)
	q.Done(2, Completed, now)
	g.Expect(q.Work("r")).To(Equal(500 * time.Millisecond))
	q.SetSpeed(1, nil, now)
	g.Expect(q.Work("r")).To(Equal(50 * time.Millisecond))
	g.Expect(offer(5)).To(Equal(Run))
}
