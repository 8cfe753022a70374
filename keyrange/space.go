package keyrange

import "slices"

const (
	// Buckets is the number of tables of a space. More tables make the row that a change
	// writes smaller and let more changes be written at once; a transaction of the store
	// that touches all of them must still fit into its limit.
	Buckets = 32
	// bucketKeys is the number of keys of a table.
	bucketKeys = (MaxKey + 1) / Buckets
)

// Space holds the key tables of a service. Spaces are values: transitions return a
// changed copy that shares the tables that did not change.
type Space struct{ tables [Buckets]*Table }

// NewSpace returns a space in which nobody owns a key.
func NewSpace() *Space {
	s := &Space{}
	for i := range s.tables {
		s.tables[i] = New(BucketSpan(i))
	}
	return s
}

// BucketSpan returns the keys of a table.
func BucketSpan(bucket int) Span {
	return Span{From: uint16(bucket * bucketKeys), To: uint16((bucket+1)*bucketKeys - 1)}
}

// Table returns the table of a bucket.
func (s *Space) Table(bucket int) *Table { return s.tables[bucket] }

// With returns a space with another table in a bucket.
func (s *Space) With(bucket int, t *Table) *Space {
	out := *s
	out.tables[bucket] = t
	return &out
}

// Find returns the range of a key.
func (s *Space) Find(key uint16) Range { return s.tables[key/bucketKeys].Find(key) }

// Ranges returns all ranges in the order of their keys.
func (s *Space) Ranges() []Range {
	var out []Range
	for _, t := range s.tables {
		out = append(out, t.Ranges...)
	}
	return out
}

// OwnedBy returns the ranges of an owner.
func (s *Space) OwnedBy(owner Owner) []Range {
	var out []Range
	for _, t := range s.tables {
		for _, r := range t.Ranges {
			if r.Owner == owner {
				out = append(out, r)
			}
		}
	}
	return out
}

// Owners returns the owners and the targets of open moves, each once.
func (s *Space) Owners() []Owner {
	var out []Owner
	for _, t := range s.tables {
		for _, r := range t.Ranges {
			for _, o := range []Owner{r.Owner, r.Next} {
				if !o.None() && !slices.Contains(out, o) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

// Changed returns the buckets whose tables differ from those of an earlier space.
func (s *Space) Changed(earlier *Space) []int {
	var out []int
	for i := range s.tables {
		if s.tables[i] != earlier.tables[i] {
			out = append(out, i)
		}
	}
	return out
}

// Assign gives keys without an owner to owner.
func (s *Space) Assign(span Span, owner Owner) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.Assign(part, owner) })
}

// BeginMove opens a planned move from the owner to next.
func (s *Space) BeginMove(span Span, owner, next Owner) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.BeginMove(part, owner, next) })
}

// CancelMove closes a planned move; the owner keeps the keys.
func (s *Space) CancelMove(span Span) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.CancelMove(part) })
}

// Release completes a planned move as Table.Release does.
func (s *Space) Release(span Span, owner Owner, handover string) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.Release(part, owner, handover) })
}

// Drop takes all keys from an owner as Table.Drop does.
func (s *Space) Drop(owner Owner) *Space {
	return s.each(owner, func(t *Table) *Table { return t.Drop(owner) })
}

// Replace gives the keys of an owner to its next incarnation as Table.Replace does.
func (s *Space) Replace(old, next Owner) *Space {
	return s.each(old, func(t *Table) *Table { return t.Replace(old, next) })
}

func (s *Space) edit(span Span, change func(t *Table, part Span) (*Table, error)) (*Space, error) {
	out := *s
	for bucket := int(span.From) / bucketKeys; bucket <= int(span.To)/bucketKeys; bucket++ {
		whole := BucketSpan(bucket)
		part := Span{From: max(span.From, whole.From), To: min(span.To, whole.To)}
		next, err := change(out.tables[bucket], part)
		if err != nil {
			return nil, err
		}
		out.tables[bucket] = next
	}
	return &out, nil
}

func (s *Space) each(owner Owner, change func(t *Table) *Table) *Space {
	out := *s
	for i, t := range out.tables {
		if t.involves(owner) {
			out.tables[i] = change(t)
		}
	}
	return &out
}
