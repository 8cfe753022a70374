package pipeline

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func kinds(actions []Action) []Kind {
	var out []Kind
	for _, a := range actions {
		out = append(out, a.Kind)
	}
	return out
}

// Load pattern: a client sends six reads at once; the first one takes ten times as long as
// the others. Served in turn, all would wait for it and for each other.
func TestSlowRequestInFrontCostsOthersOnlyTheirPlace(t *testing.T) {
	g := NewWithT(t)
	works := []time.Duration{500, 50, 50, 50, 50, 50} // milliseconds
	type event struct {
		at time.Duration
		id ID
	}
	c := New(DefaultConfig())
	var running []event
	apply := func(at time.Duration, actions []Action) (written []ID) {
		for _, a := range actions {
			switch a.Kind {
			case Run:
				running = append(running, event{at + works[a.ID-1], a.ID})
			case Written:
				written = append(written, a.ID)
			}
		}
		return written
	}
	for range works {
		id, actions, ok := c.Add(100)
		g.Expect(ok).To(BeTrue())
		apply(0, actions)
		apply(0, c.Offer(id, Concurrent, false))
	}
	g.Expect(running).To(HaveLen(len(works)), "all run at once")
	var order []ID
	var last time.Duration
	for len(running) > 0 {
		next := slices.MinFunc(running, func(a, b event) int { return int(a.at - b.at) })
		running = slices.DeleteFunc(running, func(e event) bool { return e.id == next.id })
		last = next.at
		order = append(order, apply(next.at, c.Finish(next.id, false))...)
	}
	g.Expect(order).To(Equal([]ID{1, 2, 3, 4, 5, 6}))
	g.Expect(last).To(Equal(works[0]), "the last response waits for the slow request only, not for the sum of all")
}

// Guards against a request that runs at the same time as one that is not idempotent.
func TestAloneRequestRunsAlone(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	first, _, _ := c.Add(10)
	g.Expect(kinds(c.Offer(first, Concurrent, false))).To(Equal([]Kind{Run}))
	alone, _, _ := c.Add(10)
	g.Expect(c.Offer(alone, Alone, false)).To(BeEmpty())
	behind, _, _ := c.Add(10)
	g.Expect(c.Offer(behind, Concurrent, false)).To(BeEmpty())
	g.Expect(c.Finish(first, false)).To(Equal([]Action{{Written, first}, {Write, alone}, {Run, alone}}))
	g.Expect(c.Finish(alone, false)).To(Equal([]Action{{Written, alone}, {Write, behind}, {Run, behind}}))
}

// Guards against a stop that closes the connection before the last running request is
// answered, or after one that is answered in vain.
func TestStopClosesAfterTheLastRunningRequest(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	var ids []ID
	for range 3 {
		id, _, _ := c.Add(10)
		ids = append(ids, id)
	}
	c.Offer(ids[0], Concurrent, false)
	c.Offer(ids[1], Concurrent, false)
	g.Expect(c.Stop()).To(Equal([]Action{{Drop, ids[2]}}), "it was not read by a handler")
	g.Expect(c.MayRead()).To(BeFalse())
	closes, _ := c.ClosesAfter(ids[0])
	g.Expect(closes).To(BeFalse())
	closes, _ = c.ClosesAfter(ids[1])
	g.Expect(closes).To(BeTrue())
	g.Expect(c.Finish(ids[1], true)).To(BeEmpty())
	g.Expect(kinds(c.Finish(ids[0], false))).To(Equal([]Kind{Written, Write, Written, Close}))
}

// Guards against the loss of the bytes behind a request that cannot be read ahead.
func TestRestIsHandedOverAfterTheAnswers(t *testing.T) {
	g := NewWithT(t)
	c := New(DefaultConfig())
	id, _, _ := c.Add(10)
	c.Offer(id, Concurrent, false)
	g.Expect(c.HandOverRest()).To(BeEmpty())
	g.Expect(c.MayRead()).To(BeFalse())
	g.Expect(kinds(c.Finish(id, false))).To(Equal([]Kind{Written, HandOver}))
}

