package routestore

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/metastore/memory"
)

func document(prefix string) httproute.Document {
	return httproute.Document{
		Services: []httproute.ServiceDocument{{Name: "booking"}},
		Routes: []httproute.RouteDocument{{
			Name: "r", Host: "shop.example", Prefix: prefix, Kind: "idempotent", TimeoutMS: 1000,
			Destinations: []httproute.DestinationDocument{{Service: "booking", Weight: 1}},
		}},
	}
}

// Guards against an edit that overwrites another one that its author has not seen, and
// against storing an invalid document.
func TestEditsOfOldVersionsAreRejected(t *testing.T) {
	g := NewWithT(t)
	store := New(memory.New(memory.Rates{}, 1))
	none, err := store.Get(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none.Version).To(BeZero())
	g.Expect(store.Apply(t.Context(), document("/a/"))).To(BeEquivalentTo(1))
	seen, err := store.Get(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.Apply(t.Context(), document("/b/"))).To(BeEquivalentTo(2))
	seen.Routes[0].Prefix = "/c/"
	_, err = store.Apply(t.Context(), seen)
	g.Expect(err).To(MatchError(ErrChanged))
	_, err = store.Apply(t.Context(), document("c"))
	g.Expect(err).To(MatchError(ContainSubstring("prefix")))
	now, err := store.Get(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(now.Routes[0].Prefix).To(Equal("/b/"))
}

// Guards against an edit that is reported as failed although it took effect.
func TestEditWithLostResponseIsReadBack(t *testing.T) {
	g := NewWithT(t)
	table := memory.New(memory.Rates{}, 1)
	store := New(table)
	table.SetFaults(memory.Faults{LostResponses: 1})
	g.Expect(store.Apply(t.Context(), document("/a/"))).To(BeEquivalentTo(1))
	table.SetFaults(memory.Faults{Down: true})
	_, err := store.Apply(t.Context(), document("/b/"))
	g.Expect(err).To(HaveOccurred())
}
