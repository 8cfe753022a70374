package membership

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestNewRowsAreDistributedByOneNode(t *testing.T) {
	sources := []Source{FromGossip, FromStore, FromOffer, FromRelay, FromComparison}
	for _, c := range []struct {
		distributor, reachable bool
		want                   []Distribution
	}{
		{true, true, []Distribution{RelayRows, RelayRows, RelayRows, RelayRows, RelayRows}},
		{false, true, []Distribution{OfferRows, OfferRows, OfferRows, KeepRows, KeepRows}},
		{false, false, []Distribution{GossipRows, GossipRows, GossipRows, KeepRows, GossipRows}},
	} {
		for i, source := range sources {
			NewWithT(t).Expect(DistributionOf(source, c.distributor, c.reachable)).To(Equal(c.want[i]), "source %d, %+v", source, c)
		}
	}
}
