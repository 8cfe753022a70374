package policybench

import (
	"maps"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
)

// Policy plans like planner.Plan.
type Policy interface {
	Name() string
	Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry
}

// Chosen is the policy of the product.
type Chosen struct{ Config planner.Config }

// Name implements Policy.
func (Chosen) Name() string { return "chosen" }

// Plan implements Policy.
func (c Chosen) Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry {
	return planner.Plan(state, load, c.Config, losses, now)
}

// Policies returns a new instance of each policy; instances keep state of one run.
func Policies() []func() Policy {
	return []func() Policy{
		func() Policy { return Chosen{planner.DefaultConfig()} },
		func() Policy { return &baseline{name: "static hashing"} },
		func() Policy { return &baseline{name: "bounded loads", bound: 1.25} },
		func() Policy { return &baseline{name: "two choices", hotKeys: true} },
		func() Policy { return &isolating{config: planner.DefaultConfig()} },
	}
}

// isolating isolates the heaviest keys before a member is over its trigger and places
// each on the member with the shortest completion time; the chosen policy does the
// rest. The idea is that of the paper "TailSieve: Partial-Rollout-Guided Tail Routing",
// arXiv 2608.22788, applied to hot keys.
type isolating struct{ config planner.Config }

// Name implements Policy.
func (*isolating) Name() string { return "isolation first" }

// Plan implements Policy.
func (p *isolating) Plan(state *cluster.State, load *planner.LoadModel, losses planner.Losses, now time.Time) []cluster.Entry {
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

// isolate gives each heavy key of at least a quarter of a mean member its own owner.
func (p *isolating) isolate(name string, state *cluster.State, load *planner.LoadModel, now time.Time) []cluster.Entry {
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
			if time := completion(after, float64(m.Slots)); best < 0 || time < shortest {
				best, shortest = i, time
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

// completion returns the time of a request on a server with load, in service times of
// an M/M/1 queue with the server's utilization.
func completion(load, slots float64) float64 {
	util := min(load/slots, 0.99)
	return 1/(1-util) + max(0, load/slots-0.99)*1000
}
