package keyrange

import "cmp"

// firstFenceShift makes the fencing tokens of a generation greater than all that a table may
// have issued in earlier ones.
const firstFenceShift = 24

// InGeneration returns the table as it is changed in a generation of the store: with the
// first change in a later generation no range is confirmed, and all new fencing tokens are
// above those of earlier generations. base identifies the present content.
func (t *Table) InGeneration(generation, base uint64) *Table {
	if generation <= t.Generation {
		return t
	}
	out := t.clone()
	out.Generation, out.Base = generation, base
	out.NextFence = max(out.NextFence, generation<<firstFenceShift)
	for i := range out.Ranges {
		out.Ranges[i].Confirmed = false
	}
	out.merge()
	return out
}

// SettledIn reports whether r, a range of the table, was recorded in a generation of the store.
func (t *Table) SettledIn(generation uint64, r Range) bool {
	return t.Generation >= generation && r.Confirmed
}

// Confirm records that the owner of r, a range of the table, still owns it.
func (t *Table) Confirm(r Range) *Table {
	out := t.clone()
	for i := range out.Ranges {
		if out.Ranges[i].Span == r.Span {
			out.Ranges[i].Confirmed = true
		}
	}
	out.merge()
	return out
}

// Renew gives the owner of r, a range of the table, a new fencing token, and confirms it. It is
// for an owner that doesn't know whether it held the keys all the time.
func (t *Table) Renew(r Range) *Table {
	out := t.clone()
	for i := range out.Ranges {
		if out.Ranges[i].Span == r.Span {
			out.Ranges[i].Fence, out.Ranges[i].Handover, out.Ranges[i].Confirmed = out.issueFence(), "", true
		}
	}
	out.merge()
	return out
}

// Join returns the table with those ranges of an earlier generation's table that have higher
// fencing tokens, unconfirmed.
func (t *Table) Join(earlier *Table) *Table {
	out := t.clone()
	for _, e := range earlier.Ranges {
		out.splitAt(int(e.From))
		out.splitAt(int(e.To) + 1)
	}
	for i := range out.Ranges {
		r := &out.Ranges[i]
		if e := earlier.Find(r.From); cmp.Less(r.Fence, e.Fence) {
			e.Span, e.Confirmed = r.Span, false
			*r = e
		}
	}
	out.NextFence = max(out.NextFence, earlier.NextFence)
	out.merge()
	return out
}

// Rewrite returns a copy of the space in which the table of a bucket counts as changed.
func (s *Space) Rewrite(bucket int) *Space { return s.With(bucket, s.tables[bucket].clone()) }

// InGeneration returns the space with all its tables as they are changed in a generation.
// bases holds what identifies the present content of each table.
func (s *Space) InGeneration(generation uint64, bases [Buckets]uint64) *Space {
	out := *s
	for i, t := range out.tables {
		out.tables[i] = t.InGeneration(generation, bases[i])
	}
	return &out
}

// SettledIn reports whether the range that contains key was recorded in a generation.
func (s *Space) SettledIn(generation uint64, key uint16) bool {
	t := s.tables[key/bucketKeys]
	return t.SettledIn(generation, t.Find(key))
}

// Confirm records that the owners of the ranges that match still own them.
func (s *Space) Confirm(matches func(Range) bool) *Space {
	return s.editRanges(matches, (*Table).Confirm)
}

// Renew gives the owners of the ranges that match new fencing tokens.
func (s *Space) Renew(matches func(Range) bool) *Space { return s.editRanges(matches, (*Table).Renew) }

func (s *Space) editRanges(matches func(Range) bool, edit func(*Table, Range) *Table) *Space {
	out := *s
	for i, t := range s.tables {
		for _, r := range t.Ranges {
			if matches(r) {
				out.tables[i] = edit(out.tables[i], r)
			}
		}
	}
	return &out
}

// Hide returns a copy in which the ranges that match have no owner. It is a basis for
// decisions and must not be written.
func (s *Space) Hide(matches func(Range) bool) *Space {
	out := *s
	for i, t := range s.tables {
		for j, r := range t.Ranges {
			if !matches(r) {
				continue
			}
			if out.tables[i] == t {
				out.tables[i] = t.clone()
			}
			out.tables[i].Ranges[j] = Range{Span: r.Span}
		}
	}
	return &out
}
