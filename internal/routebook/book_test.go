package routebook

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
	book := New(memory.New(memory.Rates{}, 1))
	none, err := book.Get(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none.Version).To(BeZero())
	g.Expect(book.Apply(t.Context(), document("/a/"))).To(BeEquivalentTo(1))
	seen, err := book.Get(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(book.Apply(t.Context(), document("/b/"))).To(BeEquivalentTo(2))
	seen.Routes[0].Prefix = "/c/"
	_, err = book.Apply(t.Context(), seen)
	g.Expect(err).To(MatchError(ErrChanged))
	_, err = book.Apply(t.Context(), document("c"))
	g.Expect(err).To(MatchError(ContainSubstring("prefix")))
	now, err := book.Get(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(now.Routes[0].Prefix).To(Equal("/b/"))
}

// Guards against an edit that is reported as failed although it took effect.
func TestEditWithLostResponseIsReadBack(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	book := New(store)
	store.SetFaults(memory.Faults{LostAnswers: 1})
	g.Expect(book.Apply(t.Context(), document("/a/"))).To(BeEquivalentTo(1))
	store.SetFaults(memory.Faults{Down: true})
	_, err := book.Apply(t.Context(), document("/b/"))
	g.Expect(err).To(HaveOccurred())
}
