package node

import (
	"context"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

const (
	// relayFanout is the number of nodes of its availability zone to which a node sends rows that
	// are distributed to all.
	relayFanout = 12
	// maxRelayTries is the number of nodes of a group that are tried if the first does not answer.
	maxRelayTries = 3
	// maxAffectedTargets is the number of instances that get a change of their keys directly;
	// changes that affect more reach them about as soon along the tree.
	maxAffectedTargets = 16
)

// distributorAddress returns the address of the planner, which distributes rows, or "" if it is
// not known, is this node or cannot be reached.
func (g *rowGossip) distributorAddress() string {
	view := g.node.views.current()
	m, ok := view.Members[view.Planner.Instance]
	if !ok || view.Planner.Instance == g.node.config.Instance || g.node.peers.isLost(m.Address) {
		return ""
	}
	return m.Address
}

// relayToAll sends rows to all nodes along a tree, and directly to the instances that they affect.
func (g *rowGossip) relayToAll(ctx context.Context, rows []metastore.Row, affected map[string]bool) {
	if len(rows) == 0 {
		return
	}
	var targets []membership.RelayTarget
	for _, p := range g.reachablePeers() {
		targets = append(targets, membership.RelayTarget{Address: p.address, Zone: p.zone})
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, address := range g.affectedAddresses(affected) {
		go g.sendAll(ctx, address, rows, membership.FromRelay)
	}
	for _, group := range membership.ZoneRelayGroups(targets, g.node.config.Zone, relayFanout) {
		go g.relay(ctx, rows, group)
	}
}

// relay sends rows to the first node of a group that answers, which passes them on to the rest.
func (g *rowGossip) relay(ctx context.Context, rows []metastore.Row, group []string) {
	for _, batch := range batchRows(rows) {
		g.relayBatch(ctx, batch, group)
	}
}

func (g *rowGossip) relayBatch(ctx context.Context, rows []metastore.Row, group []string) {
	for try := 0; try < maxRelayTries && len(group) > 0; try++ {
		if g.send(ctx, group[0], rowsMessage{Rows: rows, Relay: group[1:], Source: membership.FromRelay}) {
			return
		}
		group = group[1:]
	}
}

// offer sends rows to the node that distributes them, and to the instances that they affect. If the
// former does not answer, they travel by gossip.
func (g *rowGossip) offer(ctx context.Context, rows []metastore.Row, affected map[string]bool, distributor string) {
	if len(rows) == 0 {
		return
	}
	for _, address := range g.affectedAddresses(affected) {
		if address != distributor {
			go g.sendAll(ctx, address, rows, membership.FromRelay)
		}
	}
	go func() {
		if !g.sendAll(ctx, distributor, rows, membership.FromOffer) {
			g.gossip(ctx, rows, nil)
		}
	}()
}

// gossip sends rows to the instances that they affect and to some random nodes.
func (g *rowGossip) gossip(ctx context.Context, rows []metastore.Row, affected map[string]bool) {
	if len(rows) == 0 {
		return
	}
	for _, address := range g.targets(affected) {
		go g.sendAll(ctx, address, rows, membership.FromGossip)
	}
}

// sendAll sends rows to a node, one message after the other, and reports whether all arrived.
func (g *rowGossip) sendAll(ctx context.Context, address string, rows []metastore.Row, source membership.Source) bool {
	for _, batch := range batchRows(rows) {
		if !g.send(ctx, address, rowsMessage{Rows: batch, Source: source}) {
			return false
		}
	}
	return true
}

// send sends a message with rows to a node and reports whether it arrived. What does not arrive,
// a later comparison of versions delivers.
func (g *rowGossip) send(ctx context.Context, address string, message rowsMessage) bool {
	body, err := cbor.Marshal(message)
	if err != nil {
		g.log.Error("rows cannot be encoded", zap.Error(err))
		return true // no other node would get them either
	}
	if _, err := g.node.post(ctx, address, rowsPath, peerMessageTimeout, body); err != nil {
		g.log.Debug("rows not delivered", zap.String("address", address), zap.Error(err))
		return false
	}
	return true
}

// affectedAddresses returns the addresses of the affected instances that can be reached, or none if
// there are more than maxAffectedTargets.
func (g *rowGossip) affectedAddresses(affected map[string]bool) []string {
	if len(affected) > maxAffectedTargets {
		return nil
	}
	var out []string
	for _, p := range g.reachablePeers() {
		if affected[p.instance] {
			out = append(out, p.address)
		}
	}
	return out
}

// targets returns the addresses of the affected instances and of some random ones.
func (g *rowGossip) targets(affected map[string]bool) []string {
	var first []string
	var others []reachablePeer
	for _, n := range g.reachablePeers() {
		if affected[n.instance] {
			first = append(first, n.address)
		} else {
			others = append(others, n)
		}
	}
	return append(first, randomTargets(others)...)
}
