package cli

import (
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

// writeDiff prints the desired entries that differ from the current ones. Entries that
// are only in current are not listed, because apply does not change them.
func writeDiff(w io.Writer, o *options, current, desired []*basilwayv1.CatalogueEntry) error {
	currentByService := make(map[string]*basilwayv1.CatalogueEntry, len(current))
	for _, e := range current {
		currentByService[e.Service] = e
	}
	changed := &basilwayv1.GetEntriesResponse{}
	for _, e := range desired {
		if !sameContent(currentByService[e.Service], e) {
			changed.Entries = append(changed.Entries, e)
		}
	}
	if o.json() {
		return writeJSON(w, changed)
	}
	for _, e := range changed.Entries {
		if old := currentByService[e.Service]; old != nil {
			fmt.Fprintf(w, "- %s: owner %s, class %s, limits %s\n", old.Service, old.Owner, old.Class, limitsText(old))
		}
		fmt.Fprintf(w, "+ %s: owner %s, class %s, limits %s\n", e.Service, e.Owner, e.Class, limitsText(e))
	}
	return nil
}

func sameContent(a, b *basilwayv1.CatalogueEntry) bool {
	if a == nil {
		return false
	}
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.Version, y.Version = 0, 0
	if x.Limits == nil {
		x.Limits = &basilwayv1.Limits{}
	}
	if y.Limits == nil {
		y.Limits = &basilwayv1.Limits{}
	}
	return proto.Equal(x, y)
}
