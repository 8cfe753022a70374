package node

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

const (
	// sameZoneFanout and anyZoneFanout are the numbers of random nodes, in the sender's
	// availability zone and in any, to which a new row is sent besides the instances that it
	// affects. With three per node, a row reaches nearly all of a hundred nodes; digest
	// comparisons bring it to the rest. Traffic between availability zones is expensive.
	sameZoneFanout, anyZoneFanout = 2, 1
	// sameZoneDigestShare is the fraction of digest comparisons within the availability zone.
	sameZoneDigestShare = 0.6
	// pushDelay is how long rows are collected for one message, and forwardDelay the same
	// for rows that came from another node by gossip. pushDelay is short compared with the wait
	// for a key that moves; forwardDelay is longer, to combine several changes of a row.
	pushDelay    = 8 * time.Millisecond
	forwardDelay = 25 * time.Millisecond
	// peerMessageTimeout bounds one message to another node with rows, a digest or a relayed
	// store call.
	peerMessageTimeout = 300 * time.Millisecond
	// digestInterval is the mean time between two digest comparisons with a random node.
	digestInterval = 1500 * time.Millisecond
	// isolatedAfter is the time without a successful exchange with any other node after
	// which a node lists the store's rows itself, every isolatedPollInterval.
	isolatedAfter        = 4 * time.Second
	isolatedPollInterval = 2 * time.Second
)

// rowGossip passes the cluster's rows on from node to node, so that only the planner
// watches the store: each store call is priced, and the rate of calls must not grow with
// the number of nodes. The planner distributes all rows along a tree; see
// membership.DistributionOf.
type rowGossip struct {
	node   *Node
	log    *zap.Logger
	wakeup chan struct{}

	mu sync.Mutex
	// pending are the rows to send, and affected the instances that need them first.
	pending  map[string]pendingRow
	affected map[string]bool
	// lastContact is the time of the last successful exchange with another node.
	lastContact time.Time
}

func newRowGossip(n *Node) *rowGossip {
	return &rowGossip{node: n, log: n.log.Named("spread"), wakeup: make(chan struct{}, 1), pending: map[string]pendingRow{}, affected: map[string]bool{}, lastContact: time.Now()}
}

// pendingRow is a row to send, with how it reached this node.
type pendingRow struct {
	metastore.Row
	source membership.Source
}

// rowsMessage carries rows, requests rows, or both.
type rowsMessage struct {
	Rows []metastore.Row `cbor:"1,keyasint,omitempty"`
	// Want lists the keys of the rows that the sender requests.
	Want []string `cbor:"2,keyasint,omitempty"`
	// Relay lists the addresses of the nodes that the receiver passes the rows on to.
	Relay []string `cbor:"3,keyasint,omitempty"`
	// LeftOut are large rows that the sender has, without their values: the receiver may have the value at
	// an earlier version of the row.
	LeftOut []leftOutRow `cbor:"5,keyasint,omitempty"`
	// Source tells the receiver who else gets the rows. A message without it, as nodes of an
	// earlier release send, is membership.FromGossip.
	Source membership.Source `cbor:"4,keyasint,omitempty"`
}

// digestMessage summarizes the rows that a node has.
type digestMessage struct {
	Sum uint64 `cbor:"1,keyasint"`
	// Desired is the version of the desired state in force. After the store went back, nodes may
	// have different ones at the same version of its row.
	Desired uint64 `cbor:"3,keyasint,omitempty"`
	// Evacuations are the evacuated availability zones that the node knows.
	Evacuations *evacuationMessage `cbor:"4,keyasint,omitempty"`
	// Versions of all rows by key; only in responses to a different sum.
	Versions map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// recordContact records that another node was reached.
func (g *rowGossip) recordContact() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastContact = time.Now()
}

// isolated reports whether no other node was reached for isolatedAfter.
func (g *rowGossip) isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.lastContact) > isolatedAfter
}

// enqueue queues rows that were new to this node.
func (g *rowGossip) enqueue(rows []freshRow, source membership.Source) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Other nodes than the planner offer a desired state to others, and a large one is always fetched.
	isPlanner := g.node.views.current().Planner.Instance == g.node.config.Instance
	for _, row := range rows {
		if tableOf(row.Key) != clusterTable && (!isPlanner || isLarge(row.Row)) {
			continue
		}
		g.pending[row.Key] = pendingRow{row.Row, source}
		if source != membership.FromStore {
			continue // who wrote or read it sends it to the instances that it affects
		}
		for _, instance := range row.affected {
			g.affected[instance] = true
		}
	}
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
}

// collectDelay returns how long to collect rows for one message.
func (g *rowGossip) collectDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, row := range g.pending {
		if row.source != membership.FromGossip {
			return pushDelay
		}
	}
	return forwardDelay
}

// takePending returns the rows to send, by what is to be done with them, and the instances that
// they affect.
func (g *rowGossip) takePending(distributor string) (rows map[membership.Distribution][]metastore.Row, affected map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isDistributor := g.node.views.current().Planner.Instance == g.node.config.Instance
	rows = map[membership.Distribution][]metastore.Row{}
	for _, row := range g.pending {
		action := membership.DistributionOf(row.source, isDistributor, distributor != "")
		rows[action] = append(rows[action], row.Row)
	}
	affected = g.affected
	g.affected = map[string]bool{}
	clear(g.pending)
	return rows, affected
}

