package dedupe

import (
	"encoding/binary"
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // a -rapid.seed flag overrides it
	if n := os.Getenv("BASILWAY_SCHEDULES"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
	os.Exit(m.Run())
}

// newID returns a UUIDv7 with timestamp at and n in place of the random bits.
func newID(at time.Time, n uint64) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], n&(1<<62-1)|1<<63)
	return id
}

// Guards against running a duplicate, and against refusing the retry of a request that did
// not run.
func TestDuplicates(t *testing.T) {
	g := NewWithT(t)
	m := New(Config{MaxResponseBytes: 8})
	id, late := newID(epoch, 1), newID(epoch, 2)
	begin := func(id uuid.UUID) Decision { return m.Begin(id, "s", 7, 0, epoch) }
	g.Expect(begin(id).Action).To(Equal(Run))
	g.Expect(begin(id).Action).To(Equal(Wait))
	m.Finish(id, "s", 7, verdict.NotRun, nil, epoch)
	g.Expect(begin(id).Action).To(Equal(Run))
	m.Finish(id, "s", 7, verdict.Ran, []byte("answer"), epoch)
	g.Expect(begin(id)).To(Equal(Decision{Action: Replay, Response: []byte("answer")}))
	g.Expect(begin(late).Action).To(Equal(Run))
	m.Finish(late, "s", 7, verdict.MayHaveRun, nil, epoch)
	g.Expect(begin(late).Err.Verdict).To(Equal(verdict.MayHaveRun))
	m.Finish(late, "s", 7, verdict.Ran, []byte("late"), epoch)
	g.Expect(begin(late).Response).To(Equal([]byte("late")))
	g.Expect(begin(id).Err.Verdict).To(Equal(verdict.Ran), "its response was dropped to make room")
}

// Guards against accepting ids that have no timestamp, or one too far in the future or at or
// below the floor.
func TestTimestamps(t *testing.T) {
	g := NewWithT(t)
	m := New(Config{})
	begin := func(id uuid.UUID) Decision { return m.Begin(id, "s", 7, epoch.UnixMilli()-1000, epoch) }
	g.Expect(begin(uuid.NameSpaceDNS).Err).To(Equal(errNotV7))
	g.Expect(begin(newID(epoch.Add(201*time.Millisecond), 1)).Err).To(Equal(errAhead))
	g.Expect(begin(newID(epoch.Add(200*time.Millisecond), 2)).Action).To(Equal(Run))
	g.Expect(begin(newID(epoch.Add(-time.Second), 3)).Err).To(Equal(errTooOld))
	g.Expect(begin(newID(epoch.Add(-999*time.Millisecond), 4)).Action).To(Equal(Run))
	_, err := ParseID("not an id")
	g.Expect(err).To(Equal(errNotV7))
}

// Guards against a busy unit that makes other units drop their ids or refuse old ones.
func TestABusyUnitRaisesOnlyItsOwnFloor(t *testing.T) {
	g := NewWithT(t)
	m := New(Config{MaxIDs: 100})
	m.SetUnits("s", []uint64{100}, []uint64{7})
	run := func(id uuid.UUID, hash uint64, now time.Time) Action {
		a := m.Begin(id, "s", hash, 0, now).Action
		m.Finish(id, "s", hash, verdict.Ran, nil, now)
		return a
	}
	quiet := newID(epoch, 0)
	g.Expect(run(quiet, 8, epoch)).To(Equal(Run))
	for n := range uint64(1000) {
		now := epoch.Add(time.Duration(n) * time.Millisecond)
		g.Expect(run(newID(now, n), 7, now)).To(Equal(Run))
	}
	now := epoch.Add(time.Second)
	g.Expect(m.Stats()).To(Equal(Stats{IDs: 100, Evicted: 901}))
	g.Expect(m.Floor("s", 7)).To(BeNumerically(">", epoch.UnixMilli()+800))
	g.Expect(run(newID(epoch, 3), 7, now)).To(Equal(MayHaveRun))
	for _, hash := range []uint64{8, 100} {
		g.Expect(m.Floor("s", hash)).To(BeZero())
		g.Expect(run(newID(epoch, 1), hash, now)).To(Equal(Run))
	}
	g.Expect(run(quiet, 8, now)).To(Equal(Ran))
	m.Expire(now.Add(11 * time.Minute))
	g.Expect(m.Len()).To(BeZero())
	g.Expect(m.Floor("s", 8)).To(Equal(epoch.UnixMilli()))
}

// Guards against running a request again that ran on another daemon: its record is imported
// while the same id is in flight here, and the run here then finishes with NotRun.
func TestImportOfAnIDInFlight(t *testing.T) {
	g := NewWithT(t)
	m := New(Config{})
	id := newID(epoch, 1)
	g.Expect(m.Begin(id, "s", 7, 0, epoch).Action).To(Equal(Run))
	m.Import(Handover{Span: Span{Service: "s", Last: math.MaxUint64}, IDs: []Record{{ID: id, Hash: 7, Verdict: verdict.Ran}}}, epoch)
	m.Finish(id, "s", 7, verdict.NotRun, nil, epoch)
	g.Expect(m.Begin(id, "s", 7, 0, epoch).Action).To(Equal(Ran))
}

func BenchmarkBeginFinish(b *testing.B) {
	m := New(Config{})
	starts := make([]uint64, 16)
	for i := range starts {
		starts[i] = uint64(i) << 60
	}
	m.SetUnits("booking", starts, nil)
	response := make([]byte, 64)
	now := epoch
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		now = now.Add(172 * time.Microsecond) // 5,800 requests a second
		hash := n * 0x9e3779b97f4a7c15
		id := newID(now, n)
		if m.Begin(id, "booking", hash, 0, now).Action != Run {
			b.Fatal("refused")
		}
		m.Finish(id, "booking", hash, verdict.Ran, response, now)
	}
}
