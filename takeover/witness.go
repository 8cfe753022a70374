package takeover

// Witness is a node that can be asked.
type Witness struct {
	Address, Zone string
}

// ChooseWitnesses returns up to n of the candidates, as evenly from their availability zones as
// possible. Within a zone, and among zones, the first ones are preferred; callers shuffle the candidates.
func ChooseWitnesses(candidates []Witness, n int) []Witness {
	var zones []string
	byZone := map[string][]Witness{}
	for _, w := range candidates {
		if len(byZone[w.Zone]) == 0 {
			zones = append(zones, w.Zone)
		}
		byZone[w.Zone] = append(byZone[w.Zone], w)
	}
	n = min(n, len(candidates))
	out := make([]Witness, 0, n)
	for round := 0; len(out) < n; round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(out) < n {
				out = append(out, byZone[zone][round])
			}
		}
	}
	return out
}
