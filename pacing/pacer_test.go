package pacing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// The figures of the users' sites after their growth: links of 14 Mbit/s, downloads of
	// 90 KB whose targets leave about 400 ms for the transfer, calls with a target of 100 ms.
	linkBitsPerSecond = 14e6
	downloadBytes     = 90_000
	downloadTarget    = 400 * time.Millisecond
	callTarget        = 100 * time.Millisecond
	pieceBytes        = 16 << 10
	callBytes         = 700
)

// link is a link that sends messages in order of arrival.
type link struct{ freeAt time.Time }

func (l *link) send(bytes int, now time.Time) (arrives time.Time) {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / linkBitsPerSecond * float64(time.Second)))
	return l.freeAt
}

// outcome counts what the users of a link see.
type outcome struct {
	downloadsInTime, downloads int
	callsInTime, calls         int
	refused                    int
}

// activeDownload is a download in progress.
type activeDownload struct {
	id    ID
	left  int
	start time.Time
	// nextAt is when the receiver's window has room for the next piece. Only downloads
	// without a Pacer use it.
	nextAt time.Time
}

// simulate sends downloads, at a rate of load times the link's rate, together with calls for
// 20 s of virtual time in steps of 1 ms. With a Pacer, downloads that would be late are
// refused. Without one, all downloads are sent at once, each with up to window bytes in flight.
func simulate(seed uint64, load float64, pacer *Pacer) outcome {
	const step, window = time.Millisecond, 64 << 10
	rng := rand.New(rand.NewPCG(seed, 1))
	var out outcome
	var wire link
	var running []*activeDownload
	start := time.Unix(0, 0)
	perStep := load * linkBitsPerSecond / 8 / downloadBytes * step.Seconds()
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		if rng.Float64() < perStep {
			out.downloads++
			size := int(downloadBytes * (0.5 + rng.Float64()))
			switch {
			case pacer == nil:
				running = append(running, &activeDownload{left: size, start: now, nextAt: now})
			case pacer.Backlog()+pacer.TransferTime(int64(size)) > downloadTarget:
				out.refused++
			default:
				running = append(running, &activeDownload{id: pacer.Add(int64(size)), left: size, start: now, nextAt: now})
			}
		}
		if pacer != nil {
			for _, a := range running {
				pacer.Request(a.id, min(a.left, pieceBytes))
			}
			granted, _ := pacer.Advance(now)
			running = slices.DeleteFunc(running, func(a *activeDownload) bool {
				if !slices.Contains(granted, a.id) {
					return false
				}
				return out.sendPiece(a, &wire, now, pacer)
			})
		} else {
			running = slices.DeleteFunc(running, func(a *activeDownload) bool {
				if now.Before(a.nextAt) {
					return false
				}
				n := min(a.left, pieceBytes)
				ended := out.sendPiece(a, &wire, now, nil)
				// The next piece is sent when the window has room again.
				a.nextAt = wire.freeAt.Add(-time.Duration(float64((window-n)*8) / linkBitsPerSecond * float64(time.Second)))
				return ended
			})
		}
		if rng.Float64() < 0.08 {
			out.calls++
			if wire.send(callBytes, now).Sub(now) <= callTarget/2 {
				out.callsInTime++
			}
		}
	}
	return out
}

// sendPiece sends the next piece of a download and reports whether it is the last one.
func (p *outcome) sendPiece(a *activeDownload, wire *link, now time.Time, pacer *Pacer) bool {
	n := min(a.left, pieceBytes)
	arrives := wire.send(n, now)
	a.left -= n
	if a.left > 0 {
		return false
	}
	if arrives.Sub(a.start) <= downloadTarget {
		p.downloadsInTime++
	}
	if pacer != nil {
		pacer.Remove(a.id)
	}
	return true
}

// Guards against calls waiting behind large responses on a link that is nearly full or
// overloaded. This happens if each response is sent at once.
func TestCallsOvertakeLargeResponses(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.6, 0.8, 1.0, 1.4} {
		got, baseline := simulate(3, load, New(ForLink(linkBitsPerSecond))), simulate(3, load, nil)
		t.Logf("load %.1f: calls in time %d of %d, baseline %d; downloads in time %d of %d, baseline %d, refused %d",
			load, got.callsInTime, got.calls, baseline.callsInTime, got.downloadsInTime, got.downloads, baseline.downloadsInTime, got.refused)
		g.Expect(float64(got.callsInTime)).To(BeNumerically(">=", 0.99*float64(got.calls)))
		g.Expect(got.downloadsInTime).To(BeNumerically(">=", baseline.downloadsInTime-got.downloads/50))
		if load >= 1 {
			g.Expect(got.downloadsInTime).To(BeNumerically(">", baseline.downloadsInTime))
			g.Expect(got.callsInTime).To(BeNumerically(">", 2*baseline.callsInTime))
		}
	}
}

// Guards against a slow receiver blocking the other transfers, and against an idle link while
// a transfer has a piece to send.
func TestTransfersWithoutARequestAreSkipped(t *testing.T) {
	g := NewWithT(t)
	p := New(Config{BytesPerSecond: 1000, Burst: 100})
	slow, quick := p.Add(500), p.Add(500)
	now := time.Unix(0, 0)
	p.Request(quick, 100)
	granted, _ := p.Advance(now)
	g.Expect(granted).To(Equal([]ID{quick}))
	p.Request(quick, 100)
	granted, wait := p.Advance(now)
	g.Expect(granted).To(BeEmpty())
	p.Request(slow, 100)
	granted, _ = p.Advance(now.Add(wait))
	g.Expect(granted).To(Equal([]ID{slow}), "the older one goes first")
	g.Expect(p.Backlog()).To(Equal(800 * time.Millisecond))
	p.Remove(slow)
	g.Expect(p.Backlog()).To(Equal(400 * time.Millisecond))
	granted, _ = p.Advance(now.Add(time.Second))
	g.Expect(granted).To(Equal([]ID{quick}))
}

// Guards against delaying responses on a node that does not know the rate of its link.
func TestUnknownLinkRateSetsNoLimit(t *testing.T) {
	g := NewWithT(t)
	p := New(ForLink(0))
	id := p.Add(1 << 20)
	for range 10 {
		p.Request(id, 1<<20)
		granted, _ := p.Advance(time.Unix(0, 0))
		g.Expect(granted).To(Equal([]ID{id}))
	}
	g.Expect(p.Backlog()).To(BeZero())
}
