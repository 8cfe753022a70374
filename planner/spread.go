package planner

// spread opens moves to members that own few keys of a service that is almost idle.
// There is no load to balance by then, but when load comes it should not find all keys
// on the member that joined first. Members over Config.Idle are balanced by load alone.
func (v *view) spread() {
	n := v.staying()
	if n < 2 || v.mean >= v.cfg.Idle || v.known < minKnown {
		return
	}
	widths := v.widths()
	fair := 1 / v.slots
	limit := max(v.cfg.MinOpenMoves, int(v.cfg.OpenMoves*float64(n)))
	for v.openMoves < limit {
		to, from := v.narrowest(widths, fair), v.widest(widths)
		if to == noMember || from == noMember {
			return
		}
		u := v.widestFit(from, to, widths, fair)
		if u == nil {
			return
		}
		v.beginMove(u, to)
		widths[from] -= u.width
		widths[to] += u.width
	}
}

// widths returns the share of the hash space that each member has when open moves are
// done.
func (v *view) widths() []float64 {
	out := make([]float64, len(v.members))
	v.each(func(u *unitView) {
		if u.owner != noMember {
			out[u.holder()] += u.width
		}
	})
	return out
}

// narrowest returns the member with the least share for its slots that is under Low.
func (v *view) narrowest(widths []float64, fair float64) int {
	best := noMember
	for i := range v.members {
		m := &v.members[i]
		if !m.eligible || m.use(widths[i]) >= v.cfg.Low*fair*m.limit {
			continue
		}
		if best == noMember || m.use(widths[i]) < v.members[best].use(widths[best]) {
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
		if best == noMember || m.use(widths[i]) > v.members[best].use(widths[best]) {
			best = i
		}
	}
	return best
}

// widestFit returns the widest range of from that leaves it with no less than to has
// afterwards, and to under its ceiling.
func (v *view) widestFit(from, to int, widths []float64, fair float64) *unitView {
	f, t := &v.members[from], &v.members[to]
	var best *unitView
	for _, u := range f.units {
		after := t.use(widths[to] + u.width)
		if u.id.Hot || u.moving() || after > fair*v.cfg.Ceiling*t.limit || f.use(widths[from]-u.width) < after {
			continue
		}
		if best == nil || u.width > best.width {
			best = u
		}
	}
	return best
}
