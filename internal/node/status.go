package node

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"
)

// nodeStatus is what an operator sees of a node at /status.
type nodeStatus struct {
	Instance  string       `json:"instance"`
	Zone      string       `json:"zone"`
	Planner   string       `json:"planner"`
	Evacuated []zoneStatus `json:"evacuated_zones"`
}

// zoneStatus is the state of an evacuated availability zone as a node sees it.
type zoneStatus struct {
	Zone string `json:"zone"`
	// Version is the store's version of the operator's row.
	Version uint64 `json:"version"`
	// Lost is set if the store went back and has no row any more; the zone is reinstated soon unless
	// the row is written again.
	Lost bool `json:"lost,omitempty"`
	// EvacuatedForMS is how long the zone has been evacuated, in milliseconds.
	EvacuatedForMS int64 `json:"evacuated_for_ms"`
	// Closed is set once its backend servers get no requests.
	Closed bool `json:"closed"`
	// Keys is the number of keys that its backend servers own, by service.
	Keys map[string]int `json:"keys"`
}

// status returns the node's status.
func (n *Node) status() nodeStatus {
	view, now := n.views.current(), n.now()
	out := nodeStatus{Instance: n.config.Instance, Zone: n.config.Zone, Planner: view.Planner.Instance, Evacuated: []zoneStatus{}}
	for _, zone := range n.evacuatedZones() {
		z, evacuated := view.Evacuated[zone]
		if !evacuated {
			continue // it was reinstated meanwhile
		}
		s := zoneStatus{Zone: zone, Version: z.Version, Lost: z.Lost, EvacuatedForMS: now.Sub(z.Since).Milliseconds(),
			Closed: n.evacuation.Closed(view.Evacuated, zone, now), Keys: map[string]int{}}
		for service, space := range view.Keys {
			for _, r := range space.Ranges() {
				if view.Members[r.Owner.Instance].Zone == zone {
					s.Keys[service] += r.Keys()
				}
			}
		}
		out.Evacuated = append(out.Evacuated, s)
	}
	return out
}

// serveStatus writes the node's status as JSON.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.status()); err != nil {
		n.log.Debug("status not sent", zap.Error(err))
	}
}
