package policybench

import (
	"maps"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
)

// Policy decides on changes of the assignment, as planner.Plan does.
type Policy interface {
	Name() string
	Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry
}

// PlannerPolicy is the policy that basilway uses, planner.Plan. Reports call it "chosen".
type PlannerPolicy struct{ Config planner.Config }

// Name implements Policy.
func (PlannerPolicy) Name() string { return "chosen" }

// Plan implements Policy.
func (p PlannerPolicy) Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry {
	return planner.Plan(state, load, p.Config, losses, now)
}

// Policies returns a constructor for each policy. A policy keeps state between plans, so
// that each simulation needs its own.
func Policies() []func() Policy {
	return []func() Policy{
		func() Policy { return PlannerPolicy{planner.DefaultConfig()} },
		func() Policy { return &baseline{name: "static hashing"} },
		func() Policy { return &baseline{name: "bounded loads", bound: 1.25} },
		func() Policy { return &baseline{name: "two choices", hotKeys: true} },
		func() Policy { return &isolateFirst{config: planner.DefaultConfig()} },
	}
}

// isolateFirst isolates the heaviest keys before the load of their member reaches the
// planner's trigger, and places each on the member with the shortest completion time. All
// else is left to planner.Plan. Method: "TailSieve: Partial-Rollout-Guided Tail Routing",
// arXiv 2608.22788, applied to hot keys.
type isolateFirst struct{ config planner.Config }

// Name implements Policy.
func (*isolateFirst) Name() string { return "isolation first" }

// Plan implements Policy.
func (p *isolateFirst) Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry {
	load.Sync(state, now)
	if len(losses.Fenced) == 0 {
		var entries []cluster.Entry
		for _, name := range slices.Sorted(maps.Keys(state.Services)) {
			entries = append(entries, p.isolate(name, state, load, now)...)
		}
		if len(entries) > 0 {
			return entries
		}
	}
	return planner.Plan(state, load, p.config, losses, now)
}

// isolate moves each heavy key with at least a quarter of the mean member load to the member
// with the shortest completion time, if that is not its owner and may receive load.
func (p *isolateFirst) isolate(name string, state *cluster.State, load *planner.LoadModel, now time.Time) []cluster.Entry {
	members := activeMembers(state, load, name, nil)
	if len(members) < 2 {
		return nil
	}
	loads := make([]float64, len(members))
	indexOf := map[cluster.Session]int{}
	mean := 0.0
	for i, m := range members {
		indexOf[m.Session] = i
		loads[i] = load.MemberLoad(m.Session)
		mean += loads[i] / float64(len(members))
	}
	var entries []cluster.Entry
	for _, k := range heavyKeys(load, name) {
		o, unit := state.Owner(name, k.hash)
		if k.load < 0.25*mean || unit.Hot || o.Owner.IsZero() || !o.MovingTo.IsZero() {
			continue
		}
		best, shortest := -1, 0.0
		for i, m := range members {
			after := loads[i] + k.load
			if m.Session == o.Owner {
				after = loads[i]
			}
			if estimate := completionTime(after, float64(m.Slots)); best < 0 || estimate < shortest {
				best, shortest = i, estimate
			}
		}
		hot := cluster.Unit{Service: name, Start: k.hash, Hot: true}
		if members[best].Session == o.Owner || !load.Eligible(members[best].Session, now) {
			continue
		}
		entries = append(entries, cluster.Entry{Kind: cluster.EntryHotKeyIsolated, Unit: hot},
			cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: hot, Session: members[best].Session})
		loads[best] += k.load
		if from, ok := indexOf[o.Owner]; ok {
			loads[from] -= k.load
		}
	}
	return entries
}

// completionTime estimates the response time of a request on a server with the given load,
// in multiples of the service time, by the formula of an M/M/1 queue. Load over 99 % of
// the slots adds a penalty, so that overloaded servers stay comparable.
func completionTime(load, slots float64) float64 {
	utilization := min(load/slots, 0.99)
	return 1/(1-utilization) + max(0, load/slots-0.99)*1000
}
