package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// maxBoundedMessage is the size in bytes that a message with bounded contents may have.
const maxBoundedMessage = maxBatchBytes + maxBatchBytes/4

// strikes returns rows of a table that nodes keep without deciding anything by it.
func strikes(from, to int) (out []metastore.Row) {
	for i := from; i < to; i++ {
		out = append(out, metastore.Row{Key: fmt.Sprintf("%s%04d", strikePrefix, i), Version: uint64(1000 + i), Value: make([]byte, 100)})
	}
	return out
}

// Guards against messages with rows that grow with the cluster, and that never arrive over a slow link within the
// time of a message: what two nodes lack of each other, and what one sends to all.
func TestRowsTravelInBoundedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, 3, memory.Rates{})
		defer c.stop()
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		time.Sleep(5 * time.Second)
		c.largest.reset()
		first, second := c.nodes[0].running(), c.nodes[1].running()
		const rows = 2000
		keep := func(n *Node, rows []metastore.Row) {
			n.views.mu.Lock()
			defer n.views.mu.Unlock()
			for _, row := range rows {
				n.views.rows[row.Key] = row
			}
		}
		keep(first, strikes(0, rows/2))
		keep(second, strikes(rows/2, rows))
		g.Expect(first.gossip.syncWith(t.Context(), second.config.PeerAddress)).To(Succeed())
		for _, n := range []*Node{first, second} {
			for _, row := range strikes(0, rows) {
				g.Expect(n.views.rowsOf([]string{row.Key})).To(HaveLen(1), row.Key)
			}
		}
		g.Expect(c.largest.of(rowsPath)).To(BeNumerically("<", maxBoundedMessage))

		_, ok = c.waitSettled(30 * time.Second)
		g.Expect(ok).To(BeTrue())
		planner := c.planner().running()
		planner.views.applyFromPeer(membership.FromOffer, strikes(rows, 2*rows)...)
		_, ok = c.waitSettled(time.Second)
		g.Expect(ok).To(BeTrue())
		g.Expect(c.largest.of(rowsPath)).To(BeNumerically("<", maxBoundedMessage))
	})
}

// Guards against rows that are left out or sent twice.
func TestBatchesHaveEachRowOnce(t *testing.T) {
	g := NewWithT(t)
	g.Expect(batchRows(nil)).To(BeEmpty())
	g.Expect(firstBatch(nil)).To(BeEmpty())
	rows := strikes(0, 1000)
	rows[500].Value = make([]byte, 2*maxBatchBytes)
	var all []metastore.Row
	for _, batch := range batchRows(rows) {
		all = append(all, batch...)
	}
	g.Expect(all).To(Equal(rows))
	g.Expect(stillWanted([]string{"a", "b", "c", "d"}, 3, nil)).To(Equal([]string{"d"}))
	g.Expect(stillWanted([]string{"a", "b", "c", "d"}, 3, []metastore.Row{{Key: "b"}})).To(Equal([]string{"c", "d"}))
}
