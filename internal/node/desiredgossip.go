package node

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

// offerDelays are the pauses before a new desired state is offered to some other nodes, and to
// others again. By the first offer, nodes that the store answers have it already, so that the row,
// which may have 64 KiB, is only sent to those that lack it.
var offerDelays = []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// offersPerRound is the number of nodes that a new desired state is offered to at once.
const offersPerRound = 3

// desiredStateGossip brings new desired states and evacuations of availability zones to nodes that the store does not answer.
type desiredStateGossip struct {
	node   *Node
	log    *zap.Logger
	wakeup chan struct{}
	behind desiredBehind
}

func newDesiredStateGossip(n *Node) *desiredStateGossip {
	log := n.log.Named("desired")
	return &desiredStateGossip{node: n, log: log, wakeup: make(chan struct{}, 1), behind: desiredBehind{log: log}}
}

// desiredStateMessage tells which desired state a node has.
type desiredStateMessage struct {
	// Version is 0 if the node has none.
	Version uint64 `cbor:"1,keyasint"`
	// Row is sent if the other node is known to have an earlier version.
	Row *metastore.Row `cbor:"2,keyasint,omitempty"`
	// Evacuations are the evacuated availability zones that the node knows.
	Evacuations *evacuationMessage `cbor:"3,keyasint,omitempty"`
}

// notify starts the offers of a new desired state or of changed evacuations. It does not block.
func (g *desiredStateGossip) notify() {
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
}

// run offers each new desired state to other nodes.
func (g *desiredStateGossip) run(ctx context.Context) {
	for {
		select {
		case <-g.wakeup:
		case <-ctx.Done():
			return
		}
		g.offer(ctx)
	}
}

// offer offers the desired state until a newer one arrives.
func (g *desiredStateGossip) offer(ctx context.Context) {
	for round, delay := range offerDelays {
		sleep(ctx, jitter(2*delay))
		version, _ := g.node.views.desiredState()
		var sent sync.WaitGroup
		for _, address := range offerTargets(g.node.gossip.reachablePeers(), g.node.config.Instance, version, round) {
			sent.Go(func() {
				if err := g.compare(ctx, address); err != nil && ctx.Err() == nil {
					g.log.Debug("desired state not offered", zap.String("address", address), zap.Error(err))
				}
			})
		}
		sent.Wait()
		if ctx.Err() != nil || len(g.wakeup) > 0 {
			return
		}
	}
}

// offerTargets returns the addresses of the nodes that a node offers a version to in a round. The
// instances form a ring in an order that differs for each version, and each offers to those that
// follow it, so that each gets offers from as many.
func offerTargets(peers []reachablePeer, self string, version uint64, round int) []string {
	position := func(instance string) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(instance), version))
	}
	type follower struct {
		address  string
		distance uint64 // along the ring
	}
	own := position(self)
	var followers []follower
	for _, p := range peers {
		followers = append(followers, follower{p.address, position(p.instance) - own}) // wraps around
	}
	slices.SortFunc(followers, func(a, b follower) int { return cmp.Compare(a.distance, b.distance) })
	var out []string
	for i := range min(offersPerRound, len(followers)) {
		out = append(out, followers[(round*offersPerRound+i)%len(followers)].address)
	}
	return out
}

// compare makes sure that this node and the one at address have the newer desired state of both.
func (g *desiredStateGossip) compare(ctx context.Context, address string) error {
	version, row := g.node.views.desiredState()
	theirs, err := g.send(ctx, address, desiredStateMessage{Version: version, Evacuations: g.node.views.evacuationMessage()})
	if err != nil {
		return err
	}
	g.node.views.mergeEvacuationMessage(theirs.Evacuations)
	g.behind.heard(theirs.Version, address, time.Now())
	if theirs.Row != nil {
		g.node.views.applyFromPeer(membership.FromRelay, *theirs.Row)
	}
	if theirs.Version < version {
		_, err = g.send(ctx, address, desiredStateMessage{Version: version, Row: &row})
	}
	return err
}

func (g *desiredStateGossip) send(ctx context.Context, address string, message desiredStateMessage) (response desiredStateMessage, err error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return response, err
	}
	data, err := g.node.post(ctx, address, desiredStatePath, peerMessageTimeout, body)
	if err != nil {
		return response, err
	}
	if err := cbor.Unmarshal(data, &response); err != nil {
		return response, fmt.Errorf("decode desired state: %w", err)
	}
	return response, nil
}

// serve compares the desired state of another node with that of this one.
func (g *desiredStateGossip) serve(w http.ResponseWriter, r *http.Request) {
	var message desiredStateMessage
	if !g.node.readCall(w, r, &message) {
		return
	}
	response := desiredStateMessage{Evacuations: g.node.views.answerEvacuations(message.Evacuations)}
	g.behind.heard(message.Version, r.RemoteAddr, time.Now())
	if message.Row != nil {
		g.node.views.applyFromPeer(membership.FromRelay, *message.Row)
	}
	version, row := g.node.views.desiredState()
	if response.Version = version; version > message.Version {
		response.Row = &row
	}
	g.node.writeCallResponse(w, response)
}
