package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/evacuation"
	"github.com/basilway/basilway/keyrange"
)

// Timing of a move: a backend server hears of it with its next heartbeat and releases the keys with the
// one after. planDelay and moveWrite are assumptions for the way of the row to the planner and for the
// write that completes a move.
const (
	heartbeatInterval = 870 * time.Millisecond
	planDelay         = 100 * time.Millisecond
	moveWrite         = 80 * time.Millisecond
)

// evacuationPlay moves the keys of an evacuated zone of a service with a load without a network.
type evacuationPlay struct {
	in      Input
	zones   map[string]string // by instance
	policy  evacuation.Policy
	evacuee evacuation.Zones
	start   time.Time
	done    map[uint16]time.Time // when the open move of a range ends, by its first key
	maxOpen int
	rng     *rand.Rand
}

func newEvacuationPlay(utilization float64) *evacuationPlay {
	p := &evacuationPlay{zones: map[string]string{}, policy: evacuation.Policy{Bound: 5 * time.Second}, start: time.Unix(1_700_000_000, 0), done: map[uint16]time.Time{}, rng: rand.New(rand.NewPCG(3, 4))}
	ms := members(49, 5, 0.6, 1.0, 1.4)
	capacity := 0.0
	for i := range ms {
		p.zones[ms[i].Owner.Instance] = string(rune('a' + i%4))
		capacity += ms[i].capacity()
	}
	loads := map[uint16]float64{}
	for range 3000 {
		loads[uint16(p.rng.IntN(65536))] += utilization * capacity / 3000
	}
	p.in = Input{Space: keyrange.NewSpace(), Members: ms, Loads: loads}
	for _, c := range Plan(p.in, DefaultConfig()) {
		p.in.Space, _ = c.Apply(p.in.Space)
	}
	p.evacuee = evacuation.Zones{"a": {Version: 1, Since: p.start}}
	for i := range p.in.Members {
		p.in.Members[i].Evacuated = p.evacuee.Leaving(p.zones[p.in.Members[i].Owner.Instance])
	}
	return p
}

// step plans and completes moves at a time.
func (p *evacuationPlay) step(t *testing.T, now time.Time, plans bool) {
	t.Helper()
	var err error
	for _, r := range p.in.Space.Ranges() {
		if at, ok := p.done[r.From]; ok && r.Moving() && !now.Before(at) {
			delete(p.done, r.From)
			if p.in.Space, err = p.in.Space.Release(r.Span, r.Owner, "token"); err != nil {
				t.Fatal(err)
			}
		}
	}
	if plans {
		for _, c := range Plan(p.in, DefaultConfig()) {
			if p.in.Space, err = c.Apply(p.in.Space); err != nil {
				t.Fatal(err)
			}
		}
	}
	open := 0
	for _, r := range p.in.Space.Ranges() {
		if !r.Moving() {
			continue
		}
		open++
		if _, ok := p.done[r.From]; !ok {
			beat := time.Duration(p.rng.Int64N(int64(heartbeatInterval)))
			p.done[r.From] = now.Add(beat + heartbeatInterval + moveWrite)
		}
	}
	p.maxOpen = max(p.maxOpen, open)
}

// left returns the share of the load whose owner is in the evacuated zone.
func (p *evacuationPlay) left() float64 {
	left, total := 0.0, 0.0
	for key, load := range p.in.Loads {
		total += load
		if p.evacuee.Leaving(p.zones[p.in.Space.Find(key).Owner.Instance]) {
			left += load
		}
	}
	return left / total
}

