package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/keyrange"
)

func members(n, slots int, speeds ...float64) []Member {
	var out []Member
	for i := range n {
		speed := 1.0
		if len(speeds) > 0 {
			speed = speeds[i%len(speeds)]
		}
		out = append(out, Member{Owner: keyrange.Owner{Instance: fmt.Sprintf("m%02d", i), Incarnation: "1"}, Slots: slots, Speed: speed})
	}
	return out
}

// applyPlans applies up to rounds plans until one is empty, and completes each move at once.
func applyPlans(t *testing.T, in Input, rounds int) *keyrange.Space {
	t.Helper()
	for range rounds {
		changes := Plan(in, DefaultConfig())
		if len(changes) == 0 {
			break
		}
		for _, c := range changes {
			next, err := c.Apply(in.Space)
			if err != nil {
				t.Fatalf("plan cannot be applied: %v", err)
			}
			in.Space = next
			for _, r := range next.Ranges() {
				if r.Moving() {
					if in.Space, err = in.Space.Release(r.Span, r.Owner, "token"); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	return in.Space
}

// utilizations returns the load of each member per slot of nominal speed.
func utilizations(s *keyrange.Space, ms []Member, loads map[uint16]float64) []float64 {
	out := make([]float64, len(ms))
	for key, load := range loads {
		for i, m := range ms {
			if s.Find(key).Owner == m.Owner {
				out[i] += load / m.capacity()
			}
		}
	}
	return out
}

func highest(values []float64) float64 {
	out := 0.0
	for _, v := range values {
		out = max(out, v)
	}
	return out
}

func mean(loads map[uint16]float64, ms []Member) float64 {
	load, capacity := 0.0, 0.0
	for _, l := range loads {
		load += l
	}
	for _, m := range ms {
		capacity += m.capacity()
	}
	return load / capacity
}

// Guards against keys left without an owner, and against a first assignment that ignores the
// speed of members.
func TestFirstAssignmentCoversAllKeysByCapacity(t *testing.T) {
	g := NewWithT(t)
	ms := members(8, 6, 0.6, 1, 1.4)
	space := applyPlans(t, Input{Space: keyrange.NewSpace(), Members: ms}, 1)
	keys := map[keyrange.Owner]float64{}
	for _, r := range space.Ranges() {
		g.Expect(r.Owner.IsZero()).To(BeFalse())
		keys[r.Owner] += float64(r.Keys())
	}
	total := 0.0
	for _, m := range ms {
		total += m.capacity()
	}
	for _, m := range ms {
		g.Expect(keys[m.Owner] / (keyrange.MaxKey + 1)).To(BeNumerically("~", m.capacity()/total, 0.01))
	}
}

// Guards against neighbouring hot keys staying on one member: with 40 % of the requests on 60
// or 200 neighbouring keys, the steady imbalance must drop to the design target of 1.25. The
// test logs the imbalance without moves.
func TestHotNeighboursAreDivided(t *testing.T) {
	g := NewWithT(t)
	for _, hot := range []int{60, 200} {
		ms := members(8, 6, 0.6, 1, 1.4)
		loads := map[uint16]float64{}
		rng := rand.New(rand.NewPCG(uint64(hot), 1))
		// Zipf-like popularity with the busy keys close together, plus a hot range.
		for i := range 6000 {
			loads[uint16(20000+i*7)] += 0.6 * 28 * math.Pow(float64(i+1), -0.78) / 26.4
		}
		start := uint16(rng.IntN(60000))
		for i := range hot {
			loads[start+uint16(i)] += 0.4 * 28 / float64(hot)
		}
		first := applyPlans(t, Input{Space: keyrange.NewSpace(), Members: ms}, 1)
		before := highest(utilizations(first, ms, loads)) / mean(loads, ms)
		space := applyPlans(t, Input{Space: first, Members: ms, Loads: loads, Balance: true}, 6)
		after := highest(utilizations(space, ms, loads)) / mean(loads, ms)
		t.Logf("%d hot keys: imbalance %.2f before, %.2f after, %d ranges", hot, before, after, len(space.Ranges()))
		g.Expect(after).To(BeNumerically("<=", 1.25))
	}
}

// Guards against a key with more load than any member can run staying on a slow member, and
// against other keys sharing a member with it.
func TestHeavyKeyGetsTheFastestMember(t *testing.T) {
	g := NewWithT(t)
	ms := members(6, 4, 0.6, 1, 1.4)
	first := applyPlans(t, Input{Space: keyrange.NewSpace(), Members: ms}, 1)
	heavy := first.OwnedBy(ms[0].Owner)[0].From
	loads := map[uint16]float64{heavy: 30}
	for i := range 600 {
		loads[uint16(i*109+51)] += 0.015
	}
	space := applyPlans(t, Input{Space: first, Members: ms, Loads: loads, Balance: true}, 12)
	owner := space.Find(heavy).Owner
	g.Expect(owner.Instance).To(BeElementOf("m02", "m05"))
	others := 0.0
	for key, load := range loads {
		if key != heavy && space.Find(key).Owner == owner {
			others += load
		}
	}
	g.Expect(others).To(BeNumerically("<", 0.2), "load in slots of other keys on the member with the heavy key")
}

// Guards against one key with many times the load that a member can run blocking the
// balancing of all others. Its member is the busiest and has no other keys to give; a plan
// that stopped there moved no key at all and left a quarter of the slots idle beside
// overloaded members.
func TestHeavyKeyDoesNotStopTheBalance(t *testing.T) {
	g := NewWithT(t)
	ms := members(12, 4, 0.6, 1, 1.4)
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{}, Balance: true}
	in.Space = applyPlans(t, in, 1)
	heavy := uint16(30000)
	// Loads that grow over the key space, in addition to the heavy key.
	rest := map[uint16]float64{}
	for key := 0; key < 65536; key += 64 {
		rest[uint16(key)] = 0.06 * float64(key) / 65536
		in.Loads[uint16(key)] = rest[uint16(key)]
	}
	in.Loads[heavy] = 60
	in.Space = applyPlans(t, in, 3)
	owner := in.Space.Find(heavy).Owner
	var others []Member
	for _, m := range ms {
		if m.Owner != owner {
			others = append(others, m)
		}
	}
	delete(rest, heavy)
	g.Expect(highest(utilizations(in.Space, others, rest))).To(BeNumerically("<", 1.3*mean(rest, others)))
	for _, m := range ms {
		if m.Owner == owner {
			g.Expect(highest(utilizations(in.Space, []Member{m}, rest))).To(BeNumerically("<", 0.2), "the member with the heavy key has few other keys")
		}
	}
}

// Guards against a slow member staying overloaded because a fast one with spare capacity
// already has more load in slots. This happens if loads are compared without dividing by
// capacity.
func TestSlowMembersGiveToFastOnes(t *testing.T) {
	g := NewWithT(t)
	ms := members(6, 4, 0.6, 1.4)
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{}, Balance: true}
	in.Space = applyPlans(t, in, 1)
	for key := 0; key < 65536; key += 64 {
		in.Loads[uint16(key)] = 0.016
		if in.Space.Find(uint16(key)).Owner == ms[0].Owner {
			in.Loads[uint16(key)] = 0.04
		}
	}
	in.Space = applyPlans(t, in, 4)
	got := utilizations(in.Space, ms, in.Loads)
	g.Expect(highest(got)).To(BeNumerically("<", mean(in.Loads, ms)+DefaultConfig().Trigger), "%v", got)
}

// Guards against keys moving back and forth between members that are all overloaded. That
// serves no more requests, and every node must process the changes of the key table.
func TestNothingMovesBetweenFullMembers(t *testing.T) {
	g := NewWithT(t)
	ms := members(8, 4)
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{}, Balance: true}
	in.Space = applyPlans(t, in, 1)
	for key := 0; key < 65536; key += 64 {
		in.Loads[uint16(key)] = 0.04 + 0.03*float64(key)/65536
	}
	g.Expect(Plan(in, DefaultConfig())).To(BeEmpty())
}

// Guards against two keys that each fill a member sharing the same member.
func TestHeavyKeysDoNotShareAMember(t *testing.T) {
	g := NewWithT(t)
	ms := members(6, 4)
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{}, Balance: true}
	in.Space = applyPlans(t, in, 1)
	in.Loads[100], in.Loads[101] = 30, 20
	in.Space = applyPlans(t, in, 4)
	g.Expect(in.Space.Find(100).Owner).NotTo(Equal(in.Space.Find(101).Owner))
}

