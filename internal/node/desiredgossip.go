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
// others again. By the first offer, nodes that the store answers have it already, so that the row is only
// sent to those that lack it.
var offerDelays = []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// announceDelays are the pauses if the desired state is large. Others are then only told that it is there.
var announceDelays = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond}

// offersPerRound is the number of nodes that a new desired state is offered to at once.
const offersPerRound = 3

// desiredStateGossip brings new desired states and evacuations of availability zones to nodes that the store does not answer.
type desiredStateGossip struct {
	node   *Node
	log    *zap.Logger
	wakeup chan struct{}
}

func newDesiredStateGossip(n *Node) *desiredStateGossip {
	return &desiredStateGossip{node: n, log: n.log.Named("desired"), wakeup: make(chan struct{}, 1)}
}

// desiredStateMessage tells which desired state a node has.
type desiredStateMessage struct {
	// Version is 0 if the node has none.
	Version uint64 `cbor:"1,keyasint"`
	// Row is sent if the other node is known to have an earlier version, unless the row is large: the
	// other node then fetches it.
	Row *metastore.Row `cbor:"2,keyasint,omitempty"`
	// Evacuations are the evacuated availability zones that the node knows.
	Evacuations *evacuationMessage `cbor:"3,keyasint,omitempty"`
	// Address is where the sender can be asked for its desired state. Nodes of an earlier release, which
	// don't fetch, don't send it.
	Address string `cbor:"4,keyasint,omitempty"`
	// Size is the size in bytes of the sender's desired state.
	Size int `cbor:"5,keyasint,omitempty"`
}

// sendsWhole reports whether a desired state is sent whole to a node. address is that of its message.
func sendsWhole(row metastore.Row, address string) bool {
	return !isLarge(row) || address == ""
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
	delays := offerDelays
	if _, row := g.node.views.desiredState(); isLarge(row) {
		delays = announceDelays
	}
	for round, delay := range delays {
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
// instances form a ring in an order that differs for each version, and each offers to others at the same
// distances along it, so that each gets offers from as many. The distances are far apart: a version that a
// few nodes have reaches all others over a few hops.
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
	step := ringStep(len(followers))
	for i := range min(offersPerRound, len(followers)) {
		out = append(out, followers[(round*offersPerRound+i)*step%len(followers)].address)
	}
	return out
}

// ringStep returns the distance between two nodes that follow each other in the offers along a ring. Its
// multiples meet all nodes, and the first few are spread over the ring.
func ringStep(size int) int {
	const goldenSection = 0.382
	step := max(int(goldenSection*float64(size)), 1)
	for gcd(step, size) > 1 {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// compare makes sure that this node and the one at address have the newer desired state of both.
func (g *desiredStateGossip) compare(ctx context.Context, address string) error {
	version, row := g.node.views.desiredState()
	own := g.node.config.PeerAddress
	theirs, err := g.send(ctx, address, desiredStateMessage{Version: version, Evacuations: g.node.views.evacuationMessage(), Address: own, Size: len(row.Value)})
	if err != nil {
		return err
	}
	g.node.views.mergeEvacuationMessage(theirs.Evacuations)
	g.node.freshness.heard(theirs.Version)
	if theirs.Row != nil {
		g.node.views.applyFromPeer(membership.FromRelay, *theirs.Row)
	}
	g.node.fetcher.heard(theirs.Version, address)
	if theirs.Version < version && sendsWhole(row, theirs.Address) {
		_, err = g.send(ctx, address, desiredStateMessage{Version: version, Row: &row, Address: own})
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
	response := desiredStateMessage{Evacuations: g.node.views.answerEvacuations(message.Evacuations), Address: g.node.config.PeerAddress}
	g.node.freshness.heard(message.Version)
	if message.Row != nil {
		g.node.views.applyFromPeer(membership.FromRelay, *message.Row)
	}
	version, row := g.node.views.desiredState()
	if message.Size > maxWholeRow {
		g.node.fetcher.heard(message.Version, message.Address)
	}
	if response.Version = version; version > message.Version && sendsWhole(row, message.Address) {
		response.Row = &row
	}
	g.node.writeCallResponse(w, response)
}
