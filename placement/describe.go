package placement

import "fmt"

// Describe returns one line per member for logs: its load, capacity and number of ranges.
func Describe(in Input) []string {
	p := newPlan(in, Config{})
	out := make([]string, 0, len(in.Members))
	for _, m := range in.Members {
		out = append(out, fmt.Sprintf("%s load %.2f capacity %.2f ranges %d", m.Owner.Instance, p.bins[m.Owner].load, m.capacity(), len(in.Space.OwnedBy(m.Owner))))
	}
	return out
}