// Guards against a plan that moves keys although the load only fluctuates randomly.
func TestNoiseMovesNothing(t *testing.T) {
	g := NewWithT(t)
	ms := members(8, 6)
	first := applyPlans(t, Input{Space: keyrange.NewSpace(), Members: ms}, 1)
	rng := rand.New(rand.NewPCG(3, 3))
	loads := map[uint16]float64{}
	for i := range 4000 {
		loads[uint16(i*16)] = 28.0 / 4000 * (0.5 + rng.Float64())
	}
	g.Expect(Plan(Input{Space: first, Members: ms, Loads: loads, Balance: true}, DefaultConfig())).To(BeEmpty())
}

// Guards against keys staying on a member that is about to leave.
func TestDrainingMemberIsEmptied(t *testing.T) {
	g := NewWithT(t)
	ms := members(5, 6)
	first := applyPlans(t, Input{Space: keyrange.NewSpace(), Members: ms}, 1)
	ms[1].Draining = true
	changes := Plan(Input{Space: first, Members: ms}, DefaultConfig())
	keys := 0
	for _, c := range changes {
		g.Expect(c.From).To(Equal(ms[1].Owner))
		keys += c.Keys()
	}
	owned := 0
	for _, r := range first.OwnedBy(ms[1].Owner) {
		owned += r.Keys()
	}
	g.Expect(keys).To(Equal(owned))
}