// Drives a connection with random events and checks what must hold in every order of events.
func TestEveryOrderOfEventsKeepsTheOrderOfResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{MaxRunning: rapid.IntRange(1, 4).Draw(t, "running"), MaxRequests: 6, MaxBytes: 100}
		c := New(config)
		m := &model{t: t, config: config, modes: map[ID]Mode{}, state: map[ID]state{}}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				if !c.MayRead() {
					t.Skip()
				}
				id, actions, ok := c.Add(rapid.IntRange(1, 60).Draw(t, "size"))
				if ok {
					m.state[id], m.last = read, id
					m.apply(actions)
				}
			},
			"offer": func(t *rapid.T) {
				if id, ok := m.draw(t, read); ok {
					m.state[id] = offered
					m.modes[id] = rapid.SampledFrom([]Mode{Alone, Concurrent}).Draw(t, "mode")
					m.apply(c.Offer(id, m.modes[id], false))
				}
			},
			"finish": func(t *rapid.T) {
				if id, ok := m.draw(t, running); ok {
					closes, actions := c.ClosesAfter(id)
					m.apply(actions)
					m.state[id] = answered
					m.apply(c.Finish(id, closes))
				}
			},
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					m.apply(c.Stop())
				}
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "rare") == 0 {
					m.left = true
					m.apply(c.Abort())
				}
			},
			"": func(t *rapid.T) {
				if len(m.state) > config.MaxRequests || m.closed && c.MayRead() {
					t.Fatalf("requests beyond the bound, or read after the end: %v", m.state)
				}
			},
		})
	})
}

// model follows the requests of a connection by its actions.
type model struct {
	t                    *rapid.T
	config               Config
	modes                map[ID]Mode
	state                map[ID]state // of those not answered or dropped
	last, written, write ID
	left, closed         bool
}

func (m *model) draw(t *rapid.T, s state) (ID, bool) {
	var ids []ID
	for id := range m.last + 1 {
		if have, ok := m.state[id]; ok && have == s {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

func (m *model) apply(actions []Action) {
	for _, a := range actions {
		if m.closed {
			m.t.Fatalf("action %v after the end", a)
		}
		switch a.Kind {
		case Run:
			m.checkRun(a.ID)
			m.state[a.ID] = running
		case Drop:
			if s := m.state[a.ID]; (s == running || s == answered) && !m.left {
				m.t.Fatalf("request %d, which runs, is dropped", a.ID)
			}
			delete(m.state, a.ID)
		case Write:
			if a.ID <= m.written || a.ID <= m.write {
				m.t.Fatalf("response %d is written after %d", a.ID, m.write)
			}
			m.write = a.ID
		case Written:
			if a.ID != m.write || m.state[a.ID] != answered {
				m.t.Fatalf("response %d is complete out of order", a.ID)
			}
			m.written = a.ID
			delete(m.state, a.ID)
		case Close:
			m.closed = true
			if len(m.state) > 0 {
				m.t.Fatalf("closed with requests %v", m.state)
			}
		}
	}
}

func (m *model) checkRun(id ID) {
	busy := 0
	for other, s := range m.state {
		if s == running {
			busy++
		}
		if other < id && (m.modes[id] == Alone || m.modes[other] == Alone && s != answered || s == read) || s == running && m.modes[other] == Alone {
			m.t.Fatalf("request %d runs beside %d", id, other)
		}
	}
	if m.modes[id] == Concurrent && busy >= m.config.MaxRunning {
		m.t.Fatalf("request %d runs beyond the bound", id)
	}
}

// Guards against a connection whose client makes the process hold requests without a bound, by number or by size.
func TestRequestsBeyondTheBoundsAreNotRead(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{1, DefaultConfig().MaxBytes / 4} {
		c := New(DefaultConfig())
		read := 0
		for ; c.MayRead(); read++ {
			c.Add(size)
			g.Expect(read).To(BeNumerically("<", DefaultConfig().MaxRequests))
		}
		g.Expect(read).To(Equal(min(DefaultConfig().MaxRequests, DefaultConfig().MaxBytes/size)))
	}
}
