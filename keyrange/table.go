package keyrange

import (
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Errors of the transitions. They mean that the view behind the decision is out of date.
var (
	ErrNotOwner = errors.New("keys are not owned by that backend server")
	ErrOwned    = errors.New("keys are owned")
	ErrMoving   = errors.New("a move of the keys is open")
)

// Table holds the ranges of a part of a service's key space, sorted, without gaps. The
// zero Table is not valid; use New or Decode. Tables are values: transitions return a
// changed copy.
type Table struct {
	// NextFence is the fencing token of the next change of owner.
	NextFence uint64
	Ranges    []Range
}

// New returns a table of a span in which nobody owns a key.
func New(s Span) *Table { return &Table{NextFence: 1, Ranges: []Range{{Span: s}}} }

// Changed returns who owns, or is to get, the ranges that are not the same in an earlier
// table.
func (t *Table) Changed(earlier *Table) []Owner {
	var out []Owner
	for _, r := range t.Ranges {
		if earlier != nil && earlier.Find(r.From) == r {
			continue
		}
		for _, o := range []Owner{r.Owner, r.Next} {
			if !o.None() && !slices.Contains(out, o) {
				out = append(out, o)
			}
		}
	}
	return out
}

// Find returns the range of a key.
func (t *Table) Find(key uint16) Range {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	return t.Ranges[i]
}

// Assign gives keys without an owner to owner.
func (t *Table) Assign(s Span, owner Owner) (*Table, error) {
	return t.edit(s, func(r *Range, fence uint64) error {
		if !r.Owner.None() {
			return ErrOwned
		}
		*r = Range{Span: r.Span, Owner: owner, Fence: fence}
		return nil
	})
}

// BeginMove opens a planned move from the owner to next.
func (t *Table) BeginMove(s Span, owner, next Owner) (*Table, error) {
	return t.edit(s, func(r *Range, _ uint64) error {
		if r.Owner != owner || owner == next {
			return ErrNotOwner
		}
		if r.Moving() {
			return ErrMoving
		}
		r.Next = next
		return nil
	})
}

// CancelMove closes a planned move; the owner keeps the keys.
func (t *Table) CancelMove(s Span) (*Table, error) {
	return t.edit(s, func(r *Range, _ uint64) error {
		r.Next = Owner{}
		return nil
	})
}

// Release completes a planned move after owner no longer holds the keys. handover is the
// owner's token; without one the keys are cold on the next owner.
func (t *Table) Release(s Span, owner Owner, handover string) (*Table, error) {
	return t.edit(s, func(r *Range, fence uint64) error {
		if r.Owner != owner || !r.Moving() {
			return ErrNotOwner
		}
		*r = Range{Span: r.Span, Owner: r.Next, Fence: fence, Handover: handover}
		return nil
	})
}

// Drop takes all keys from an owner that can no longer run requests: its backend server
// ended, its hold ran out, or its daemon lost its lease. Open moves are completed without
// a hand-over.
func (t *Table) Drop(owner Owner) *Table {
	out := t.clone()
	for i := range out.Ranges {
		r := &out.Ranges[i]
		if r.Next == owner {
			r.Next = Owner{}
		}
		if r.Owner != owner {
			continue
		}
		*r = Range{Span: r.Span, Owner: r.Next}
		if !r.Owner.None() {
			r.Fence = out.takeFence()
		}
	}
	out.merge()
	return out
}

// Replace gives the keys of an owner that ended to the next incarnation on its instance.
func (t *Table) Replace(old, next Owner) *Table {
	out := t.clone()
	for i := range out.Ranges {
		r := &out.Ranges[i]
		if r.Next == old {
			r.Next = next
		}
		if r.Owner == old {
			r.Owner, r.Fence, r.Handover = next, out.takeFence(), ""
		}
	}
	return out
}

// involves reports whether owner owns keys or is the target of an open move.
func (t *Table) involves(owner Owner) bool {
	return slices.ContainsFunc(t.Ranges, func(r Range) bool { return r.Owner == owner || r.Next == owner })
}

func (t *Table) clone() *Table {
	return &Table{NextFence: t.NextFence, Ranges: slices.Clone(t.Ranges)}
}

func (t *Table) takeFence() uint64 {
	t.NextFence++
	return t.NextFence - 1
}

// edit applies change to the ranges of s, split at its ends.
func (t *Table) edit(s Span, change func(r *Range, fence uint64) error) (*Table, error) {
	if s.To < s.From {
		return nil, fmt.Errorf("span %d to %d is empty", s.From, s.To)
	}
	out := t.clone()
	out.splitAt(int(s.From))
	out.splitAt(int(s.To) + 1)
	fence := out.takeFence()
	for i := range out.Ranges {
		if !s.Covers(out.Ranges[i].Span) {
			continue
		}
		if err := change(&out.Ranges[i], fence); err != nil {
			return nil, fmt.Errorf("keys %d to %d: %w", s.From, s.To, err)
		}
	}
	out.merge()
	return out, nil
}

func (t *Table) splitAt(key int) {
	for i, r := range t.Ranges {
		if int(r.From) < key && key <= int(r.To) {
			left, right := r, r
			left.To, right.From = uint16(key-1), uint16(key)
			t.Ranges = slices.Replace(t.Ranges, i, i+1, left, right)
			return
		}
	}
}

// merge joins neighbours that differ in nothing but their keys.
func (t *Table) merge() {
	out := t.Ranges[:0]
	for _, r := range t.Ranges {
		if n := len(out); n > 0 && same(out[n-1], r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	t.Ranges = out
}

func same(a, b Range) bool {
	a.Span = b.Span
	return a == b
}
