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

// edit makes one edit of the entry of service.
func (n *node) edit(token uint32, expected uint64) edit {
	e := edit{call: time.Now(), token: token, expected: expected}
	entry, err := n.apply("standard", token, expected)
	e.end = time.Now()
	var wire *connect.Error
	switch {
	case err == nil:
		e.outcome, e.version = ran, entry.Version
		return e
	case errors.As(err, &wire) && wire.Code() == connect.CodeAborted:
		for _, d := range wire.Details() {
			if value, valueErr := d.Value(); valueErr == nil {
				if lost, ok := value.(*basilwayv1.CatalogueConflict); ok {
					e.outcome, e.version = conflict, lost.Current.GetVersion()
					return e
				}
			}
		}
	}
	e.outcome, _ = verdictOf(err)
	return e
}

// history returns the changes of the entry as a daemon knows them, in ascending order.
func (n *node) history() []change {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	reply, err := n.catalogue.GetHistory(ctx, connect.NewRequest(&basilwayv1.GetHistoryRequest{Service: service, Limit: 10_000}))
	if err != nil {
		return nil
	}
	var out []change
	for _, c := range reply.Msg.Changes {
		out = append(out, change{version: c.Version, token: c.Entry.GetLimits().GetBurst()})
	}
	slices.SortFunc(out, func(a, b change) int { return int(a.version) - int(b.version) })
	return out
}

// TestOperators guards against edits that are lost, made twice or applied in different
// orders when operators race and the store loses answers.
func TestOperators(t *testing.T) {
	seed := seedOf(t)
	t.Logf("seed %d", seed)
	c := newCluster(t, 3, true)
	first := c.nodes[0].history()
	c.setStore(memory.Faults{Delay: 2 * time.Millisecond, LostAnswers: 0.2})
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
	c.setStore(memory.Faults{})
	var newest uint64
	counts := map[string]int{}
	for _, e := range edits {
		counts[e.outcome]++
		if e.outcome == ran {
			newest = max(newest, e.version)
		}
	}
	c.wait("all daemons know all edits", func() bool {
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
		bad = append(bad, checkEntryHistory(log, edits, historyLimit)...)
	}
	t.Logf("%d edits %v", len(edits), counts)
	record("8", operatorRace, len(edits), len(bad), nil, 0, breaksOf(operatorRace))
	for _, text := range bad {
		t.Error(text)
	}
}