// Load: 49 backend servers of three speeds in four zones at a utilization of 0.9 lose one zone. A
// quarter of all keys has to be elsewhere within 5 s, within the limit of open moves, on members in
// proportion to their capacity; what is refused meanwhile is what has not moved when the zone closes.
func TestKeysOfAnEvacuatedZoneMoveWithinTheBound(t *testing.T) {
	for _, stop := range []time.Duration{0, 900 * time.Millisecond} {
		t.Run(fmt.Sprint("planner_away_for_", stop), func(t *testing.T) {
			g := NewWithT(t)
			p := newEvacuationPlay(0.9)
			g.Expect(p.left()).To(BeNumerically("~", 0.25, 0.05))
			refused, moved := 0.0, time.Duration(0)
			for d := planDelay; d < p.policy.Bound; d += 50 * time.Millisecond {
				now := p.start.Add(d)
				p.step(t, now, d >= stop)
				if p.policy.Closed(p.evacuee, "a", now) {
					refused += p.left() * 0.05 // seconds of the whole load
				}
				if p.left() > 0 {
					moved = d
				}
			}
			g.Expect(p.left()).To(BeZero(), "all keys have moved")
			g.Expect(refused).To(BeNumerically("<", 0.25), "a quarter of the load for a second")
			g.Expect(p.maxOpen).To(BeNumerically("<=", 4*37+37))
			var rest []Member
			for _, m := range p.in.Members {
				if !m.Evacuated {
					rest = append(rest, m)
				}
			}
			// 0.9 of the capacity on three quarters of it is 1.2: no member gets much more than that.
			g.Expect(highest(utilizations(p.in.Space, rest, p.in.Loads))).To(BeNumerically("<", 1.35))
			t.Logf("last keys moved %v after the row, refused %.2f s of the load, at most %d open moves", moved, refused, p.maxOpen)
		})
	}
}

// Guards against keys that move to an evacuated zone, or from one that is down with all its others.
func TestEvacuatedMembersGetNoKeys(t *testing.T) {
	g := NewWithT(t)
	ms := members(4, 5)
	ms[0].Evacuated = true
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{1: 2, 30000: 9}, Balance: true}
	in.Space = applyPlans(t, in, 20)
	g.Expect(in.Space.OwnedBy(ms[0].Owner)).To(BeEmpty())
	for i := range in.Members {
		in.Members[i].Evacuated = true
	}
	g.Expect(Plan(in, DefaultConfig())).To(BeEmpty(), "there is nowhere to move keys to")
}

// Guards against a plan that opens moves without limit: a move is two writes of rows that all share.
func TestOpenMovesOfAnEvacuationAreLimited(t *testing.T) {
	g := NewWithT(t)
	ms := members(8, 5)
	in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: map[uint16]float64{}}
	for key := 0; key < 65536; key += 64 {
		var err error
		in.Space, err = in.Space.Assign(keyrange.Span{From: uint16(key), To: uint16(key + 63)}, ms[(key/64)%2].Owner)
		g.Expect(err).NotTo(HaveOccurred())
	}
	in.Members[0].Evacuated = true
	config := DefaultConfig()
	changes := Plan(in, config)
	g.Expect(len(changes)).To(And(BeNumerically(">=", config.MaxEvacuationMoves), BeNumerically("<=", config.MaxEvacuationMoves+len(ms))))
	for _, c := range changes {
		in.Space, _ = c.Apply(in.Space)
	}
	g.Expect(Plan(in, config)).To(BeEmpty(), "the limit counts open moves")
}

// Guards against keys that all return at once to a reinstated zone, or while its servers may be cold.
func TestKeysReturnToAReinstatedZoneByBalance(t *testing.T) {
	g := NewWithT(t)
	p := newEvacuationPlay(0.9)
	p.in.Space = applyPlans(t, p.in, 20)
	g.Expect(p.left()).To(BeZero())
	p.in.Balance = true
	for i := range p.in.Members {
		p.in.Members[i].Cold, p.in.Members[i].Evacuated = p.in.Members[i].Evacuated, false
	}
	for _, c := range Plan(p.in, DefaultConfig()) {
		g.Expect(p.evacuee.Leaving(p.zones[c.To.Instance])).To(BeFalse(), "cold")
	}
	for i := range p.in.Members {
		p.in.Members[i].Cold = false
	}
	changes := Plan(p.in, DefaultConfig())
	g.Expect(len(changes)).To(And(BeNumerically(">", 0), BeNumerically("<=", 12)))
	p.in.Space = applyPlans(t, p.in, 40)
	g.Expect(p.left()).To(BeNumerically(">", 0.1), "they return over several plans")
}
