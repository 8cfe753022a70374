package preflight

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

// replay sends requests of one node for a while at an interval and returns the bytes that leave the
// zone without and with questions. refusedShare is the share of the requests that queues refuse,
// body the length of the next body.
func replay(duration, interval time.Duration, refusedShare func(time.Duration) float64, body func(*rand.Rand) int) (without, with, questions int) {
	rng := rand.New(rand.NewPCG(1, 2))
	var r Route
	for at := time.Duration(0); at < duration; at += interval {
		now, size := start.Add(at), body(rng)
		refused := rng.Float64() < refusedShare(at)
		without += size
		asked := r.Ask(size, now)
		if asked {
			questions++
			with += QuestionBytes
		}
		if !asked || !refused {
			with += size
		}
		r.Observe(refused, now)
	}
	return without, with, questions
}

func steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

func fixed(size int) func(*rand.Rand) int { return func(*rand.Rand) int { return size } }

// Guards against questions that cost more than they save, and against bodies that cross the link in
// vain although most are refused.
func TestSteadyLoad(t *testing.T) {
	for _, c := range []struct {
		name     string
		share    float64
		size     int
		atMost   float64 // bytes with questions, relative to those without
		noneMost int     // the most questions
	}{
		{"40 % refused, bodies of 4,000 bytes", 0.4, 4000, 0.70, 1200},
		{"80 % refused, bodies of 4,000 bytes", 0.8, 4000, 0.30, 1200},
		{"80 % refused, bodies of 600 bytes", 0.8, 600, 0.65, 1200},
		{"40 % refused, bodies of 300 bytes", 0.4, 300, 1, 0},
		{"2 % refused, bodies of 4,000 bytes", 0.02, 4000, 1.01, 120},
		{"none refused", 0, 4000, 1, 0},
	} {
		g := NewWithT(t)
		without, with, questions := replay(time.Minute, 50*time.Millisecond, steady(c.share), fixed(c.size))
		t.Logf("%s: %d bytes without, %d with, %d questions", c.name, without, with, questions)
		g.Expect(float64(with)).To(BeNumerically("<=", c.atMost*float64(without)), c.name)
		g.Expect(questions).To(BeNumerically("<=", c.noneMost), c.name)
	}
}

// Load pattern: a burst begins and ends. Guards against questions that go on after it or begin late.
func TestBurst(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		g := NewWithT(t)
		burst := func(at time.Duration) float64 {
			if at >= 5*time.Second && at < 10*time.Second {
				return 0.6
			}
			return 0
		}
		without, with, questions := replay(20*time.Second, interval, burst, fixed(4000))
		t.Logf("one request in %v: %d bytes without, %d with, %d questions", interval, without, with, questions)
		g.Expect(float64(with)).To(BeNumerically("<", 0.93*float64(without)))
		inBurst := int(5 * time.Second / interval)
		g.Expect(questions).To(BeNumerically(">", inBurst*3/4))
		g.Expect(questions).To(BeNumerically("<", inBurst*3/2))
	}
}

// Guards against a share that stays high while the route has no requests.
func TestShareFallsWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	var r Route
	for range 100 {
		r.Observe(true, start)
	}
	g.Expect(r.Share(start)).To(BeNumerically(">", 0.95))
	g.Expect(r.Share(start.Add(8 * time.Second))).To(BeNumerically("<", 0.05))
	g.Expect(r.Ask(4000, start.Add(10*time.Second))).To(BeFalse())
	g.Expect(r.Share(start.Add(-time.Second))).To(BeNumerically("<=", 1), "a clock that goes back")
}

// Load pattern: a route with short and long bodies. Guards against questions before short ones.
func TestMixedBodies(t *testing.T) {
	g := NewWithT(t)
	sizes := func(rng *rand.Rand) int {
		if rng.IntN(2) == 0 {
			return 100
		}
		return 4000
	}
	without, with, questions := replay(time.Minute, 50*time.Millisecond, steady(0.4), sizes)
	t.Logf("%d bytes without, %d with, %d questions", without, with, questions)
	g.Expect(float64(with)).To(BeNumerically("<", 0.72*float64(without)))
	g.Expect(questions).To(BeNumerically("<", 650), "600 of 1,200 bodies are long")
}
