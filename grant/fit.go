package grant

import "slices"

// fit returns the grants of a reply that is within the limit, in their order, and how many were left out. Those that
// the backend server holds already come first, so that it doesn't lose them; then handovers are left out before
// grants, because a cold key is better than none.
func (c Config) fit(grants []Grant, held func(Grant) bool) (out []Grant, omitted int) {
	if c.GrantBytes == nil {
		return grants, 0
	}
	left := c.MaxReplyBytes
	for _, g := range grants {
		left -= c.GrantBytes(g)
	}
	if left >= 0 {
		return grants, 0
	}
	order := make([]int, len(grants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return rank(held(grants[a])) - rank(held(grants[b])) })
	left = c.MaxReplyBytes
	fits := make([]bool, len(grants))
	for _, i := range order {
		bare := grants[i]
		bare.Handover = ""
		if size := c.GrantBytes(bare); size <= left {
			left -= size
			fits[i] = true
		}
	}
	for i, g := range grants {
		if !fits[i] {
			omitted++
			continue
		}
		bare := g
		bare.Handover = ""
		if extra := c.GrantBytes(g) - c.GrantBytes(bare); extra <= left {
			left -= extra
			bare = g
		}
		out = append(out, bare)
	}
	return out, omitted
}

func rank(held bool) int {
	if held {
		return 0
	}
	return 1
}
