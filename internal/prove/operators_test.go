package prove

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/metastore/memory"
)

const (
	operatorRace     = "operators race through different daemons, store loses answers"
	operators        = 6
	editsPerOperator = 12
)

// edit edits the catalogue entry of service and returns the outcome.
func (n *node) edit(token uint32, expected uint64) edit {
	e := edit{started: time.Now(), token: token, expected: expected}
	entry, err := n.applyEntry("standard", token, expected)
	e.ended = time.Now()
	var connectErr *connect.Error
	switch {
	case err == nil:
		e.outcome, e.version = ran, entry.Version
		return e
	case errors.As(err, &connectErr) && connectErr.Code() == connect.CodeAborted:
		for _, d := range connectErr.Details() {
			if value, valueErr := d.Value(); valueErr == nil {
				if conflictDetail, ok := value.(*basilwayv1.CatalogueConflict); ok {
					e.outcome, e.version = conflict, conflictDetail.Current.GetVersion()
					return e
				}
			}
		}
	}
	e.outcome, _ = verdictOf(err)
	return e
}

// history returns the changes of the entry that a daemon knows, by ascending version.
func (n *node) history() []change {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := n.catalogue.GetHistory(ctx, connect.NewRequest(&basilwayv1.GetHistoryRequest{Service: service, Limit: 10_000}))
	if err != nil {
		return nil
	}
	var out []change
	for _, c := range resp.Msg.Changes {
		out = append(out, change{version: c.Version, token: c.Entry.GetLimits().GetBurst()})
	}
	slices.SortFunc(out, func(a, b change) int { return int(a.version) - int(b.version) })
	return out
}

// TestOperators guards against edits that are lost, applied twice or applied in different
// orders when operators edit an entry concurrently through different daemons and responses
// of the store are lost.
func TestOperators(t *testing.T) {
	seed := testSeed(t)
	t.Logf("seed %d", seed)
	c := newCluster(t, 3, true)
	first := c.nodes[0].history()
	c.setStoreFaults(memory.Faults{Delay: 2 * time.Millisecond, LostResponses: 0.2})
	var mu sync.Mutex
	var edits []edit
	var token atomic.Uint32
	var group sync.WaitGroup
	for i := range operators {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			expected := first[len(first)-1].version
			for range editsPerOperator {
				e := c.nodes[rng.IntN(len(c.nodes))].edit(token.Add(1), expected)
				if e.outcome == ran || e.outcome == conflict {
					expected = e.version
				}
				mu.Lock()
				edits = append(edits, e)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	c.setStoreFaults(memory.Faults{})
	var newest uint64
	counts := map[string]int{}
	for _, e := range edits {
		counts[e.outcome]++
		if e.outcome == ran {
			newest = max(newest, e.version)
		}
	}
	c.waitUntil("all daemons know all edits", func() bool {
		for _, n := range c.nodes {
			if h := n.history(); len(h) == 0 || h[len(h)-1].version < newest {
				return false
			}
		}
		return true
	})
	var bad []string
	for _, n := range c.nodes {
		log := n.history()
		bad = append(bad, checkRegister(log, edits)...)
		bad = append(bad, checkEntryHistory(log, edits, searchTimeout)...)
	}
	t.Logf("%d edits %v", len(edits), counts)
	recordRun("8", operatorRace, len(edits), len(bad), nil, 0, mutationsOf(operatorRace))
	for _, text := range bad {
		t.Error(text)
	}
}
