package membership

// Source is how a row that is new to a node reached it.
type Source uint8

const (
	// FromGossip is a row from a node that sends it to random nodes, which do the same.
	FromGossip Source = iota
	// FromStore is a row that the node itself wrote to the store or read there.
	FromStore
	// FromOffer is a row from a node that leaves its distribution to this one.
	FromOffer
	// FromRelay is a row that another node distributes to all.
	FromRelay
	// FromComparison is a row that a comparison of versions with another node brought.
	FromComparison
)

// Distribution is what a node does with rows that were new to it.
type Distribution uint8

const (
	// KeepRows passes the rows on to nobody.
	KeepRows Distribution = iota
	// OfferRows sends the rows to the distributor, and to the instances that they affect.
	OfferRows
	// RelayRows sends the rows to all nodes along a tree.
	RelayRows
	// GossipRows sends the rows to random nodes.
	GossipRows
)

// DistributionOf decides what a node does with new rows. One node, the distributor, sends all rows
// to all others, so that each gets them once and a burst of changes costs few messages. While the
// node knows no distributor that it can reach, rows travel by gossip. A row is new to a node only
// once, so nodes that disagree on the distributor do not send it in circles.
func DistributionOf(source Source, distributor, distributorReachable bool) Distribution {
	switch {
	case distributor:
		return RelayRows
	case source == FromRelay:
		return KeepRows
	case !distributorReachable:
		return GossipRows
	case source == FromComparison:
		return KeepRows
	default:
		return OfferRows
	}
}
