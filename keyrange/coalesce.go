package keyrange

// Coalesce joins adjacent ranges of owner that match, under a new fencing token. Each move splits ranges, and the parts
// keep fencing tokens of their own, so that they are never joined otherwise. The joined range has no handover: matches
// must hold only for ranges that owner has taken over already. Ranges that move are left alone.
func (t *Table) Coalesce(owner Owner, matches func(Range) bool) *Table {
	joins := func(r Range) bool { return r.Owner == owner && !r.Moving() && r.Confirmed && matches(r) }
	out := t.clone()
	out.Ranges = make([]Range, 0, len(t.Ranges))
	open, joined := false, false // whether the last range may be joined, and whether it has been
	for _, r := range t.Ranges {
		fits := joins(r)
		if !open || !fits {
			out.Ranges = append(out.Ranges, r)
			open, joined = fits, false
			continue
		}
		last := &out.Ranges[len(out.Ranges)-1]
		last.To = r.To
		if !joined {
			last.Fence, last.Handover, joined = out.issueFence(), "", true
		}
	}
	if len(out.Ranges) == len(t.Ranges) {
		return t
	}
	return out
}

// Coalesce joins the ranges of owner like Table.Coalesce.
func (s *Space) Coalesce(owner Owner, matches func(Range) bool) *Space {
	return s.updateTablesOf(owner, func(t *Table) *Table { return t.Coalesce(owner, matches) })
}
