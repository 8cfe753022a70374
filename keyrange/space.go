package keyrange

import "slices"

const (
	// Buckets is the number of tables of a space. With more tables a change writes a
	// smaller row and more changes can be written at the same time; a transaction of the
	// store that touches all tables must still fit into the store's limit.
	Buckets = 32
	// bucketKeys is the number of keys per table.
	bucketKeys = (MaxKey + 1) / Buckets
)

// Space holds the key tables of a service. Transitions leave a space unchanged and return a
// modified copy that shares the unchanged tables.
type Space struct{ tables [Buckets]*Table }

// NewSpace returns a space in which no key has an owner.
func NewSpace() *Space {
	s := &Space{}
	for i := range s.tables {
		s.tables[i] = New(BucketSpan(i))
	}
	return s
}

// BucketSpan returns the span of a bucket's table.
func BucketSpan(bucket int) Span {
	return Span{From: uint16(bucket * bucketKeys), To: uint16((bucket+1)*bucketKeys - 1)}
}

// Table returns the table of a bucket.
func (s *Space) Table(bucket int) *Table { return s.tables[bucket] }

// With returns a copy of the space with t as the table of a bucket.
func (s *Space) With(bucket int, t *Table) *Space {
	out := *s
	out.tables[bucket] = t
	return &out
}

// Find returns the range that contains key.
func (s *Space) Find(key uint16) Range { return s.tables[key/bucketKeys].Find(key) }

// Ranges returns all ranges in key order.
func (s *Space) Ranges() []Range {
	var out []Range
	for _, t := range s.tables {
		out = append(out, t.Ranges...)
	}
	return out
}

// OwnedBy returns the ranges that owner owns.
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

// Owners returns the owners and the targets of moves in progress, each once.
func (s *Space) Owners() []Owner {
	var out []Owner
	for _, t := range s.tables {
		for _, r := range t.Ranges {
			for _, o := range []Owner{r.Owner, r.Next} {
				if !o.IsZero() && !slices.Contains(out, o) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

// ChangedBuckets returns the buckets whose tables are not shared with an earlier space.
func (s *Space) ChangedBuckets(earlier *Space) []int {
	var out []int
	for i := range s.tables {
		if s.tables[i] != earlier.tables[i] {
			out = append(out, i)
		}
	}
	return out
}

// Assign gives keys that have no owner to owner.
func (s *Space) Assign(span Span, owner Owner) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.Assign(part, owner) })
}

// BeginMove starts a planned move from owner to next.
func (s *Space) BeginMove(span Span, owner, next Owner) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.BeginMove(part, owner, next) })
}

// CancelMove cancels a planned move; the owner keeps the keys.
func (s *Space) CancelMove(span Span) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.CancelMove(part) })
}

// Release completes a planned move like Table.Release.
func (s *Space) Release(span Span, owner Owner, handover string) (*Space, error) {
	return s.edit(span, func(t *Table, part Span) (*Table, error) { return t.Release(part, owner, handover) })
}

// Drop takes all keys from an owner like Table.Drop.
func (s *Space) Drop(owner Owner) *Space {
	return s.updateTablesOf(owner, func(t *Table) *Table { return t.Drop(owner) })
}

// Replace gives the keys of an owner to its next incarnation like Table.Replace.
func (s *Space) Replace(old, next Owner) *Space {
	return s.updateTablesOf(old, func(t *Table) *Table { return t.Replace(old, next) })
}

func (s *Space) edit(span Span, change func(t *Table, part Span) (*Table, error)) (*Space, error) {
	out := *s
	for bucket := int(span.From) / bucketKeys; bucket <= int(span.To)/bucketKeys; bucket++ {
		tableSpan := BucketSpan(bucket)
		part := Span{From: max(span.From, tableSpan.From), To: min(span.To, tableSpan.To)}
		next, err := change(out.tables[bucket], part)
		if err != nil {
			return nil, err
		}
		out.tables[bucket] = next
	}
	return &out, nil
}

func (s *Space) updateTablesOf(owner Owner, change func(t *Table) *Table) *Space {
	out := *s
	for i, t := range out.tables {
		if t.involves(owner) {
			out.tables[i] = change(t)
		}
	}
	return &out
}
