package placement

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/keyrange"
)

// Input is what a plan is made from.
type Input struct {
	Space   *keyrange.Space
	Members []Member
	// Loads is the load of each key in slots of nominal speed, as of Config.Window, and
	// SlowLoads as of Config.SlowWindow; nil until that has passed.
	Loads, SlowLoads map[uint16]float64
	// Balance allows moves for balance only.
	Balance bool
}

// Plan returns the changes to make next, or none: keys without an owner are assigned, keys
// of draining members are moved away, and then keys are moved from the busiest members to
// the least busy ones. All of them fill members up to the mean utilization.
//
// It answers ranges of neighbouring keys that become hot together within a second: such a
// range is cut by load, not by the number of keys, and handed to several members at once.
func Plan(in Input, config Config) []Change {
	p := newPlan(in, config)
	if len(p.ready) == 0 {
		return nil
	}
	p.assignUnowned()
	p.emptyDraining()
	if in.Balance {
		p.placeHeavy()
		p.balance(config.Trigger, config.Settle)
	}
	if in.Balance && in.SlowLoads != nil && len(p.changes) == 0 {
		in.Loads = in.SlowLoads
		p = newPlan(in, config)
		p.balance(config.SlowTrigger, config.SlowSettle)
	}
	return p.changes
}

// bin is a member with its expected load.
type bin struct {
	Member
	load float64
}

func (b *bin) utilization() float64 { return b.load / b.capacity() }

type plan struct {
	config  Config
	in      Input
	keys    []uint16 // with load, ascending
	perKey  float64  // idle cost of a key
	bins    map[keyrange.Owner]*bin
	ready   []*bin
	open    int
	changes []Change
	touched []keyrange.Span
}

func newPlan(in Input, config Config) *plan {
	p := &plan{config: config, in: in, bins: map[keyrange.Owner]*bin{}}
	total := 0.0
	for _, m := range in.Members {
		b := &bin{Member: m}
		p.bins[m.Owner] = b
		if !m.Draining {
			p.ready = append(p.ready, b)
			total += m.capacity()
		}
	}
	slices.SortFunc(p.ready, func(a, b *bin) int { return cmp.Compare(a.Owner.Instance, b.Owner.Instance) })
	p.perKey = config.IdleCost * total / (keyrange.MaxKey + 1)
	for key := range in.Loads {
		p.keys = append(p.keys, key)
	}
	slices.Sort(p.keys)
	for _, r := range in.Space.Ranges() {
		if r.Moving() {
			p.open++
		}
		if b := p.bins[target(r)]; b != nil {
			b.load += p.load(r.Span)
		}
	}
	return p
}

// target is who owns the range once its open move is completed.
func target(r keyrange.Range) keyrange.Owner {
	if r.Moving() {
		return r.Next
	}
	return r.Owner
}

func (p *plan) load(s keyrange.Span) float64 {
	sum := p.perKey * float64(s.Keys())
	i, _ := slices.BinarySearch(p.keys, s.From)
	for ; i < len(p.keys) && p.keys[i] <= s.To; i++ {
		sum += p.in.Loads[p.keys[i]]
	}
	return sum
}

// mean is the utilization if all load were spread evenly over the ready members.
func (p *plan) mean() float64 {
	capacity := 0.0
	for _, b := range p.ready {
		capacity += b.capacity()
	}
	return p.load(keyrange.Span{From: 0, To: keyrange.MaxKey}) / capacity
}

func (p *plan) assignUnowned() {
	for _, r := range p.in.Space.Ranges() {
		if r.Owner.None() {
			p.spread(r.Span, keyrange.Owner{})
		}
	}
}

func (p *plan) emptyDraining() {
	for _, r := range p.in.Space.Ranges() {
		if b := p.bins[r.Owner]; b != nil && b.Draining && !r.Moving() {
			p.spread(r.Span, r.Owner)
		}
	}
}

// spread divides a span over the ready members with the most room.
func (p *plan) spread(s keyrange.Span, from keyrange.Owner) {
	mean := p.mean()
	for {
		b := p.roomiest(mean)
		end := s.To
		if room := mean*b.capacity() - b.load; room < p.load(s) {
			end = p.cut(s, room)
		}
		part := keyrange.Span{From: s.From, To: end}
		p.add(Change{Span: part, From: from, To: b.Owner})
		b.load += p.load(part)
		if end == s.To {
			return
		}
		s.From = end + 1
	}
}

func (p *plan) roomiest(mean float64) *bin {
	return slices.MaxFunc(p.ready, func(a, b *bin) int {
		return cmp.Compare(mean*a.capacity()-a.load, mean*b.capacity()-b.load)
	})
}

