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

	"github.com/basilway/basilway/metastore"
)

const (
	// sameZoneFanout and anyZoneFanout are the numbers of random nodes, in the own
	// availability zone and in any, to which a new row is sent besides the instances that it
	// affects. Three reach nearly all nodes of a hundred; the digest comparison reaches the
	// rest. Traffic between availability zones is expensive.
	sameZoneFanout, anyZoneFanout = 2, 1
	// sameZoneDigestShare is the fraction of digest comparisons within the availability zone.
	sameZoneDigestShare = 0.6
	// pushDelay is how long rows are collected for one message, and forwardDelay the same
	// for rows that came from another node. pushDelay is short compared with the wait for a
	// key that moves; forwardDelay is longer, to combine several changes of a row.
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
// the number of nodes.
type rowGossip struct {
	node *Node
	log  *zap.Logger
	kick chan struct{}

	mu sync.Mutex
	// pending are the rows to send, and affected the instances that need them first.
	pending  map[string]metastore.Row
	affected map[string]bool
	// forwarded is set while all pending rows came from other nodes.
	forwarded bool
	// lastContact is the time of the last successful exchange with another node.
	lastContact time.Time
}

func newRowGossip(n *Node) *rowGossip {
	return &rowGossip{node: n, log: n.log.Named("spread"), kick: make(chan struct{}, 1), pending: map[string]metastore.Row{}, affected: map[string]bool{}, lastContact: time.Now()}
}

// rowsMessage carries rows, requests rows, or both.
type rowsMessage struct {
	Rows []metastore.Row `cbor:"1,keyasint,omitempty"`
	// Want lists the keys of the rows that the sender requests.
	Want []string `cbor:"2,keyasint,omitempty"`
}

// digestMessage summarizes the rows that a node has.
type digestMessage struct {
	Sum uint64 `cbor:"1,keyasint"`
	// Versions of all rows by key; only in responses to a different sum.
	Versions map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// contact records that another node was reached.
func (s *rowGossip) contact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact = time.Now()
}

// isolated reports whether no other node was reached for isolatedAfter.
func (s *rowGossip) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastContact) > isolatedAfter
}

