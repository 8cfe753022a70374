package node

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/basilway/basilway/evacuation"
)

// runEvacuations logs the begin and end of evacuations and tells the backend about those of its own
// availability zone.
func (n *Node) runEvacuations(ctx context.Context) {
	log := n.log.Named("evacuation")
	var before evacuation.Zones
	unknown := map[string]bool{}
	for ctx.Err() == nil {
		view, changed := n.views.get()
		for _, zone := range slices.Sorted(maps.Keys(view.Evacuated)) {
			z := view.Evacuated[zone]
			if !before.Leaving(zone) {
				log.Warn("availability zone evacuated", zap.String("zone", zone), zap.Uint64("version", z.Version),
					zap.Bool("own zone", zone == n.config.Zone), zap.Duration("age", n.now().Sub(z.Since)))
				n.metrics.countEvacuation("begin")
			}
			if view.Listed && !unknown[zone] && !n.knowsZone(view, zone) {
				unknown[zone] = true
				log.Warn("evacuated availability zone is not known and changes nothing", zap.String("zone", zone), zap.Uint64("version", z.Version))
			}
		}
		for _, zone := range slices.Sorted(maps.Keys(before)) {
			if !view.Evacuated.Leaving(zone) {
				log.Warn("availability zone reinstated", zap.String("zone", zone), zap.Uint64("version", n.views.evacuationAsOf(zone)),
					zap.Uint64("row version", before[zone].Version), zap.Bool("own zone", zone == n.config.Zone))
				n.metrics.countEvacuation("end")
			}
		}
		switch own := n.config.Zone; {
		case view.Evacuated.Leaving(own) && !before.Leaving(own):
			n.backend.beginEvacuation()
		case !view.Evacuated.Leaving(own) && before.Leaving(own):
			n.backend.endEvacuation()
		}
		before = view.Evacuated
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// knowsZone reports whether the settings or a member name an availability zone.
func (n *Node) knowsZone(view *View, zone string) bool {
	if _, configured := n.config.Zones[zone]; configured || zone == n.config.Zone {
		return true
	}
	for _, m := range view.Members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}

// evacuatedZones returns the known availability zones that are evacuated, in order.
func (n *Node) evacuatedZones() []string {
	view := n.views.current()
	var out []string
	for _, zone := range slices.Sorted(maps.Keys(view.Evacuated)) {
		if n.knowsZone(view, zone) {
			out = append(out, zone)
		}
	}
	return out
}

// evacuationAsOf returns the version of the store at which the state of a zone was last known.
func (s *viewStore) evacuationAsOf(zone string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.set.AsOf(zone)
}