// runPush sends queued rows to other nodes.
func (g *rowGossip) runPush(ctx context.Context) {
	for {
		select {
		case <-g.wakeup:
		case <-ctx.Done():
			return
		}
		sleep(ctx, g.collectDelay())
		distributor := g.distributorAddress()
		rows, affected := g.takePending(distributor)
		g.relayToAll(ctx, rows[membership.RelayRows], affected)
		g.offer(ctx, rows[membership.OfferRows], affected, distributor)
		g.gossip(ctx, rows[membership.GossipRows], affected)
	}
}

// reachablePeer is another node that is not known to be lost.
type reachablePeer struct {
	instance, address, zone string
	// sameZone is set if it is in this node's availability zone.
	sameZone bool
	// cores is its processor share in cores; 0 if it is not known.
	cores float64
}

func (g *rowGossip) reachablePeers() []reachablePeer {
	var out []reachablePeer
	for instance, m := range g.node.views.current().Members {
		if instance != g.node.config.Instance && !g.node.peers.isLost(m.Address) {
			out = append(out, reachablePeer{instance, m.Address, m.Zone, m.Zone == g.node.config.Zone, m.Cores})
		}
	}
	return out
}

// randomTargets returns the addresses of random nodes to send a row to.
func randomTargets(others []reachablePeer) []string {
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []string
	sameZone, anyZone := sameZoneFanout, anyZoneFanout
	for _, n := range others {
		switch {
		case n.sameZone && sameZone > 0:
			sameZone--
		case anyZone > 0:
			anyZone--
		default:
			continue
		}
		out = append(out, n.address)
	}
	return out
}

// runDigests regularly compares digests with a random node and exchanges the rows that differ.
func (g *rowGossip) runDigests(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(digestInterval*4/3))
		if address := g.randomPeer(); address != "" {
			if err := g.syncWith(ctx, address); err != nil && ctx.Err() == nil {
				g.log.Debug("digests not compared", zap.String("address", address), zap.Error(err))
			}
		}
	}
}

func (g *rowGossip) randomPeer() string {
	all := g.reachablePeers()
	sameZone := slices.DeleteFunc(slices.Clone(all), func(n reachablePeer) bool { return !n.sameZone })
	if len(sameZone) > 0 && rand.Float64() < sameZoneDigestShare {
		all = sameZone
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))].address
}

// syncWith exchanges rows with another node, so that both have the newer version of each.
func (g *rowGossip) syncWith(ctx context.Context, address string) error {
	sum, versions := g.node.views.digest()
	desired, _ := g.node.views.desiredState()
	body, err := cbor.Marshal(digestMessage{Sum: sum, Desired: desired, Evacuations: g.node.views.evacuationMessage()})
	if err != nil {
		return err
	}
	data, err := g.node.post(ctx, address, digestPath, peerMessageTimeout, body)
	if err != nil {
		return err
	}
	var theirs digestMessage
	if err := cbor.Unmarshal(data, &theirs); err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	g.node.views.mergeEvacuationMessage(theirs.Evacuations)
	if theirs.Desired != desired {
		if err := g.node.desired.compare(ctx, address); err != nil {
			// A node of an earlier release does not know the message.
			g.log.Debug("desired states not compared", zap.String("address", address), zap.Error(err))
		}
	}
	if theirs.Sum == sum {
		return nil
	}
	var wanted, newer []string
	for key, version := range theirs.Versions {
		if version > versions[key] {
			wanted = append(wanted, key)
		}
	}
	slices.Sort(wanted)
	for key, version := range versions {
		if version > theirs.Versions[key] {
			newer = append(newer, key)
		}
	}
	return g.exchangeRows(ctx, address, newer, wanted)
}

// serveRows applies the rows of another node and returns those that it requests.
func (g *rowGossip) serveRows(w http.ResponseWriter, r *http.Request) {
	var message rowsMessage
	if !g.node.readCall(w, r, &message) {
		return
	}
	g.node.views.applyFromPeer(message.Source, message.Rows...)
	g.node.views.applyFromPeer(message.Source, g.node.views.ownVersions(message.LeftOut)...)
	for _, group := range membership.RelayGroups(message.Relay, relayFanout) {
		// The sender's request ends with the response.
		go g.relay(context.WithoutCancel(r.Context()), message.Rows, group)
	}
	g.node.writeCallResponse(w, rowsMessage{Rows: firstBatch(g.node.views.rowsOf(message.Want)), LeftOut: g.node.views.leftOutOf(message.Want)})
}

// serveDigest compares the digest of another node with that of this one.
func (g *rowGossip) serveDigest(w http.ResponseWriter, r *http.Request) {
	var message digestMessage
	if !g.node.readCall(w, r, &message) {
		return
	}
	evacuations := g.node.views.answerEvacuations(message.Evacuations)
	sum, versions := g.node.views.digest()
	if sum == message.Sum {
		versions = nil
	}
	desired, _ := g.node.views.desiredState()
	g.node.writeCallResponse(w, digestMessage{Sum: sum, Desired: desired, Evacuations: evacuations, Versions: versions})
}

// digest returns a sum over all rows, which is equal on nodes that have the same versions,
// and the version of each row.
func (s *viewStore) digest() (uint64, map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[string]uint64, len(s.rows))
	sum := uint64(0)
	var buffer []byte
	for key, row := range s.rows {
		versions[key] = row.Version
		buffer = binary.LittleEndian.AppendUint64(append(buffer[:0], key...), row.Version)
		sum ^= xxhash.Sum64(buffer)
	}
	return sum, versions
}

// rowsOf returns the rows with the given keys that this node has, but for large ones, which are fetched
// in parts.
func (s *viewStore) rowsOf(keys []string) []metastore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []metastore.Row
	for _, key := range keys {
		if row, ok := s.rows[key]; ok && !isLarge(row) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b metastore.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}
