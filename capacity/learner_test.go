package capacity

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// serverSim is a server that takes 60 ms for each request at its usual speed, always with the same
// number of requests running.
type serverSim struct {
	*Learner
	now    time.Time
	nextID ID
	left   map[ID]float64 // seconds of work
}

func newServerSim(slots int) *serverSim {
	now := time.Unix(1000, 0)
	return &serverSim{Learner: New(DefaultConfig(), slots, now), now: now, left: map[ID]float64{}}
}

// run keeps requests running for a time at a speed and returns the lowest and highest speed learned.
func (s *serverSim) run(requests int, speed float64, d time.Duration) (lowest, highest float64) {
	lowest, highest = s.Estimate().Speed, s.Estimate().Speed
	for until := s.now.Add(d); s.now.Before(until); s.now = s.now.Add(5 * time.Millisecond) {
		s.Advance(s.now)
		for id, left := range s.left {
			if s.left[id] = left - 0.005*speed; s.left[id] <= 0 {
				delete(s.left, id)
				s.Done(id, true, s.now)
			}
		}
		for len(s.left) < requests {
			s.nextID++
			// Starts are spread, so that the requests don't end together.
			s.left[s.nextID] = 0.03 + 0.01*float64(s.nextID%7)
			s.Start(s.nextID, "r", s.now)
		}
		lowest, highest = min(lowest, s.Estimate().Speed), max(highest, s.Estimate().Speed)
	}
	return lowest, highest
}

// Guards against following noise: a spell of 400 ms must not become known, at any load.
func TestShortSpellChangesNothing(t *testing.T) {
	g := NewWithT(t)
	for _, requests := range []int{1, 5} {
		s := newServerSim(5)
		s.run(requests, 1, 5*time.Second)
		for range 5 {
			lowest, _ := s.run(requests, 1.0/3, 400*time.Millisecond)
			g.Expect(lowest).To(BeNumerically(">", 0.7), "%d requests", requests)
			lowest, highest := s.run(requests, 1, 1600*time.Millisecond)
			g.Expect(lowest).To(BeNumerically(">", 0.7), "%d requests", requests)
			g.Expect(highest).To(BeNumerically("<", 1.5), "%d requests", requests)
		}
	}
}

// Guards against a slowdown that is seen only when requests end, and against a recovery that is not
// seen because few requests run.
func TestStepIsFollowedWithinASecondAndRecoveryWithinTwo(t *testing.T) {
	g := NewWithT(t)
	for _, factor := range []float64{5, 12} {
		for _, requests := range []int{1, 5} {
			s := newServerSim(5)
			s.run(requests, 1, 5*time.Second)
			s.run(requests, 1/factor, time.Second)
			g.Expect(s.Estimate().Speed).To(BeNumerically("<", 0.5), "%v times slower, %d requests", factor, requests)
			s.run(requests, 1/factor, 5*time.Second)
			g.Expect(s.Estimate().Speed).To(BeNumerically("~", 1/factor, 0.5/factor))
			s.run(1, 1, 2*time.Second)
			g.Expect(s.Estimate().Speed).To(BeNumerically(">", 0.8), "%v times slower, %d requests", factor, requests)
		}
	}
}

// Guards against requests without a response that count as slow ones, while they run and when they
// are given up.
func TestMissingResponseIsNoSample(t *testing.T) {
	g := NewWithT(t)
	s := newServerSim(5)
	s.run(3, 1, 5*time.Second)
	for range 4 {
		s.Start(100_000, "r", s.now)
		lowest, _ := s.run(3, 1, 1200*time.Millisecond)
		s.Done(100_000, false, s.now)
		g.Expect(lowest).To(BeNumerically(">", 0.9))
	}
}

// Guards against a slow server that never gets a request again: without evidence it counts as usual.
func TestIdleServerIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newServerSim(5)
	s.run(5, 1, 5*time.Second)
	s.run(5, 1.0/12, 6*time.Second)
	for id := range s.left {
		s.Done(id, false, s.now)
	}
	s.left = map[ID]float64{}
	s.run(0, 1, 2*time.Second)
	g.Expect(s.Estimate().Speed).To(BeNumerically(">", 0.5))
}

// Guards against a limit or speed outside its bounds, whatever is observed.
func TestEstimateStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		now, config := time.Unix(1000, 0), DefaultConfig()
		l := New(config, slots, now)
		for i := range ID(rapid.IntRange(50, 600).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(-2, 80).Draw(t, "pause")) * time.Millisecond)
			l.Start(i, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), now)
			l.Done(ID(rapid.IntRange(0, int(i)).Draw(t, "ended")), rapid.Bool().Draw(t, "completed"), now)
			l.Reported(rapid.Float64Range(0, 5000).Draw(t, "percent"), now)
			e := l.Estimate()
			if e.Limit < 1 || e.Limit > slots || e.InForce < 1 || e.InForce > slots || !(e.Speed >= config.MinSpeed && e.Speed <= config.MaxSpeed) {
				t.Fatalf("%+v with %d slots", e, slots)
			}
		}
	})
}