// Guards against an estimate that loses present load or keeps load that has ended.
func TestDemandFollowsTheLoad(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDemand(DefaultConfig().Window, now)
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		d.Add(7, 50*time.Millisecond, 1, now)
	}
	g.Expect(d.Loads(now)[7]).To(BeNumerically("~", 2, 0.2))
	g.Expect(d.Loads(now.Add(15 * time.Second))).To(BeEmpty())
}

// Guards against choosing a backend server that looks fast because it fails requests at once,
// and against choosing a distant one while a near one is free.
func TestCompletionOrder(t *testing.T) {
	g := NewWithT(t)
	work := 50 * time.Millisecond
	free := Candidate{Slots: 6, Work: work}
	g.Expect(free.Completion()).To(BeNumerically("<", Candidate{Slots: 6, Work: work, Overhead: time.Millisecond}.Completion()))
	g.Expect(free.Completion()).To(BeNumerically("<", Candidate{Slots: 6, Work: work / 10, FailureRate: 0.5}.Completion()))
	g.Expect(free.Completion()).To(BeNumerically("<", Candidate{Slots: 6, Work: work, Reported: 12}.Completion()))
	g.Expect(Candidate{Slots: 6, Work: work, Reported: 12, Age: time.Second}.Completion()).
		To(BeNumerically("<", Candidate{Slots: 6, Work: work, Reported: 12}.Completion()))
}

// Load pattern: a member limits itself to a third of its load while the others have room.
// Guards against keys that stay there and are refused.
func TestLimitedMemberKeepsOnlyWhatItTakes(t *testing.T) {
	g := NewWithT(t)
	ms := members(6, 6)
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{}, Balance: true}
	for i := range 120 {
		in.Loads[uint16(i*546)] = 0.12
	}
	in.Space = applyPlans(t, in, 20)
	ms[2].Limited, ms[2].MaxLoad = true, 0.8
	in.Space = applyPlans(t, in, 20)
	load := func(m Member) float64 {
		sum := 0.0
		for key, l := range in.Loads {
			if in.Space.Find(key).Owner == m.Owner {
				sum += l
			}
		}
		return sum
	}
	g.Expect(load(ms[2])).To(BeNumerically("<=", 0.8))
	g.Expect(load(ms[2])).To(BeNumerically(">", 0.1))
}

// Guards against a limit in requests that is compared with a wrong load.
func TestMeanWorkOfTheDemand(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDemand(DefaultConfig().Window, now)
	g.Expect(d.MeanWork(now)).To(BeZero())
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		d.Add(uint16(i), 200*time.Millisecond, 4, now)
	}
	g.Expect(d.MeanWork(now)).To(BeNumerically("~", 50*time.Millisecond, time.Microsecond))
}
