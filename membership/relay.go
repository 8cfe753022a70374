package membership

// RelayGroups divides addresses into at most fanout groups of nearly equal size, in order. The
// first of each group gets a message and passes it on to the rest of its group in the same way.
// Every address thus gets the message once, after about log n / log fanout hops, and no sender
// sends more than fanout messages.
func RelayGroups(addresses []string, fanout int) [][]string {
	count := min(fanout, len(addresses))
	groups := make([][]string, 0, count)
	for i := range count {
		groups = append(groups, addresses[i*len(addresses)/count:(i+1)*len(addresses)/count])
	}
	return groups
}

// RelayTarget is a node that gets a message.
type RelayTarget struct{ Address, Zone string }

// ZoneRelayGroups divides the targets of a message into groups whose first member passes it on:
// those in the sender's availability zone into at most fanout groups, and those of each other zone
// into one, because traffic between availability zones is expensive. It keeps the order of targets.
func ZoneRelayGroups(targets []RelayTarget, zone string, fanout int) [][]string {
	byZone := map[string][]string{}
	var zones []string
	for _, t := range targets {
		if _, known := byZone[t.Zone]; !known {
			zones = append(zones, t.Zone)
		}
		byZone[t.Zone] = append(byZone[t.Zone], t.Address)
	}
	var groups [][]string
	for _, z := range zones {
		if z == zone {
			groups = append(groups, RelayGroups(byZone[z], fanout)...)
		} else {
			groups = append(groups, byZone[z])
		}
	}
	return groups
}
