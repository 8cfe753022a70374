package placement

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/keyrange"
)

// Input is what Plan works from.
type Input struct {
	Space   *keyrange.Space
	Members []Member
	// Loads is the load of each key in slots of nominal speed, estimated over
	// Config.Window. SlowLoads is the same over Config.SlowWindow, and nil until that time
	// has passed.
	Loads, SlowLoads map[uint16]float64
	// Balance allows moves for balance. Without it, Plan only assigns keys without an owner
	// and empties draining members.
	Balance bool
}

// Plan returns the changes to make next, or none. It assigns keys without an owner, moves
// keys away from draining members and evacuated zones, and then moves keys from the busiest members to the least
// busy ones. Each step fills members up to the mean utilization.
//
// A range of neighbouring keys can become hot within a second. Plan therefore splits ranges by
// load, not by number of keys, and moves the parts to several members at once.
func Plan(in Input, config Config) []Change {
	p := newPlan(in, config)
	if len(p.ready) == 0 {
		return nil
	}
	p.assignUnowned()
	p.drainMembers()
	p.evacuateMembers()
	if in.Balance {
		p.placeHeavy()
		p.balance(config.Trigger, config.Target)
		p.consolidate()
	}
	if in.Balance && in.SlowLoads != nil && len(p.changes) == 0 {
		in.Loads = in.SlowLoads
		p = newPlan(in, config)
		p.balance(config.SlowTrigger, config.SlowTarget)
	}
	return p.changes
}

// bin is a member with its expected load, in which open moves count as completed.
type bin struct {
	Member
	load float64
}

func (b *bin) utilization() float64 { return b.load / b.capacity() }

type plan struct {
	config Config
	in     Input
	keys   []uint16 // with load, ascending
	// loads is the load of each key, capped at the capacity of its member. Load above that
	// cannot be served anywhere and must not be counted as work for other members.
	loads          map[uint16]float64
	baseLoadPerKey float64
	bins           map[keyrange.Owner]*bin
	ready          []*bin
	// heavyOwners maps the heavy keys that this plan moves to their new owners.
	heavyOwners map[uint16]keyrange.Owner
	open        int
	changes     []Change
	touched     []keyrange.Span
}

func newPlan(in Input, config Config) *plan {
	p := &plan{config: config, in: in, bins: map[keyrange.Owner]*bin{}, loads: map[uint16]float64{}, heavyOwners: map[uint16]keyrange.Owner{}}
	total := 0.0
	for _, m := range in.Members {
		b := &bin{Member: m}
		p.bins[m.Owner] = b
		if !m.leaving() {
			p.ready = append(p.ready, b)
			total += m.capacity()
		}
	}
	slices.SortFunc(p.ready, func(a, b *bin) int { return cmp.Compare(a.Owner.Instance, b.Owner.Instance) })
	p.baseLoadPerKey = config.BaseLoad * total / (keyrange.MaxKey + 1)
	for key, load := range in.Loads {
		if b := p.bins[ownerAfterMove(in.Space.Find(key))]; b != nil {
			load = min(load, b.capacity())
		}
		p.keys = append(p.keys, key)
		p.loads[key] = load
	}
	slices.Sort(p.keys)
	for _, r := range in.Space.Ranges() {
		if r.Moving() {
			p.open++
		}
		if b := p.bins[ownerAfterMove(r)]; b != nil {
			b.load += p.load(r.Span)
		}
	}
	return p
}

// ownerAfterMove returns the owner of r once its open move, if any, is completed.
func ownerAfterMove(r keyrange.Range) keyrange.Owner {
	if r.Moving() {
		return r.Next
	}
	return r.Owner
}

func (p *plan) load(s keyrange.Span) float64 {
	sum := p.baseLoadPerKey * float64(s.Keys())
	i, _ := slices.BinarySearch(p.keys, s.From)
	for ; i < len(p.keys) && p.keys[i] <= s.To; i++ {
		sum += p.loads[p.keys[i]]
	}
	return sum
}

// mean returns the utilization if all load were spread evenly over the ready members.
func (p *plan) mean() float64 {
	capacity := 0.0
	for _, b := range p.ready {
		capacity += b.capacity()
	}
	return p.load(keyrange.Span{From: 0, To: keyrange.MaxKey}) / capacity
}

func (p *plan) add(c Change) {
	p.changes = append(p.changes, c)
	p.touched = append(p.touched, c.Span)
}

// placeHeavy moves heavy keys, whose load exceeds the capacity of their member, to the member
// with the greatest capacity that has no heavy key. It does so if the capacity there is larger
// by HeavyCapacityRatio, so that clearly more of the requests are served, or if two heavy keys
// share a member. The other keys of both members are moved away by balance.
func (p *plan) placeHeavy() {
	for _, key := range p.keys {
		r := p.in.Space.Find(key)
		from := p.bins[r.Owner]
		if from == nil || from.leaving() || r.Moving() || !p.heavy(key) {
			continue
		}
		best := p.largestWithoutHeavyKey()
		if best == nil || best.capacity() < p.config.HeavyCapacityRatio*from.capacity() && len(p.heavyKeysOf(from.Owner)) < 2 {
			continue
		}
		p.add(Change{Span: keyrange.Span{From: key, To: key}, From: r.Owner, To: best.Owner})
		from.load -= p.loads[key]
		p.loads[key] = min(p.in.Loads[key], best.capacity())
		best.load += p.loads[key]
		p.heavyOwners[key] = best.Owner
	}
}

// heavy reports whether the load of key alone exceeds the capacity of its member.
func (p *plan) heavy(key uint16) bool {
	b := p.bins[p.ownerAfterPlan(key)]
	return b != nil && p.in.Loads[key] > b.capacity()
}

