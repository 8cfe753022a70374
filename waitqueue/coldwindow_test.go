package waitqueue

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// tuulBound is the bound of a deployment: 1.5 times 19 requests per second plus 8.
const tuulBound = 19*1.5 + 8

// mostIn returns the greatest number of times in any window; it sorts them.
func mostIn(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against more requests to a cold backend server than the bound in any second, as they arrive
// there: whatever the load, a limit that it states at the same time, delays between the decision
// and the first byte, and an earlier process that sent until this one started.
func TestNoSecondExceedsTheBoundOfAColdServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLimitSim(rapid.IntRange(1, 12).Draw(t, "slots"))
		bound, stated := rapid.Float64Range(1, 60).Draw(t, "bound"), rapid.Bool().Draw(t, "stated")
		var arrived []time.Time
		for range int(bound) { // by the earlier process
			arrived = append(arrived, s.now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "before"))*time.Millisecond))
		}
		s.queue.AssumeFullWindow(s.now)
		cold, since := true, arrived[0]
		s.queue.SetColdLimit(bound, cold, s.now)
		if stated {
			s.queue.SetRateLimit(bound/3, s.now)
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				if cold = !cold; cold {
					since = s.now // requests sent while it was warm don't count
				} else if most := mostIn(arrived, time.Second); most > int(bound) {
					t.Fatalf("%d requests in a second; %v are allowed", most, bound)
				}
				arrived = nil
				s.record(s.queue.SetColdLimit(bound, cold, s.now)...)
			}
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				d := s.offerFrom(rapid.Uint64Range(0, 9).Draw(t, "fingerprint"), rapid.IntRange(0, 2).Draw(t, "priority"))
				sent := s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 5, 20, 21, 200}).Draw(t, "dial")) * time.Millisecond)
				s.now = sent
				if d.Action != Run {
					continue
				}
				if ok, _ := s.queue.Sending(d.ID, sent); ok && cold {
					arrived = append(arrived, sent.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "delay"))*time.Millisecond))
				}
			}
		}
		if most := mostIn(arrived, time.Second); cold && most > int(bound) {
			t.Fatalf("%d requests in a second since %v; %v are allowed", most, since, bound)
		}
		if got, allowed := mostIn(s.started, 4*time.Second), 4*bound/3*1.5+5; stated && float64(got) > allowed {
			t.Fatalf("%d requests in 4 s; the stated limit allows %v", got, allowed)
		}
	})
}

// Guards against a cold backend server that gets less than it is allowed or all of it at the
// beginning of a second, and against a priority class that gets nothing while higher ones use up
// the limit.
func TestColdServerIsUsedAndNoClassStarves(t *testing.T) {
	g := NewWithT(t)
	s := newLimitSim(40)
	s.queue.SetColdLimit(tuulBound, true, s.now)
	s.started = nil
	served, last, longest := map[int]int{}, s.now, time.Duration(0)
	for range 2000 {
		s.advance(10 * time.Millisecond)
		for _, priority := range []int{2, 1, 0} {
			if s.offer(priority).Action == Run {
				served[priority]++
				if priority == 2 {
					longest, last = max(longest, s.now.Sub(last)), s.now
				}
			}
		}
	}
	g.Expect(float64(len(s.started))/20).To(BeNumerically(">", 0.95*36/1.1), "requests a second")
	g.Expect(mostIn(s.started, 250*time.Millisecond)).To(BeNumerically("<=", 18), "half of the second's requests")
	g.Expect(served[0]).To(BeNumerically(">", 10*served[1]))
	g.Expect(max(longest, s.now.Sub(last))).To(BeNumerically("<", 2*classStarvedAfter))
}

// Guards against a Retry-After that is earlier than there is room: in the window that an earlier
// process may have used up, and for requests that are refused at the same time.
func TestRetryAfterOfAColdServerIsAccurate(t *testing.T) {
	g := NewWithT(t)
	s := newLimitSim(40)
	s.queue.AssumeFullWindow(s.now)
	s.queue.SetColdLimit(tuulBound, true, s.now)
	s.advance(800 * time.Millisecond)
	var after []time.Duration
	for range 6 {
		d := s.offer(0)
		g.Expect(d).To(And(HaveField("Action", Refuse), HaveField("Cold", true)))
		after = append(after, d.RetryAfter)
	}
	g.Expect(after[0]).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
	started := s.now
	for i, a := range after {
		s.advance(started.Add(a).Sub(s.now))
		g.Expect(s.offer(0).Action).To(Equal(Run), "request %d", i)
	}
	s.queue.SetColdLimit(tuulBound, false, s.now)
	for range 30 {
		g.Expect(s.offer(0).Action).To(Equal(Run), "warm")
	}
	s.queue.SetColdLimit(0, true, s.now)
	g.Expect(s.offer(0).Action).To(Equal(Run), "no limit is configured")
	s = newLimitSim(40)
	s.queue.SetColdLimit(0.4, true, s.now)
	g.Expect([]Action{s.offer(0).Action, s.offer(0).Action}).To(Equal([]Action{Run, Refuse}))
}