// enqueue queues rows that were new to this node. The instances that a change affects get
// it from the nodes that wrote it or read it from the store; other nodes only forward it to
// random nodes.
func (s *rowGossip) enqueue(rows []freshRow, forwarded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarded = forwarded && (s.forwarded || len(s.pending) == 0)
	for _, row := range rows {
		if tableOf(row.Key) != clusterTable {
			continue
		}
		s.pending[row.Key] = row.Row
		if forwarded {
			continue
		}
		for _, instance := range row.affected {
			s.affected[instance] = true
		}
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// runPush sends queued rows to other nodes.
func (s *rowGossip) runPush(ctx context.Context) {
	for {
		select {
		case <-s.kick:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		delay := pushDelay
		if s.forwarded {
			delay = forwardDelay
		}
		s.mu.Unlock()
		sleep(ctx, delay)
		s.mu.Lock()
		rows := make([]metastore.Row, 0, len(s.pending))
		for _, row := range s.pending {
			rows = append(rows, row)
		}
		affected := s.affected
		s.affected = map[string]bool{}
		clear(s.pending)
		s.mu.Unlock()
		if len(rows) == 0 {
			continue
		}
		body, err := cbor.Marshal(rowsMessage{Rows: rows})
		if err != nil {
			s.log.Error("rows cannot be encoded", zap.Error(err))
			continue
		}
		for _, address := range s.targets(affected) {
			go s.push(ctx, address, body)
		}
	}
}

func (s *rowGossip) push(ctx context.Context, address string, body []byte) {
	if _, err := s.node.post(ctx, address, rowsPath, peerMessageTimeout, body); err != nil {
		// A later digest comparison delivers them.
		s.log.Debug("rows not delivered", zap.String("address", address), zap.Error(err))
	}
}

// targets returns the addresses of the affected instances and of some random ones.
func (s *rowGossip) targets(affected map[string]bool) []string {
	var first []string
	var others []reachablePeer
	for _, n := range s.reachablePeers() {
		if affected[n.instance] {
			first = append(first, n.address)
		} else {
			others = append(others, n)
		}
	}
	return append(first, randomTargets(others)...)
}

// reachablePeer is another node that is not known to be lost.
type reachablePeer struct {
	instance, address string
	// sameZone is set if it is in the own availability zone.
	sameZone bool
}

func (s *rowGossip) reachablePeers() []reachablePeer {
	var out []reachablePeer
	for instance, m := range s.node.views.current().Members {
		if instance != s.node.config.Instance && !s.node.peers.isLost(m.Address) {
			out = append(out, reachablePeer{instance, m.Address, m.Zone == s.node.config.Zone})
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
func (s *rowGossip) runDigests(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(digestInterval*4/3))
		if address := s.randomPeer(); address != "" {
			if err := s.syncWith(ctx, address); err != nil && ctx.Err() == nil {
				s.log.Debug("digests not compared", zap.String("address", address), zap.Error(err))
			}
		}
	}
}

func (s *rowGossip) randomPeer() string {
	all := s.reachablePeers()
	sameZone := slices.DeleteFunc(slices.Clone(all), func(n reachablePeer) bool { return !n.sameZone })
	if len(sameZone) > 0 && rand.Float64() < sameZoneDigestShare {
		all = sameZone
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))].address
}

// syncWith brings this node and another one to the newer version of each row.
func (s *rowGossip) syncWith(ctx context.Context, address string) error {
	sum, versions := s.node.views.digest()
	body, err := cbor.Marshal(digestMessage{Sum: sum})
	if err != nil {
		return err
	}
	data, err := s.node.post(ctx, address, digestPath, peerMessageTimeout, body)
	if err != nil {
		return err
	}
	var theirs digestMessage
	if err := cbor.Unmarshal(data, &theirs); err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	if theirs.Sum == sum {
		return nil
	}
	var exchange rowsMessage
	for key, version := range theirs.Versions {
		if version > versions[key] {
			exchange.Want = append(exchange.Want, key)
		}
	}
	var newer []string
	for key, version := range versions {
		if version > theirs.Versions[key] {
			newer = append(newer, key)
		}
	}
	exchange.Rows = s.node.views.rowsOf(newer)
	if body, err = cbor.Marshal(exchange); err != nil {
		return err
	}
	if data, err = s.node.post(ctx, address, rowsPath, peerMessageTimeout, body); err != nil {
		return err
	}
	var got rowsMessage
	if err := cbor.Unmarshal(data, &got); err != nil {
		return fmt.Errorf("decode rows: %w", err)
	}
	s.node.views.applyFromPeer(got.Rows...)
	return nil
}

// serveRows applies the rows of another node and returns those that it requests.
func (s *rowGossip) serveRows(w http.ResponseWriter, r *http.Request) {
	var message rowsMessage
	if !s.node.readCall(w, r, &message) {
		return
	}
	s.node.views.applyFromPeer(message.Rows...)
	s.node.answerCall(w, rowsMessage{Rows: s.node.views.rowsOf(message.Want)})
}

// serveDigest compares the digest of another node with that of this one.
func (s *rowGossip) serveDigest(w http.ResponseWriter, r *http.Request) {
	var message digestMessage
	if !s.node.readCall(w, r, &message) {
		return
	}
	sum, versions := s.node.views.digest()
	if sum == message.Sum {
		versions = nil
	}
	s.node.answerCall(w, digestMessage{Sum: sum, Versions: versions})
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

// rowsOf returns the rows with the given keys that this node has.
func (s *viewStore) rowsOf(keys []string) []metastore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []metastore.Row
	for _, key := range keys {
		if row, ok := s.rows[key]; ok {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b metastore.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}
