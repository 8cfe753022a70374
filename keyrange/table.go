package keyrange

import (
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Errors of the transitions. They mean that the decision was based on an outdated view.
var (
	ErrNotOwner = errors.New("keys are not owned by that backend server")
	ErrOwned    = errors.New("keys already have an owner")
	ErrMoving   = errors.New("a move of the keys is already in progress")
)

// Table holds the ranges of a part of a service's key space, sorted and without gaps. The
// zero Table is not valid; use New or Decode. Transitions leave a table unchanged and
// return a modified copy.
type Table struct {
	// NextFence is the fencing token for the next change of owner.
	NextFence uint64
	Ranges    []Range
	// Generation is the generation of the store in which the table was last changed.
	Generation uint64
	// Base identifies the content of an earlier generation that the table was derived from:
	// its version, with the generation in which that content was written.
	Base uint64
}

// New returns a table of a span in which no key has an owner.
func New(s Span) *Table {
	return &Table{NextFence: 1, Ranges: []Range{{Span: s, Confirmed: true}}}
}

// ChangedOwners returns the owners and move targets of the ranges that differ from an earlier
// table, or of all ranges if earlier is nil.
func (t *Table) ChangedOwners(earlier *Table) []Owner {
	var out []Owner
	for _, r := range t.Ranges {
		if earlier != nil && earlier.Find(r.From) == r {
			continue
		}
		for _, o := range []Owner{r.Owner, r.Next} {
			if !o.IsZero() && !slices.Contains(out, o) {
				out = append(out, o)
			}
		}
	}
	return out
}

// Find returns the range that contains key.
func (t *Table) Find(key uint16) Range {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	return t.Ranges[i]
}

// Assign gives keys that have no owner to owner.
func (t *Table) Assign(s Span, owner Owner) (*Table, error) {
	return t.edit(s, func(r *Range, fence uint64) error {
		if !r.Owner.IsZero() {
			return ErrOwned
		}
		*r = Range{Span: r.Span, Owner: owner, Fence: fence, Confirmed: true}
		return nil
	})
}

// BeginMove starts a planned move from owner to next.
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

// CancelMove cancels a planned move; the owner keeps the keys.
func (t *Table) CancelMove(s Span) (*Table, error) {
	return t.edit(s, func(r *Range, _ uint64) error {
		r.Next = Owner{}
		return nil
	})
}

// Release completes a planned move after owner has stopped holding the keys. handover is
// the owner's token; without one the keys are cold on the next owner.
func (t *Table) Release(s Span, owner Owner, handover string) (*Table, error) {
	return t.edit(s, func(r *Range, fence uint64) error {
		if r.Owner != owner || !r.Moving() {
			return ErrNotOwner
		}
		*r = Range{Span: r.Span, Owner: r.Next, Fence: fence, Handover: handover, Confirmed: true}
		return nil
	})
}

// Drop takes all keys from an owner that can no longer run requests: its backend server
// ended, its hold expired, or its daemon lost its lease. Moves from the owner are completed
// without a handover, moves to it are cancelled. Ranges that are not confirmed stay so: after the
// store went back, the owner that the table shows may not be the last one.
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
		*r = Range{Span: r.Span, Owner: r.Next, Confirmed: r.Confirmed}
		if !r.Owner.IsZero() {
			r.Fence = out.issueFence()
		}
	}
	out.merge()
	return out
}

// Replace gives the keys and pending moves of an owner that ended to the next incarnation
// on its instance.
func (t *Table) Replace(old, next Owner) *Table {
	out := t.clone()
	for i := range out.Ranges {
		r := &out.Ranges[i]
		if r.Next == old {
			r.Next = next
		}
		if r.Owner == old {
			r.Owner, r.Fence, r.Handover, r.Confirmed = next, out.issueFence(), "", true
		}
	}
	return out
}

// involves reports whether owner owns keys or is the target of a move in progress.
func (t *Table) involves(owner Owner) bool {
	return slices.ContainsFunc(t.Ranges, func(r Range) bool { return r.Owner == owner || r.Next == owner })
}

func (t *Table) clone() *Table {
	return &Table{NextFence: t.NextFence, Ranges: slices.Clone(t.Ranges), Generation: t.Generation, Base: t.Base}
}

func (t *Table) issueFence() uint64 {
	t.NextFence++
	return t.NextFence - 1
}

// edit splits the ranges at the bounds of s and applies change to those within s, with one
// new fencing token for all of them.
func (t *Table) edit(s Span, change func(r *Range, fence uint64) error) (*Table, error) {
	if s.To < s.From {
		return nil, fmt.Errorf("span %d to %d is empty", s.From, s.To)
	}
	out := t.clone()
	out.splitAt(int(s.From))
	out.splitAt(int(s.To) + 1)
	fence := out.issueFence()
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

// merge joins adjacent ranges that differ only in their keys.
func (t *Table) merge() {
	out := t.Ranges[:0]
	for _, r := range t.Ranges {
		if n := len(out); n > 0 && sameExceptSpan(out[n-1], r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	t.Ranges = out
}

func sameExceptSpan(a, b Range) bool {
	a.Span = b.Span
	return a == b
}
