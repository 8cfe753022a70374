package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/keyrange"
)

// hotStart is the load of a service that begins on 200 neighbouring keys and some others, while
// its keys are divided evenly.
type hotStart struct {
	members []Member
	space   *keyrange.Space
	demand  *Demand
	rng     *rand.Rand
}

func newHotStart(t *testing.T, members []Member, now time.Time) *hotStart {
	t.Helper()
	return &hotStart{
		members: members, demand: NewDemand(DefaultConfig().Window, now), rng: rand.New(rand.NewPCG(1, 2)),
		space: applyPlans(t, Input{Space: keyrange.NewSpace(), Members: members}, 1),
	}
}

// observe adds the requests of d: rate a second with 100 ms of work, hotShare of them for the hot keys.
func (h *hotStart) observe(now time.Time, d time.Duration, rate, hotShare float64) {
	for range int(rate * d.Seconds()) {
		key := uint16(h.rng.IntN(keyrange.MaxKey + 1))
		if h.rng.Float64() < hotShare {
			key = uint16(52000 + h.rng.IntN(200))
		}
		h.demand.Add(key, 100*time.Millisecond, 1, now)
	}
}

// Load pattern: load begins on keys that were divided before it was known, two fifths of it on 200
// neighbouring keys of one of 30 members.
// Guards against an overloaded member that keeps its keys until a full window has passed.
func TestOverloadedMemberIsRelievedBeforeTheWindowHasPassed(t *testing.T) {
	g := NewWithT(t)
	config := DefaultConfig()
	now := time.Unix(100, 0)
	h := newHotStart(t, members(30, 9), now)
	last, started := now, now
	for now.Sub(started) < 1400*time.Millisecond {
		now = now.Add(100 * time.Millisecond)
		h.observe(now, 100*time.Millisecond, 1400, 0.4)
		in := Input{Space: h.space, Members: h.members, Loads: h.demand.EarlyLoads(now)}
		if in.Balance = config.BalanceDue(in, h.demand.Age(now), now.Sub(last)); !in.Balance {
			continue
		}
		last = now
		for _, c := range Plan(in, config) {
			next, err := c.Apply(h.space)
			g.Expect(err).ToNot(HaveOccurred())
			h.space = next
		}
	}
	p := newPlan(Input{Space: h.space, Members: h.members, Loads: h.demand.EarlyLoads(now)}, config)
	most := 0.0
	for _, b := range p.ready {
		most = max(most, b.utilization())
	}
	g.Expect(most).To(BeNumerically("<", 1.5), "utilization of the busiest member once the open moves are completed")
}

// Load pattern: even load on 30 members at 0.9 of their capacity.
// Guards against moves for the noise of an estimate that covers little time.
func TestEvenLoadWaitsForTheWindow(t *testing.T) {
	g := NewWithT(t)
	config := DefaultConfig()
	now := time.Unix(100, 0)
	h := newHotStart(t, members(30, 9), now)
	for h.demand.Age(now) < config.Window-100*time.Millisecond {
		now = now.Add(100 * time.Millisecond)
		h.observe(now, 100*time.Millisecond, 2400, 0)
		in := Input{Space: h.space, Members: h.members, Loads: h.demand.EarlyLoads(now)}
		g.Expect(config.BalanceDue(in, h.demand.Age(now), time.Hour)).To(BeFalse(), "after %v", h.demand.Age(now))
	}
	now = now.Add(100 * time.Millisecond)
	in := Input{Space: h.space, Members: h.members, Loads: h.demand.Loads(now)}
	g.Expect(config.BalanceDue(in, h.demand.Age(now), config.BalanceInterval)).To(BeTrue())
	g.Expect(config.BalanceDue(in, h.demand.Age(now), config.BalanceInterval-1)).To(BeFalse())
}

// Guards against a different pace for services of few members.
func TestSmallServicesKeepTheirPace(t *testing.T) {
	g := NewWithT(t)
	config := DefaultConfig()
	now := time.Unix(100, 0)
	h := newHotStart(t, members(config.UrgentMinMembers-1, 9), now)
	now = now.Add(time.Second)
	h.observe(now, time.Second, 800, 0.5)
	in := Input{Space: h.space, Members: h.members, Loads: h.demand.EarlyLoads(now)}
	g.Expect(config.BalanceDue(in, h.demand.Age(now), time.Hour)).To(BeFalse())
}
