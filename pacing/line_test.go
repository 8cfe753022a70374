package pacing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// The figures of the grown sites: links of 14 Mbit/s, downloads of 90 KB whose targets
	// leave about 400 ms after their work, calls with a target of 100 ms.
	linkBits    = 14e6
	download    = 90_000
	transferAim = 400 * time.Millisecond
	callAim     = 100 * time.Millisecond
	piece       = 16 << 10
	callBytes   = 700
)

// link is a link that sends packets in the order in which they come.
type link struct{ free time.Time }

func (l *link) send(bytes int, now time.Time) (arrives time.Time) {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) * 8 / linkBits * float64(time.Second)))
	return l.free
}

// played is what the users of a link saw.
type played struct {
	downloadsInTime, downloads int
	callsInTime, calls         int
	refused                    int
}

// active is a download of the replay.
type active struct {
	id    ID
	left  int
	start time.Time
	// blocked is when the receiver takes the next piece.
	blocked time.Time
}

// replay sends downloads at a share of the link, and calls beside them, for 20 s of virtual
// time in steps of 1 ms. With a Line downloads that would be late are refused; without one,
// all are sent at once, each with up to window bytes on the way.
func replay(seed uint64, load float64, line *Line) played {
	const step, window = time.Millisecond, 64 << 10
	rng := rand.New(rand.NewPCG(seed, 1))
	var out played
	var wire link
	var running []*active
	start := time.Unix(0, 0)
	perStep := load * linkBits / 8 / download * step.Seconds()
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		if rng.Float64() < perStep {
			out.downloads++
			size := int(download * (0.5 + rng.Float64()))
			switch {
			case line == nil:
				running = append(running, &active{left: size, start: now, blocked: now})
			case line.Backlog()+line.Time(int64(size)) > transferAim:
				out.refused++
			default:
				running = append(running, &active{id: line.Join(int64(size)), left: size, start: now, blocked: now})
			}
		}
		if line != nil {
			for _, a := range running {
				line.Ask(a.id, min(a.left, piece))
			}
			granted, _ := line.Advance(now)
			running = slices.DeleteFunc(running, func(a *active) bool {
				if !slices.Contains(granted, a.id) {
					return false
				}
				return out.piece(a, &wire, now, line)
			})
		} else {
			running = slices.DeleteFunc(running, func(a *active) bool {
				if now.Before(a.blocked) {
					return false
				}
				n := min(a.left, piece)
				ended := out.piece(a, &wire, now, nil)
				// The next piece goes when the window has room again.
				a.blocked = wire.free.Add(-time.Duration(float64((window-n)*8) / linkBits * float64(time.Second)))
				return ended
			})
		}
		if rng.Float64() < 0.08 {
			out.calls++
			if wire.send(callBytes, now).Sub(now) <= callAim/2 {
				out.callsInTime++
			}
		}
	}
	return out
}

// piece sends the next piece of a download and reports whether it was the last.
func (p *played) piece(a *active, wire *link, now time.Time, line *Line) bool {
	n := min(a.left, piece)
	arrives := wire.send(n, now)
	a.left -= n
	if a.left > 0 {
		return false
	}
	if arrives.Sub(a.start) <= transferAim {
		p.downloadsInTime++
	}
	if line != nil {
		line.Leave(a.id)
	}
	return true
}

// Guards against calls that wait behind large answers on a link that is nearly full, or
// asked for more than it carries. The policy before sent each answer at once.
func TestCallsPassLargeAnswers(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.6, 0.8, 1.0, 1.4} {
		got, before := replay(3, load, New(ForLink(linkBits))), replay(3, load, nil)
		t.Logf("load %.1f: calls in time %d of %d, before %d; downloads in time %d of %d, before %d, refused %d",
			load, got.callsInTime, got.calls, before.callsInTime, got.downloadsInTime, got.downloads, before.downloadsInTime, got.refused)
		g.Expect(float64(got.callsInTime)).To(BeNumerically(">=", 0.99*float64(got.calls)))
		g.Expect(got.downloadsInTime).To(BeNumerically(">=", before.downloadsInTime-got.downloads/50))
		if load >= 1 {
			g.Expect(got.downloadsInTime).To(BeNumerically(">", before.downloadsInTime))
			g.Expect(got.callsInTime).To(BeNumerically(">", 2*before.callsInTime))
		}
	}
}

// Guards against a receiver that takes nothing and holds up the others, and against a link
// that stands still while somebody asks.
func TestTurnsPassOverWhoDoesNotAsk(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{BytesPerSecond: 1000, Burst: 100})
	slow, quick := l.Join(500), l.Join(500)
	now := time.Unix(0, 0)
	l.Ask(quick, 100)
	granted, _ := l.Advance(now)
	g.Expect(granted).To(Equal([]ID{quick}))
	l.Ask(quick, 100)
	granted, wait := l.Advance(now)
	g.Expect(granted).To(BeEmpty())
	l.Ask(slow, 100)
	granted, _ = l.Advance(now.Add(wait))
	g.Expect(granted).To(Equal([]ID{slow}), "the older one goes first")
	g.Expect(l.Backlog()).To(Equal(800 * time.Millisecond))
	l.Leave(slow)
	g.Expect(l.Backlog()).To(Equal(400 * time.Millisecond))
	granted, _ = l.Advance(now.Add(time.Second))
	g.Expect(granted).To(Equal([]ID{quick}))
}

// Guards against a node that does not know its link and holds answers back.
func TestUnknownLinkLetsAllThrough(t *testing.T) {
	g := NewWithT(t)
	l := New(ForLink(0))
	id := l.Join(1 << 20)
	for range 10 {
		l.Ask(id, 1<<20)
		granted, _ := l.Advance(time.Unix(0, 0))
		g.Expect(granted).To(Equal([]ID{id}))
	}
	g.Expect(l.Backlog()).To(BeZero())
}
