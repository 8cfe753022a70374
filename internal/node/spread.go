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
	// spreadNear and spreadFar are the numbers of random nodes, in the own availability zone
	// and in all, to which a row that was new is passed on besides those that it concerns.
	// Three reach nearly all nodes of a hundred; the comparison of digests reaches the rest.
	// Bytes between availability zones are dear.
	spreadNear, spreadFar = 2, 1
	// nearDigests is the share of the comparisons that stay in the availability zone.
	nearDigests = 0.6
	// spreadDelay is the time in which rows are collected for one message, and forwardDelay
	// that for rows that came from another node. The first is short against the wait for a
	// key that moves; a longer second one joins the changes of a row into one.
	spreadDelay  = 8 * time.Millisecond
	forwardDelay = 25 * time.Millisecond
	// spreadTimeout bounds one message.
	spreadTimeout = 300 * time.Millisecond
	// digestInterval is the time between two comparisons with a random node.
	digestInterval = 1500 * time.Millisecond
	// isolatedAfter is the time without a successful exchange with any node after which
	// a node reads the store itself, every isolatedPoll.
	isolatedAfter = 4 * time.Second
	isolatedPoll  = 2 * time.Second
)

// rowSpread passes the rows of the cluster on from node to node, so that only the planner
// follows the store: each call of the store is priced, and its rate does not grow with
// the number of nodes.
type rowSpread struct {
	node *Node
	log  *zap.Logger
	kick chan struct{}

	mu sync.Mutex
	// pending are the rows to pass on, and concerned the instances that need them first.
	pending   map[string]metastore.Row
	concerned map[string]bool
	// forwarded is set while all pending rows came from other nodes.
	forwarded bool
	// contacted is the time of the last successful exchange with another node.
	contacted time.Time
}

func newSpread(n *Node) *rowSpread {
	return &rowSpread{node: n, log: n.log.Named("spread"), kick: make(chan struct{}, 1), pending: map[string]metastore.Row{}, concerned: map[string]bool{}, contacted: time.Now()}
}

// rowsMessage carries rows, or asks for some.
type rowsMessage struct {
	Rows []metastore.Row `cbor:"1,keyasint,omitempty"`
	// Want names rows that the sender asks for.
	Want []string `cbor:"2,keyasint,omitempty"`
}

// digestMessage compares what two nodes know.
type digestMessage struct {
	Sum uint64 `cbor:"1,keyasint"`
	// Versions of all rows by key; only in answers to a different sum.
	Versions map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// contact notes that another node was reached.
func (s *rowSpread) contact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacted = time.Now()
}

// isolated reports whether no other node was reached for a while.
func (s *rowSpread) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.contacted) > isolatedAfter
}

// fresh queues rows that were new to this node. The instances that a change concerns hear
// of it from the nodes that wrote it or read it in the store; other nodes pass it on at
// random only.
func (s *rowSpread) fresh(rows []freshRow, forwarded bool) {
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
		for _, instance := range row.concerned {
			s.concerned[instance] = true
		}
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// runPush passes queued rows on.
func (s *rowSpread) runPush(ctx context.Context) {
	for {
		select {
		case <-s.kick:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		delay := spreadDelay
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
		concerned := s.concerned
		s.concerned = map[string]bool{}
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
		for _, address := range s.targets(concerned) {
			go s.push(ctx, address, body)
		}
	}
}

func (s *rowSpread) push(ctx context.Context, address string, body []byte) {
	if _, err := s.node.post(ctx, address, rowsPath, spreadTimeout, body); err != nil {
		// The comparison of digests makes up for it.
		s.log.Debug("rows not delivered", zap.String("address", address), zap.Error(err))
	}
}

// targets returns the addresses of the concerned instances and of some random ones.
func (s *rowSpread) targets(concerned map[string]bool) []string {
	var first []string
	var others []neighbour
	for _, n := range s.neighbours() {
		if concerned[n.instance] {
			first = append(first, n.address)
		} else {
			others = append(others, n)
		}
	}
	return append(first, randomTargets(others)...)
}

// neighbour is another node that can be reached.
type neighbour struct {
	instance, address string
	// near is set if it is in the own availability zone.
	near bool
}

func (s *rowSpread) neighbours() []neighbour {
	var out []neighbour
	for instance, m := range s.node.views.current().Members {
		if instance != s.node.config.Instance && !s.node.peers.isLost(m.Address) {
			out = append(out, neighbour{instance, m.Address, m.Zone == s.node.config.Zone})
		}
	}
	return out
}

// randomTargets draws the nodes to which a row is passed on.
func randomTargets(others []neighbour) []string {
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []string
	near, far := spreadNear, spreadFar
	for _, n := range others {
		switch {
		case n.near && near > 0:
			near--
		case far > 0:
			far--
		default:
			continue
		}
		out = append(out, n.address)
	}
	return out
}

// runDigests compares with a random node in turn.
func (s *rowSpread) runDigests(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(digestInterval*4/3))
		if address := s.anyPeer(); address != "" {
			if err := s.compare(ctx, address); err != nil && ctx.Err() == nil {
				s.log.Debug("digests not compared", zap.String("address", address), zap.Error(err))
			}
		}
	}
}

func (s *rowSpread) anyPeer() string {
	all := s.neighbours()
	near := slices.DeleteFunc(slices.Clone(all), func(n neighbour) bool { return !n.near })
	if len(near) > 0 && rand.Float64() < nearDigests {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))].address
}

// compare brings this node and another one to the newer version of each row.
func (s *rowSpread) compare(ctx context.Context, address string) error {
	sum, versions := s.node.views.digest()
	body, err := cbor.Marshal(digestMessage{Sum: sum})
	if err != nil {
		return err
	}
	data, err := s.node.post(ctx, address, digestPath, spreadTimeout, body)
	if err != nil {
		return err
	}
	var theirs digestMessage
	if err := cbor.Unmarshal(data, &theirs); err != nil {
		return fmt.Errorf("digest: %w", err)
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
	if data, err = s.node.post(ctx, address, rowsPath, spreadTimeout, body); err != nil {
		return err
	}
	var got rowsMessage
	if err := cbor.Unmarshal(data, &got); err != nil {
		return fmt.Errorf("rows: %w", err)
	}
	s.node.views.learn(got.Rows...)
	return nil
}

// serveRows takes rows of another node and returns those that it asks for.
func (s *rowSpread) serveRows(w http.ResponseWriter, r *http.Request) {
	var message rowsMessage
	if !s.node.readCall(w, r, &message) {
		return
	}
	s.node.views.learn(message.Rows...)
	s.node.answerCall(w, rowsMessage{Rows: s.node.views.rowsOf(message.Want)})
}

// serveDigest compares what another node knows with what this one knows.
func (s *rowSpread) serveDigest(w http.ResponseWriter, r *http.Request) {
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

// digest returns a sum over all rows that is equal on nodes that know the same versions,
// and the versions.
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
