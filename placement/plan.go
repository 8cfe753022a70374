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
	config Config
	in     Input
	keys   []uint16 // with load, ascending
	// loads is the load of each key up to the capacity of its member: what is beyond can be
	// served nowhere and must not look like work for others.
	loads  map[uint16]float64
	perKey float64 // idle cost of a key
	bins   map[keyrange.Owner]*bin
	ready  []*bin
	// placed are the new owners of heavy keys that this plan moves.
	placed  map[uint16]keyrange.Owner
	open    int
	changes []Change
	touched []keyrange.Span
}

func newPlan(in Input, config Config) *plan {
	p := &plan{config: config, in: in, bins: map[keyrange.Owner]*bin{}, loads: map[uint16]float64{}, placed: map[uint16]keyrange.Owner{}}
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
	for key, load := range in.Loads {
		if b := p.bins[target(in.Space.Find(key))]; b != nil {
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
		sum += p.loads[p.keys[i]]
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
			sum += p.loads[p.keys[i]]
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
// capacity that has none, if that serves clearly more of them or if two of them share a
// member. The other keys of either member leave by balance.
func (p *plan) placeHeavy() {
	for _, key := range p.keys {
		r := p.in.Space.Find(key)
		from := p.bins[r.Owner]
		if from == nil || from.Draining || r.Moving() || !p.heavy(key) {
			continue
		}
		best := p.roomForHeavy()
		if best == nil || best.capacity() < p.config.HeavyGain*from.capacity() && len(p.heavyOn(from.Owner)) < 2 {
			continue
		}
		p.add(Change{Span: keyrange.Span{From: key, To: key}, From: r.Owner, To: best.Owner})
		from.load -= p.loads[key]
		p.loads[key] = min(p.in.Loads[key], best.capacity())
		best.load += p.loads[key]
		p.placed[key] = best.Owner
	}
}

// heavy reports whether a key alone fills the member that has it.
func (p *plan) heavy(key uint16) bool {
	b := p.bins[p.holder(key)]
	return b != nil && p.in.Loads[key] > b.capacity()
}

// holder is who owns a key once the moves of this plan are completed.
func (p *plan) holder(key uint16) keyrange.Owner {
	if owner, moved := p.placed[key]; moved {
		return owner
	}
	return target(p.in.Space.Find(key))
}

// heavyOn returns the keys of owner that are each heavier than it.
func (p *plan) heavyOn(owner keyrange.Owner) []uint16 {
	var out []uint16
	for _, key := range p.keys {
		if p.holder(key) == owner && p.heavy(key) {
			out = append(out, key)
		}
	}
	return out
}

// roomForHeavy returns the member with the greatest capacity among those without a heavy
// key; nil if there is none.
func (p *plan) roomForHeavy() *bin {
	var best *bin
	for _, b := range p.ready {
		if !b.Cold && (best == nil || b.capacity() > best.capacity()) && len(p.heavyOn(b.Owner)) == 0 {
			best = b
		}
	}
	return best
}

// balance moves spans from the busiest member to the least busy one until the busiest is
// near the mean. A member that has nothing to give is passed over: one key alone may keep it
// busy.
func (p *plan) balance(trigger, settle float64) {
	mean := p.mean()
	maxMoves := max(p.config.MaxMoves, int(p.config.MovesPerMember*float64(len(p.ready))))
	maxOpen := max(p.config.MaxOpen, int(p.config.OpenPerMember*float64(len(p.ready))))
	givers := slices.Clone(p.ready)
	for moves := 0; moves < maxMoves && p.open < maxOpen && len(givers) > 0; {
		from := slices.MaxFunc(givers, byUtilization)
		to := p.coldest()
		if moves > 0 {
			trigger = settle
		}
		// Under overload the noise of the loads grows with them.
		limit := max(p.config.Busy, mean+trigger*max(mean, 1))
		if to == nil || from == to || from.utilization() < limit || to.utilization() >= p.config.Full {
			return
		}
		want := min(from.load-mean*from.capacity(), min(mean, p.config.Full)*to.capacity()-to.load)
		span, load := p.pick(from.Owner, want)
		if load < p.config.MinGain || (to.load+load)/to.capacity() > from.utilization() {
			givers = slices.DeleteFunc(givers, func(b *bin) bool { return b == from })
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

// window returns the run of keys with the highest load up to limit. Heavy keys stay where
// placeHeavy puts them.
func (p *plan) window(keys []uint16, limit float64) (best keyrange.Span, load float64) {
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
