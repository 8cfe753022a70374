package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore/memory"
)

// desiredModel checks that confirmed desired states are in force in time and never go back, at
// all nodes in touch.
type desiredModel struct {
	*virtualCluster
	// confirmed are the versions that the store confirmed, with the times.
	confirmed []confirmedVersion
	// unstableUntil is when all nodes have been reached by an undisturbed store for contactTime.
	unstableUntil time.Time
	// outOfTouch are the times until which nodes are not in touch, by instance.
	outOfTouch map[string]time.Time
	// routes is the number of routes that some versions have; 0 for small ones only.
	routes int
	// highest are the versions seen in force, by process.
	highest map[*Node]uint64
	broken  []string
}

// confirmedVersion is a version of the desired state with the time of its confirmation.
type confirmedVersion struct {
	version uint64
	at      time.Time
}

// stretchedApplyTime is the users' config_apply_ms and max_stretch_ms: the bound while the store turns
// some nodes away.
const stretchedApplyTime = applyTime + 5*time.Second

// disturb records that a node is not in touch until contactTime after a fault of length d.
func (m *desiredModel) disturb(n *virtualNode, d time.Duration) {
	until := time.Now().Add(d + contactTime)
	if until.After(m.outOfTouch[n.config.Instance]) {
		m.outOfTouch[n.config.Instance] = until
	}
}

// change lets the operator write the next version.
func (m *desiredModel) change() {
	next := uint64(2 + len(m.confirmed))
	m.write(next)
	m.confirmed = append(m.confirmed, confirmedVersion{next, time.Now()})
}

// write writes a version, which has many routes in three of four cases if any has.
func (m *desiredModel) write(version uint64) {
	if m.routes > 0 && version%4 != 0 {
		m.setLargeDesiredState(version, m.routes)
		return
	}
	m.setDesiredState(version)
}

// check looks at the desired state in force at each node.
func (m *desiredModel) check() {
	now := time.Now()
	bound := applyTime
	if now.Before(m.unstableUntil) {
		bound = stretchedApplyTime
	}
	var due uint64 = 1
	for _, c := range m.confirmed {
		if now.Sub(c.at) > bound {
			due = c.version
		}
	}
	for _, n := range m.nodes {
		node := n.running()
		if node == nil {
			continue
		}
		version, _ := node.views.desiredState()
		if version < m.highest[node] {
			m.broken = append(m.broken, fmt.Sprintf("%s went back from version %d to %d", n.config.Instance, m.highest[node], version))
		}
		m.highest[node] = version
		if version < due && now.After(m.outOfTouch[n.config.Instance]) {
			m.broken = append(m.broken, fmt.Sprintf("%s has version %d, and %d is due", n.config.Instance, version, due))
		}
	}
}

// injectFault begins a random fault.
func (m *desiredModel) injectFault() {
	n := m.nodes[m.rng.intN(len(m.nodes))]
	d := m.rng.between(100*time.Millisecond, 6*time.Second)
	switch m.rng.intN(6) {
	case 0: // all open calls to the store go silent
		m.silenceStore()
		for _, n := range m.nodes {
			m.disturb(n, 0)
		}
	case 1: // the store turns some nodes away
		for _, n := range m.nodes {
			if m.rng.intN(3) == 0 && !n.cutOff.Load() {
				n.cutOff.Store(true)
				m.later(d, func() { n.cutOff.Store(false) })
			}
		}
		if until := time.Now().Add(d + contactTime); until.After(m.unstableUntil) {
			m.unstableUntil = until
		}
	case 2: // one node loses the answers to its open calls
		n.silences.Add(1)
		m.disturb(n, 0)
	case 3: // a node reaches no other node
		if !n.isolated.Load() {
			n.isolated.Store(true)
			m.disturb(n, d)
			m.later(d, func() { n.isolated.Store(false) })
		}
	case 4: // a process restarts
		m.disturb(n, 200*time.Millisecond)
		n.stop()
		time.Sleep(200 * time.Millisecond)
		n.start()
	case 5: // the store goes back and the operator writes what was lost again, a moment later
		age := m.rng.between(100*time.Millisecond, 5*time.Second)
		for _, n := range m.nodes {
			m.disturb(n, 3*time.Second)
		}
		m.goBackBut(age, m.rng.between(0, 500*time.Millisecond), func(string) bool { return false })
		time.Sleep(m.rng.between(0, 2*time.Second))
		if n := len(m.confirmed); n > 0 {
			m.write(m.confirmed[n-1].version)
		}
	}
}

// Guards against desired states that are in force too late or go back at a node in touch, for all ways
// by which they come to it: watches that go silent, listings, other nodes, restarts, a store that turns
// nodes away and one that goes back.
func TestModelKeepsTheDesiredStateInForce(t *testing.T) {
	for _, seed := range rollbackSeeds() {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { runDesiredModel(t, seed, 7, 0) })
		if seed%4 == 0 { // not all nodes watch the store
			t.Run(fmt.Sprint("seed_", seed, "_large"), func(t *testing.T) { runDesiredModel(t, seed, desiredStateWatchers+6, 0) })
			t.Run(fmt.Sprint("seed_", seed, "_many_routes"), func(t *testing.T) { runDesiredModel(t, seed, desiredStateWatchers+6, addedRoutes) })
		}
	}
}

// runDesiredModel plays a seed. With many routes in the desired state, links have the rate of the users' slowest.
func runDesiredModel(t *testing.T, seed uint64, size, routes int) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, seed, size, memory.Rates{})
		defer c.stop()
		_, ok := c.waitServed(30 * time.Second)
		g.Expect(ok).To(BeTrue())
		m := &desiredModel{virtualCluster: c, outOfTouch: map[string]time.Time{}, highest: map[*Node]uint64{}, routes: routes}
		if routes > 0 {
			c.linkRate = slowestLinkRate
		}
		for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
			if m.rng.intN(3) == 0 {
				m.injectFault()
			}
			if m.rng.intN(3) == 0 {
				m.change()
			}
			for wait := m.rng.between(0, 2*time.Second); wait > 0; wait -= 20 * time.Millisecond {
				m.check()
				time.Sleep(20 * time.Millisecond)
			}
		}
		g.Expect(m.broken).To(BeEmpty())
	})
}