// ownerAfterPlan returns the owner of key once the open moves and the moves of heavy keys in
// this plan are completed.
func (p *plan) ownerAfterPlan(key uint16) keyrange.Owner {
	if owner, moved := p.heavyOwners[key]; moved {
		return owner
	}
	return ownerAfterMove(p.in.Space.Find(key))
}

// heavyKeysOf returns the heavy keys of owner.
func (p *plan) heavyKeysOf(owner keyrange.Owner) []uint16 {
	var out []uint16
	for _, key := range p.keys {
		if p.ownerAfterPlan(key) == owner && p.heavy(key) {
			out = append(out, key)
		}
	}
	return out
}

// largestWithoutHeavyKey returns the ready member with the greatest capacity that is not cold
// and has no heavy key, or nil if there is none.
func (p *plan) largestWithoutHeavyKey() *bin {
	var best *bin
	for _, b := range p.ready {
		if !b.Cold && (best == nil || b.capacity() > best.capacity()) && len(p.heavyKeysOf(b.Owner)) == 0 {
			best = b
		}
	}
	return best
}

// balance moves spans from the busiest member to the least busy one until the busiest is
// near the mean. A member without a span worth moving is skipped: a single key may keep it
// busy.
func (p *plan) balance(trigger, target float64) {
	mean := p.mean()
	maxMoves, maxOpen := p.moveLimits()
	for _, b := range p.ready {
		if b.Slowed {
			maxMoves, maxOpen = maxMoves+p.config.MovesPerSlowed, maxOpen+p.config.MovesPerSlowed
		}
	}
	sources := slices.Clone(p.ready)
	for moves := 0; moves < maxMoves && p.open < maxOpen && len(sources) > 0; {
		from := slices.MaxFunc(sources, byUtilization)
		to := p.leastUtilized()
		if moves > 0 {
			trigger = target
		}
		// Under overload the noise grows with the load, so the margin scales with the mean.
		limit := max(p.config.MinUtilization, mean+trigger*max(mean, 1))
		if to == nil || from == to || from.utilization() < limit || to.utilization() >= p.config.FullUtilization {
			return
		}
		want := min(from.load-mean*from.capacity(), min(mean, p.config.FullUtilization)*to.capacity()-to.load)
		if from.Slowed {
			// The excess would leave it without requests that show its recovery.
			want /= spanExcess
		}
		span, load := p.pickSpan(from.Owner, want)
		if load < p.config.MinMoveLoad || (to.load+load)/to.capacity() > from.utilization() {
			sources = slices.DeleteFunc(sources, func(b *bin) bool { return b == from })
			continue
		}
		p.add(Change{Span: span, From: from.Owner, To: to.Owner})
		p.open++
		moves++
		from.load -= load
		to.load += load
	}
}

func byUtilization(a, b *bin) int { return cmp.Compare(a.utilization(), b.utilization()) }

func (p *plan) leastUtilized() *bin {
	var out *bin
	for _, b := range p.ready {
		if !b.Cold && (out == nil || b.utilization() < out.utilization()) {
			out = b
		}
	}
	return out
}

// spanExcess is the factor by which the load of a picked span may exceed what is wanted.
const spanExcess = 1.2

// pickSpan returns the span of owner with the highest load that is at most a fifth above want,
// and that load.
func (p *plan) pickSpan(owner keyrange.Owner, want float64) (best keyrange.Span, load float64) {
	for _, run := range stableSpans(p.in.Space.OwnedBy(owner)) {
		for _, free := range p.untouched(run) {
			i, _ := slices.BinarySearch(p.keys, free.From)
			end := i
			for end < len(p.keys) && p.keys[end] <= free.To {
				end++
			}
			if span, got := p.heaviestRun(p.keys[i:end], want*spanExcess); got > load {
				best, load = span, got
			}
		}
	}
	return best, load
}

// heaviestRun returns the run of neighbouring keys with the highest load up to limit, and that
// load. It skips heavy keys, which placeHeavy places.
func (p *plan) heaviestRun(keys []uint16, limit float64) (best keyrange.Span, load float64) {
	sum, start := 0.0, 0
	for end, key := range keys {
		if p.heavy(key) {
			sum, start = 0, end+1
			continue
		}
		sum += p.loads[key]
		for sum > limit && start <= end {
			sum -= p.loads[keys[start]]
			start++
		}
		if start <= end && sum > load {
			best, load = keyrange.Span{From: keys[start], To: key}, sum
		}
	}
	return best, load
}

// stableSpans returns the ranges without an open move, with adjacent ones joined.
func stableSpans(ranges []keyrange.Range) []keyrange.Span {
	var out []keyrange.Span
	for _, r := range ranges {
		n := len(out)
		switch {
		case r.Moving():
		case n > 0 && int(out[n-1].To)+1 == int(r.From):
			out[n-1].To = r.To
		default:
			out = append(out, r.Span)
		}
	}
	return out
}

// untouched returns the parts of s that this plan does not change yet.
func (p *plan) untouched(s keyrange.Span) []keyrange.Span {
	parts := []keyrange.Span{s}
	for _, t := range p.touched {
		var next []keyrange.Span
		for _, part := range parts {
			if !part.Overlaps(t) {
				next = append(next, part)
				continue
			}
			if part.From < t.From {
				next = append(next, keyrange.Span{From: part.From, To: t.From - 1})
			}
			if t.To < part.To {
				next = append(next, keyrange.Span{From: t.To + 1, To: part.To})
			}
		}
		parts = next
	}
	return parts
}
