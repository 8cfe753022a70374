package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore/memory"
)

// evacuationModel checks that evacuated zones get no requests from nodes in touch after the bound, and
// that reinstated ones do.
type evacuationModel struct {
	*desiredModel
	// wanted is whether the operator wants a zone evacuated, since when and since when for sure.
	wanted map[string]wantedZone
	// wentBackAt is when the store last went back.
	wentBackAt time.Time
	generation uint64
	closed     int
}

// wantedZone is what the operator last did with a zone.
type wantedZone struct {
	evacuated bool
	at        time.Time
}

// toggle lets the operator evacuate or reinstate a zone.
func (m *evacuationModel) toggle() {
	zone := m.zones[m.rng.intN(len(m.zones))]
	evacuated := !m.wanted[zone].evacuated
	m.setEvacuated(zone, evacuated)
	m.wanted[zone] = wantedZone{evacuated, time.Now()}
}

// restore lets the operator write again what the store lost.
func (m *evacuationModel) restore() {
	if m.store.Generation() == m.generation {
		return
	}
	m.generation, m.wentBackAt = m.store.Generation(), time.Now()
	for zone, w := range m.wanted {
		m.setEvacuated(zone, w.evacuated)
		m.wanted[zone] = wantedZone{w.evacuated, time.Now()}
	}
}

// check looks at what each node in touch would do.
func (m *evacuationModel) check() {
	now := time.Now()
	bound := evacuateTime
	if now.Before(m.unstableUntil) {
		bound += 5 * time.Second
	}
	for _, n := range m.nodes {
		node := n.running()
		if node == nil || !now.After(m.outOfTouch[n.config.Instance]) {
			continue
		}
		view := node.views.current()
		for zone, w := range m.wanted {
			open := node.evacuation.MaySend(view.Evacuated, zone, true, node.now())
			if n.config.Zone == zone {
				open = open || node.backend.gate(ticket{service: "booking"}) == nil
			}
			switch {
			case w.evacuated && now.Sub(w.at) > bound && open:
				m.broken = append(m.broken, fmt.Sprintf("%v: %s is open to zone %s", now.Format("05.000"), n.config.Instance, zone))
			case w.evacuated && !open:
				m.closed++
			case !w.evacuated && now.Sub(w.at) > bound && now.Sub(m.wentBackAt) > bound+settleTime && !open:
				m.broken = append(m.broken, fmt.Sprintf("%v: %s keeps zone %s evacuated", now.Format("05.000"), n.config.Instance, zone))
			}
		}
	}
}

// Guards against nodes in touch that send to an evacuated zone after the bound, or keep one evacuated
// that was reinstated, for all ways by which they learn of it: watches that go silent, listings, other
// nodes, restarts, a store that turns nodes away and one that goes back.
func TestModelKeepsZonesEvacuated(t *testing.T) {
	for _, seed := range rollbackSeeds() {
		size := 8
		if seed%4 == 0 { // not all nodes watch the store
			size = desiredStateWatchers + 6
		}
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runEvacuationModel(t, seed, size) })
		})
	}
}

func runEvacuationModel(t *testing.T, seed uint64, size int) {
	g := NewWithT(t)
	c := newVirtualCluster(t, seed, 0, memory.Rates{})
	c.zones, c.evacuate = []string{"a", "b", "c"}, evacuateTime
	for i := range size {
		c.add(fmt.Sprint("instance-", i), fmt.Sprint("peer-", i))
	}
	defer c.stop()
	_, ok := c.waitServed(30 * time.Second)
	g.Expect(ok).To(BeTrue())
	m := &evacuationModel{desiredModel: &desiredModel{virtualCluster: c, outOfTouch: map[string]time.Time{}, highest: map[*Node]uint64{}}, wanted: map[string]wantedZone{}}
	m.toggle() // a random schedule alone may have no evacuation
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		if m.rng.intN(4) == 0 {
			m.injectFault()
			m.restore()
		}
		if m.rng.intN(4) == 0 {
			m.toggle()
		}
		for wait := m.rng.between(0, 4*time.Second); wait > 0; wait -= 20 * time.Millisecond {
			m.check()
			time.Sleep(20 * time.Millisecond)
		}
	}
	g.Expect(m.broken).To(BeEmpty())
	g.Expect(m.closed).To(BeNumerically(">", 0))
}
