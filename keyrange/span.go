package keyrange

// MaxKey is the highest key.
const MaxKey = 65535

// Span is the range of keys From to To, both included.
type Span struct {
	From uint16 `cbor:"1,keyasint"`
	To   uint16 `cbor:"2,keyasint"`
}

// Contains reports whether key is in the span.
func (s Span) Contains(key uint16) bool { return s.From <= key && key <= s.To }

// Covers reports whether all keys of other are in the span.
func (s Span) Covers(other Span) bool { return s.From <= other.From && other.To <= s.To }

// Overlaps reports whether the spans share a key.
func (s Span) Overlaps(other Span) bool { return s.From <= other.To && other.From <= s.To }

// Keys returns the number of keys in the span.
func (s Span) Keys() int { return int(s.To) - int(s.From) + 1 }