// cut returns the last key of the longest start of s whose load is at most limit, and at
// least the first key.
func (p *plan) cut(s keyrange.Span, limit float64) uint16 {
	sum := 0.0
	i, _ := slices.BinarySearch(p.keys, s.From)
	for key := int(s.From); key <= int(s.To); key++ {
		sum += p.perKey
		if i < len(p.keys) && int(p.keys[i]) == key {
			sum += p.in.Loads[p.keys[i]]
			i++
		}
		if sum > limit {
			return uint16(max(key-1, int(s.From)))
		}
	}
	return s.To
}

func (p *plan) add(c Change) {
	p.changes = append(p.changes, c)
	p.touched = append(p.touched, c.Span)
}

// placeHeavy moves keys that are heavier than their member to the member with the greatest
// capacity, if that serves clearly more of them. The other keys of either member leave by
// balance.
func (p *plan) placeHeavy() {
	best := slices.MaxFunc(p.ready, func(a, b *bin) int { return cmp.Compare(a.capacity(), b.capacity()) })
	for _, key := range p.keys {
		load := p.in.Loads[key]
		r := p.in.Space.Find(key)
		from := p.bins[r.Owner]
		if from == nil || from.Draining || r.Moving() || load <= from.capacity() || best.Cold {
			continue
		}
		if best.capacity() < p.config.HeavyGain*from.capacity() || p.heavyOn(best.Owner) {
			continue
		}
		p.add(Change{Span: keyrange.Span{From: key, To: key}, From: r.Owner, To: best.Owner})
		from.load -= load
		best.load += load
	}
}

// heavyOn reports whether owner has, or is to get, a key that fills it.
func (p *plan) heavyOn(owner keyrange.Owner) bool {
	for _, key := range p.keys {
		if p.in.Loads[key] > p.bins[owner].capacity() && target(p.in.Space.Find(key)) == owner {
			return true
		}
	}
	return slices.ContainsFunc(p.changes, func(c Change) bool { return c.To == owner && c.From != c.To && c.Span.Keys() == 1 })
}

// balance moves spans from the busiest member to the least busy one until the busiest is
// near the mean.
func (p *plan) balance(trigger, settle float64) {
	mean := p.mean()
	maxMoves := max(p.config.MaxMoves, int(p.config.MovesPerMember*float64(len(p.ready))))
	maxOpen := max(p.config.MaxOpen, int(p.config.OpenPerMember*float64(len(p.ready))))
	for moves := 0; moves < maxMoves && p.open < maxOpen; moves++ {
		from := slices.MaxFunc(p.ready, byUtilization)
		to := p.coldest()
		if moves > 0 {
			trigger = settle
		}
		if to == nil || from == to || from.utilization() < max(p.config.Busy, mean+trigger) {
			return
		}
		want := min(from.load-mean*from.capacity(), mean*to.capacity()-to.load)
		span, load := p.pick(from.Owner, want)
		if load < p.config.MinGain || to.load+load > from.load {
			return
		}
		p.add(Change{Span: span, From: from.Owner, To: to.Owner})
		p.open++
		from.load -= load
		to.load += load
	}
}

func byUtilization(a, b *bin) int { return cmp.Compare(a.utilization(), b.utilization()) }

func (p *plan) coldest() *bin {
	var out *bin
	for _, b := range p.ready {
		if !b.Cold && (out == nil || b.utilization() < out.utilization()) {
			out = b
		}
	}
	return out
}

// pick returns the span of owner whose load is closest to want without exceeding it by
// more than a fifth, and that load. Among equals the one with fewer keys wins, as it
// comes from the hottest part.
func (p *plan) pick(owner keyrange.Owner, want float64) (best keyrange.Span, load float64) {
	const excess = 1.2
	for _, run := range settledRuns(p.in.Space.OwnedBy(owner)) {
		for _, free := range p.untouched(run) {
			i, _ := slices.BinarySearch(p.keys, free.From)
			end := i
			for end < len(p.keys) && p.keys[end] <= free.To {
				end++
			}
			if span, got := p.window(p.keys[i:end], want*excess); got > load {
				best, load = span, got
			}
		}
	}
	return best, load
}

// window returns the run of keys with the highest load up to limit.
func (p *plan) window(keys []uint16, limit float64) (best keyrange.Span, load float64) {
	sum, start := 0.0, 0
	for end, key := range keys {
		sum += p.in.Loads[key]
		for sum > limit && start <= end {
			sum -= p.in.Loads[keys[start]]
			start++
		}
		if start <= end && sum > load {
			best, load = keyrange.Span{From: keys[start], To: key}, sum
		}
	}
	return best, load
}

// settledRuns joins neighbouring ranges without an open move.
func settledRuns(ranges []keyrange.Range) []keyrange.Span {
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

// untouched returns the parts of s that this plan has not moved yet.
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
