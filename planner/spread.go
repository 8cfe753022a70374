package planner

// spreadIdle opens moves to members that own few keys of an almost idle service. There is
// no load to balance then, but when load comes, not all keys should be on the member that
// joined first. Services above Config.IdleLoad are balanced by load alone.
func (v *view) spreadIdle() {
	n := v.stayingMembers()
	if n < 2 || v.mean >= v.cfg.IdleLoad || v.knownShare < minKnownShare {
		return
	}
	widths := v.widths()
	fairWidth := 1 / v.slots
	limit := max(v.cfg.MinOpenMoveLimit, int(v.cfg.MaxOpenMoveShare*float64(n)))
	for v.openMoves < limit {
		to, from := v.narrowest(widths, fairWidth), v.widest(widths)
		if to == noMember || from == noMember {
			return
		}
		u := v.widestFit(from, to, widths, fairWidth)
		if u == nil {
			return
		}
		v.beginMove(u, to)
		widths[from] -= u.width
		widths[to] += u.width
	}
}

// widths returns the share of the hash space that each member owns once the open moves
// are complete.
func (v *view) widths() []float64 {
	out := make([]float64, len(v.members))
	v.eachUnit(func(u *unitView) {
		if u.owner != noMember {
			out[u.nextOwner()] += u.width
		}
	})
	return out
}

// narrowest returns the member with the smallest share per slot among the eligible ones
// below FillThreshold, or noMember.
func (v *view) narrowest(widths []float64, fairWidth float64) int {
	best := noMember
	for i := range v.members {
		m := &v.members[i]
		if !m.eligible || m.perSlot(widths[i]) >= v.cfg.FillThreshold*fairWidth*m.warmShare {
			continue
		}
		if best == noMember || m.perSlot(widths[i]) < v.members[best].perSlot(widths[best]) {
			best = i
		}
	}
	return best
}

func (v *view) widest(widths []float64) int {
	best := noMember
	for i := range v.members {
		m := &v.members[i]
		if m.leaving {
			continue
		}
		if best == noMember || m.perSlot(widths[i]) > v.members[best].perSlot(widths[best]) {
			best = i
		}
	}
	return best
}

// widestFit returns the widest range that may move between the two members, or nil. After
// the move, from must own at least as much per slot as to, and to must be within its ceiling.
func (v *view) widestFit(from, to int, widths []float64, fairWidth float64) *unitView {
	f, t := &v.members[from], &v.members[to]
	var best *unitView
	for _, u := range f.units {
		after := t.perSlot(widths[to] + u.width)
		if u.id.Hot || u.moving() || after > fairWidth*v.cfg.Ceiling*t.warmShare || f.perSlot(widths[from]-u.width) < after {
			continue
		}
		if best == nil || u.width > best.width {
			best = u
		}
	}
	return best
}
