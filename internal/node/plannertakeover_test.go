package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/takeover"
)

// plannersSeen returns the instances that nodes name as the planner, with the number of nodes.
func (c *virtualCluster) plannersSeen() map[string]int {
	out := map[string]int{}
	for _, n := range c.nodes {
		if node := n.running(); node != nil {
			out[node.views.current().Planner.Instance]++
		}
	}
	return out
}

// takeovers returns how often nodes took the planner role for a reason.
func (c *virtualCluster) takeovers(reason takeoverReason) int {
	total := 0
	for _, n := range c.nodes {
		if node := n.running(); node != nil {
			total += int(node.metrics.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_planner_takeovers_total{reason=%q}`, reason)).Get())
		}
	}
	return total
}

// others returns the nodes but one, in order.
func (c *virtualCluster) others(but *virtualNode) []*virtualNode {
	var out []*virtualNode
	for _, n := range c.nodes {
		if n != but {
			out = append(out, n)
		}
	}
	return out
}

func setOf(nodes []*virtualNode) map[*virtualNode]bool {
	out := map[*virtualNode]bool{}
	for _, n := range nodes {
		out[n] = true
	}
	return out
}

// takeoverTime bounds the time from a cut to a new planner: three reports that time out, about a second
// apart, and a question.
const takeoverTime = 4 * time.Second

// Guards against a cluster without planning for as long as a planner that is cut off from most nodes
// still renews its lease row: load pattern of a run with 20 instances in which seven were cut off and
// nobody planned for 7.7 s.
func TestPlannerThatMostNodesCannotReachIsReplaced(t *testing.T) {
	for name, alone := range map[string]bool{"six nodes reach it and all others": false, "seven nodes are cut off together": true} {
		t.Run(name, func(t *testing.T) {
			runLargeCluster(t, 20, func(g *WithT, c *virtualCluster) {
				old := c.planner()
				near := setOf(c.others(old)[:6])
				near[old] = true
				cut := time.Now()
				c.cutLinks(func(from, to *virtualNode) bool {
					if alone {
						return near[from] && !near[to]
					}
					return from == old && !near[to]
				})
				// The planner reaches the store for 0.5 s of each 2 s.
				c.pending.Go(func() {
					for range 5 {
						old.cutOff.Store(true)
						time.Sleep(1500 * time.Millisecond)
						old.cutOff.Store(false)
						time.Sleep(500 * time.Millisecond)
					}
				})
				replaced := func() bool { p := c.nodeThatPlansBut(old); return p != nil }
				for !replaced() && time.Since(cut) < 20*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(cut)
				c.t.Logf("role taken after %v", took)
				g.Expect(took).To(BeNumerically("<", takeoverTime))
				g.Expect(c.takeovers(takeoverUnreachable)).To(Equal(1))

				// Nobody takes it from the new one, which most nodes reach.
				time.Sleep(12 * time.Second)
				g.Expect(c.takeovers(takeoverUnreachable)).To(Equal(1))
				c.cutLinks(nil)
				_, ok := c.waitSettled(10 * time.Second)
				g.Expect(ok).To(BeTrue())
				g.Expect(c.plannersSeen()).To(HaveLen(1))
				g.Expect(c.plannersSeen()).NotTo(HaveKey(old.config.Instance))
				_, ok = c.waitServed(20 * time.Second)
				g.Expect(ok).To(BeTrue())
				g.Expect(c.holds.found()).To(BeEmpty())
			})
		})
	}
}

// nodeThatPlansBut returns a node other than old that has the planner role in its own view.
func (c *virtualCluster) nodeThatPlansBut(old *virtualNode) *virtualNode {
	for _, n := range c.others(old) {
		if node := n.running(); node != nil && node.views.current().Planner.Instance == n.config.Instance {
			return n
		}
	}
	return nil
}

// Guards against a planner that loses its role although it works: one other node, or a few that are
// cut off together but reach the store, cannot report to it.
func TestPlannerThatMostNodesReachStays(t *testing.T) {
	for name, lost := range map[string]int{"one node cannot reach it": 1, "six nodes are cut off together": 6} {
		t.Run(name, func(t *testing.T) {
			runLargeCluster(t, 20, func(g *WithT, c *virtualCluster) {
				planner := c.planner()
				far := setOf(c.others(planner)[:lost])
				c.cutLinks(func(from, to *virtualNode) bool {
					if lost == 1 {
						return from == planner && far[to]
					}
					return far[from] && !far[to]
				})
				asked := c.messages.of(plannerContactPath)
				time.Sleep(20 * time.Second)
				g.Expect(c.messages.of(plannerContactPath)).To(BeNumerically(">", asked), "the rule was tried")
				g.Expect(c.plannersSeen()).To(Equal(map[string]int{planner.config.Instance: 20}))
				c.cutLinks(nil)
			})
		})
	}
}

// Guards against a change of the rule for small clusters, in which a few nodes would decide.
func TestSmallClustersWaitForTheLease(t *testing.T) {
	runLargeCluster(t, 7, func(g *WithT, c *virtualCluster) {
		planner := c.planner()
		c.cutLinks(func(from, _ *virtualNode) bool { return from == planner })
		time.Sleep(10 * time.Second)
		g.Expect(c.messages.of(plannerContactPath)).To(BeZero())
		g.Expect(c.takeovers(takeoverUnreachable)).To(BeZero())
		c.cutLinks(nil)
	})
}

// Guards against a node that cannot reach the store and takes the role through another node: it could
// not plan.
func TestNodeThatTheStoreTurnsAwayTakesNoRole(t *testing.T) {
	runLargeCluster(t, 20, func(g *WithT, c *virtualCluster) {
		planner := c.planner()
		able := setOf(c.others(planner)[:8])
		for _, n := range c.others(planner) {
			n.cutOff.Store(!able[n])
		}
		c.cutLinks(func(from, to *virtualNode) bool { return from == planner && !able[to] })
		asked := c.messages.of(storePath)
		time.Sleep(10 * time.Second)
		g.Expect(c.messages.of(storePath)).To(BeNumerically(">", asked), "calls are relayed")
		// Those that reach the store reach the planner as well.
		g.Expect(c.takeovers(takeoverUnreachable)).To(BeZero())
		c.cutLinks(nil)
		for _, n := range c.nodes {
			n.cutOff.Store(false)
		}
	})
}

// Guards against an answer that counts acceptance by an earlier planner, or misses the time since a
// report was accepted.
func TestNodesTellWhenThePlannerAcceptedAReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var c plannerContact
		first, second := PlannerRow{Instance: "a", Version: 3}, PlannerRow{Instance: "b", Version: 5}
		c.observe(first, time.Now())
		time.Sleep(time.Second)
		g.Expect(c.message(first, time.Now()).answer()).To(Equal(takeover.Answer{Planner: 3, Known: time.Second}))
		c.recordAccepted(first, time.Now())
		time.Sleep(time.Second)
		g.Expect(c.message(first, time.Now()).answer()).To(Equal(takeover.Answer{Planner: 3, Known: 2 * time.Second, Accepted: true, Silent: time.Second}))
		g.Expect(c.message(second, time.Now()).answer()).To(Equal(takeover.Answer{Planner: 5}))
		c.recordAccepted(first, time.Now()) // a late response of the earlier planner
		time.Sleep(time.Second)
		g.Expect(c.message(second, time.Now()).answer()).To(Equal(takeover.Answer{Planner: 5, Known: time.Second}))
		c.recordAccepted(second, time.Now())
		rewritten := PlannerRow{Instance: "b", Version: 9}
		g.Expect(c.message(rewritten, time.Now()).answer()).To(Equal(takeover.Answer{Planner: 9, Accepted: true}))
	})
}

// Guards against nodes of an earlier release, which do not know the question, being counted as witnesses.
func TestNodesThatDoNotKnowTheQuestionGiveNoAnswer(t *testing.T) {
	g := NewWithT(t)
	n := newIdleNode(t, nil)
	mux := http.NewServeMux() // an earlier release, without the path
	n.exchange = func(ctx context.Context, _, path string, body []byte) ([]byte, error) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))).WithContext(ctx))
		if w.Code != http.StatusOK {
			return nil, errLost
		}
		return w.Body.Bytes(), nil
	}
	g.Expect(n.planner.askAboutPlanner(t.Context(), []takeover.Witness{{Address: "127.0.0.1:3"}})).To(BeEmpty())
}
