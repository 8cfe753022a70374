package waitqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// limitSim sends requests to a Queue whose backend server has a limit, in virtual time.
type limitSim struct {
	queue   *Queue
	now     time.Time
	nextID  ID
	started []time.Time
	ends    map[ID]time.Time
}

func newLimitSim(slots int) *limitSim {
	s := &limitSim{queue: New(DefaultConfig()), now: time.Unix(100, 0), ends: map[ID]time.Time{}}
	s.queue.SetSlots(slots, s.now)
	return s
}

func (s *limitSim) record(decisions ...Decision) {
	for _, d := range decisions {
		if d.Action == Run {
			s.started = append(s.started, s.now)
			s.ends[d.ID] = s.now.Add(20 * time.Millisecond)
		}
	}
}

func (s *limitSim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for id, end := range s.ends {
		if !end.After(s.now) {
			delete(s.ends, id)
			s.record(s.queue.Done(id, Completed, s.now)...)
		}
	}
}

func (s *limitSim) offer(priority int) Decision { return s.offerFrom(0, priority) }

// offerFrom offers a request with a fingerprint.
func (s *limitSim) offerFrom(fingerprint uint64, priority int) Decision {
	s.nextID++
	d, others := s.queue.Offer(Item{ID: s.nextID, Route: "r", Fingerprint: fingerprint, Priority: priority, Target: s.now.Add(200 * time.Millisecond), Deadline: s.now.Add(800 * time.Millisecond)}, s.now)
	s.record(append(others, d)...)
	return d
}

// mostWithin returns the greatest number of requests sent in any window.
func (s *limitSim) mostWithin(window time.Duration) int {
	most := 0
	for first, last := 0, 0; last < len(s.started); last++ {
		for s.started[last].Sub(s.started[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against more requests than the limit in any window, whatever the load, the slots, and
// however the limit changes within its range.
func TestNoWindowExceedsTheRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLimitSim(rapid.IntRange(1, 12).Draw(t, "slots"))
		highest := rapid.Float64Range(0, 40).Draw(t, "limit")
		s.queue.SetRateLimit(highest, s.now)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.advance(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				s.record(s.queue.SetRateLimit(highest*rapid.Float64Range(0.3, 1).Draw(t, "part"), s.now)...)
			}
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				s.offerFrom(rapid.Uint64Range(0, 9).Draw(t, "fingerprint"), rapid.IntRange(0, 2).Draw(t, "priority"))
			}
		}
		// The bound of the platform's page: one and a half times the limit, and 5 requests.
		if got, allowed := s.mostWithin(4*time.Second), int(1.5*4*highest)+5; got > allowed {
			t.Fatalf("%d requests in 4 s; %d are allowed at %.2f a second", got, allowed, highest)
		}
	})
}

// Guards against a request that waits for the limit, against a Retry-After at which there is no
// room, and against refused requests that are all told to come back at the same time.
func TestRequestsOverTheLimitAreRefusedAtOnceWithATurn(t *testing.T) {
	g := NewWithT(t)
	s := newLimitSim(6)
	s.queue.SetRateLimit(10, s.now)
	g.Expect(s.offer(0).Action).To(Equal(Run))
	for i := range 5 {
		d := s.offer(0)
		g.Expect(d.Action).To(Equal(Refuse))
		g.Expect(d.RateLimited).To(BeTrue())
		g.Expect(d.RetryAfter).To(BeNumerically("~", time.Duration(i+1)*100*time.Millisecond, time.Millisecond))
	}
	for range 5 {
		s.advance(100 * time.Millisecond)
		g.Expect(s.offer(0).Action).To(Equal(Run), "its turn")
	}
	s.queue.SetRateLimit(0, s.now)
	s.advance(time.Second)
	g.Expect(s.offer(0).RetryAfter).To(BeNumerically(">", 2*time.Second), "a limit of 0")
	s.queue.RemoveRateLimit()
	g.Expect(s.offer(0).Action).To(Equal(Run))
}

// Guards against requests of a low priority that use up the limit before others.
func TestLimitLeavesRoomForHigherPriorities(t *testing.T) {
	g := NewWithT(t)
	s := newLimitSim(6)
	s.queue.SetRateLimit(20, s.now)
	served := map[int]int{}
	for range 2000 {
		s.advance(20 * time.Millisecond)
		for _, priority := range []int{2, 1} {
			if s.offer(priority).Action == Run {
				served[priority]++
			}
		}
	}
	g.Expect(served[1]).To(BeNumerically(">", 10*served[2]))
	g.Expect(served[1]+served[2]).To(BeNumerically("~", 800, 10), "20 a second for 40 s")
}

// Guards against waiting requests that exceed a limit named later: they are refused at once,
// the most urgent stay.
func TestNewLimitShedsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	s := newLimitSim(1)
	s.offer(1)
	waiting := []Decision{s.offer(2), s.offer(2), s.offer(1)}
	for _, d := range waiting {
		g.Expect(d.Action).To(Equal(Wait))
	}
	out := s.queue.SetRateLimit(4, s.now)
	g.Expect(out).To(HaveLen(2))
	for _, d := range out {
		g.Expect(d.ID).NotTo(Equal(waiting[2].ID))
		g.Expect(d.Action).To(Equal(Refuse))
		g.Expect(d.RateLimited).To(BeTrue())
	}
	g.Expect(s.queue.Waiting()).To(Equal(1))
}
