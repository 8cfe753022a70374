package node

import (
	"github.com/basilway/basilway/verdict"
)

// evacuatedGate returns why no request may be sent to m's backend server because its availability zone
// is evacuated, or nil.
func (n *Node) evacuatedGate(view *View, m Member, t ticket) *verdict.Error {
	now := n.now()
	if !n.evacuation.Closed(view.Evacuated, m.Zone, now) {
		return nil
	}
	reason := verdict.ReasonEvacuated
	if space, ok := view.Keys[t.service]; t.sharded && ok && space.Find(t.key).Moving() {
		reason = verdict.ReasonDraining // the next owner may have the key within the caller's time
	}
	err := verdict.New(verdict.NotRun, reason, "availability zone %s is evacuated", m.Zone)
	return err.WithRetryAfter(n.evacuation.RetryAfter(view.Evacuated, m.Zone, now))
}

// evacuatedService returns why no request of a service can be served because all its availability
// zones are evacuated, or nil.
func (n *Node) evacuatedService(view *View, service string) *verdict.Error {
	if len(view.Evacuated) == 0 {
		return nil
	}
	var zones []string
	for _, m := range view.ServiceMembers(service) {
		if m.State != BackendDown {
			zones = append(zones, m.Zone)
		}
	}
	if !view.Evacuated.CoverAll(zones) {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all availability zones of %s are evacuated", service)
	return err.WithRetryAfter(n.evacuation.RetryAfterAll())
}

// zoneGate returns why the evacuation of the node's own availability zone forbids a request to the
// backend server, or nil. b.mu must be held.
func (b *backend) zoneGate(t ticket) *verdict.Error {
	n := b.node
	if !n.evacuation.Enabled() {
		return nil
	}
	view := n.views.current()
	switch {
	case !view.EvacuationsKnown:
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "it is not known yet whether the availability zone is evacuated").WithRetryAfter(notReadyRetryAfter)
	case b.evacuated && !view.Evacuated.Leaving(n.config.Zone):
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "the availability zone is being reinstated").WithRetryAfter(notReadyRetryAfter)
	}
	return n.evacuatedGate(view, Member{Zone: n.config.Zone}, t)
}

// beginEvacuation records that the backend server's availability zone is evacuated.
func (b *backend) beginEvacuation() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = true
}

// endEvacuation lets the backend server get requests again. It may have become cold meanwhile.
func (b *backend) endEvacuation() {
	b.forgetColdState()
	b.mu.Lock()
	b.evacuated = false
	b.mu.Unlock()
	b.changed.notify()
}
