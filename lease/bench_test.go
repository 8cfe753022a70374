package lease

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilway/basilway/cluster"
)

// BenchmarkValid measures Holder.Valid.
func BenchmarkValid(b *testing.B) {
	h := newWorld(mutations{}).holder
	now, valid := simEpoch, false
	b.ReportAllocs()
	for b.Loop() {
		valid = h.Valid(now)
	}
	if !valid {
		b.Fatal("no lease")
	}
}

// BenchmarkValidPublished measures the lease check of the request path, which compares
// the published end of the lease with the monotonic clock.
func BenchmarkValidPublished(b *testing.B) {
	start := time.Now()
	var until atomic.Int64 // nanoseconds since start
	until.Store(int64(time.Hour))
	valid := false
	b.ReportAllocs()
	for b.Loop() {
		valid = int64(time.Since(start)) < until.Load()
	}
	if !valid {
		b.Fatal("no lease")
	}
}

// BenchmarkRenewal measures a renewal at a witness that serves 8 sessions.
func BenchmarkRenewal(b *testing.B) {
	self := cluster.Session{Instance: "w", Incarnation: 1}
	w := NewWitness(DefaultConfig(), self, rand.New(rand.NewPCG(1, 1)))
	var renewals [8]Event
	for i := range renewals {
		session := cluster.Session{Instance: "h", Incarnation: uint64(i)}
		renewals[i] = Renew{Session: session, Witness: self, Generation: 1, Confirmed: 1}
	}
	now, i := simEpoch, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		w.Handle(now, renewals[i%len(renewals)])
		i++
	}
}

// BenchmarkHolderRound measures one renewal of a holder at its three witnesses: the
// requests and the responses.
func BenchmarkHolderRound(b *testing.B) {
	h := newWorld(mutations{}).holder
	now := simEpoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(exploreUnit)
		var responses [MaxWitnesses]Event
		for i, a := range h.Handle(now, Tick{}) {
			if r, ok := a.(SendRenew); ok {
				responses[i] = Granted{Session: r.Renew.Session, Witness: r.Renew.Witness,
					Generation: r.Renew.Generation, Sequence: r.Renew.Sequence}
			}
		}
		for _, m := range responses {
			h.Handle(now, m)
		}
	}
	if !h.Valid(now) {
		b.Fatal("no lease")
	}
}
