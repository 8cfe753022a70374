package waitqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// caller is a request that is about to arrive.
type caller struct {
	at, deadline time.Time
	fingerprint  uint64
	// told is set if it comes back at the time that it was told.
	told bool
}

// callers is a heap of callers by their arrival.
type callers []caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c callers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callers) Push(x any)        { *c = append(*c, x.(caller)) }
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// testLimit is the limit in requests a second.
const testLimit = 18

// stateLimit makes the queue keep a limit that the backend server states.
func stateLimit(s *limitSim) { s.queue.SetRateLimit(testLimit, s.now) }

// becomeCold makes the queue keep about the same limit because the backend server is cold.
func becomeCold(s *limitSim) { s.queue.SetColdLimit(testLimit*1.1+0.5, true, s.now) }

// offerRefusable offers requests at a rate of load times the limit that limit sets. Refused ones come
// back once if comeBack is set. It returns how many did so at the time that they were told, and how many of
// these were served.
func offerRefusable(limit func(*limitSim), load float64, comeBack bool) (s *limitSim, told, served int, took time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	s = newLimitSim(6)
	limit(s)
	var arriving callers
	at := s.now
	for i := range 10_000 {
		at = at.Add(time.Duration(rng.ExpFloat64() / (testLimit * load) * float64(time.Second)))
		arriving = append(arriving, caller{at: at, deadline: at.Add(800 * time.Millisecond), fingerprint: uint64(i + 1)})
	}
	started := s.now
	for arriving.Len() > 0 {
		c := heap.Pop(&arriving).(caller)
		s.advance(c.at.Sub(s.now))
		s.nextID++
		d, others := s.queue.Offer(Item{ID: s.nextID, Route: "r", Fingerprint: c.fingerprint, Target: c.at.Add(400 * time.Millisecond), Deadline: c.deadline}, s.now)
		s.record(append(others, d)...)
		if c.told {
			told++
			if d.Action != Refuse {
				served++
			}
			continue
		}
		// Callers come back once, after at most a third of the time that they have.
		if d.Action == Refuse {
			wait, most := d.RetryAfter, c.deadline.Sub(s.now)/3
			c.told = wait <= most
			c.at = s.now.Add(min(wait, most) + time.Duration(rng.IntN(20))*time.Millisecond)
			if c.told && comeBack {
				heap.Push(&arriving, c)
			}
		}
	}
	return s, told, served, s.now.Sub(started)
}

// Guards against a Retry-After that is not true: new requests take the room for those that were
// told to come back, so that these are refused again.
func TestRefusedRequestsAreServedAtTheirTurn(t *testing.T) {
	for _, load := range []float64{1.1, 1.3, 2, 4} {
		for _, limit := range []func(*limitSim){stateLimit, becomeCold} {
			g := NewWithT(t)
			s, told, served, took := offerRefusable(limit, load, true)
			g.Expect(told).To(BeNumerically(">", 100))
			g.Expect(served).To(BeNumerically(">=", told*95/100), "of %d at load %v", told, load)
			g.Expect(s.sentIn(took)).To(BeNumerically(">=", 0.95*testLimit), "the limit is used")
			g.Expect(s.mostWithin(4 * time.Second)).To(BeNumerically("<=", int(1.5*4*testLimit)+5))
		}
	}
}

// Guards against places in the limit that are lost because their requests do not come back.
func TestPlacesOfRequestsThatStayAwayAreGivenToOthers(t *testing.T) {
	for _, load := range []float64{1.3, 2, 4} {
		s, _, _, took := offerRefusable(stateLimit, load, false)
		NewWithT(t).Expect(s.sentIn(took)).To(BeNumerically(">=", 0.95*testLimit), "at load %v", load)
	}
}

// sentIn returns the mean rate of the requests that were sent.
func (s *limitSim) sentIn(took time.Duration) float64 {
	return float64(len(s.started)) / took.Seconds()
}
