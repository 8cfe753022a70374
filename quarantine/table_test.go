package quarantine

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/basilway/basilway/cluster"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // -rapid.seed overrides it
	if n := os.Getenv("BASILWAY_SCHEDULES"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
	os.Exit(m.Run())
}

func newTable(name string) *Table {
	return New(Config{Session: cluster.Session{Instance: name, Incarnation: 1}})
}

// Guards against one request crashing every backend server in turn, and against refusing
// requests with other payloads that were in flight at the first crash.
func TestTwoCrashesRefuseEverywhereUntilTheFirstStrikeExpires(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable("a"), newTable("b")
	bad, innocent := NewFingerprint("s", "m", []byte("bad")), NewFingerprint("s", "m", []byte("ok"))
	g.Expect(a.Begin(bad, epoch).Action).To(Equal(Run))
	g.Expect(a.Begin(innocent, epoch).Action).To(Equal(Run))
	b.Merge(a.Crashed([]Fingerprint{innocent, bad}, epoch), epoch)
	first := b.Begin(innocent, epoch)
	g.Expect(first.Action).To(Equal(Run))
	g.Expect(b.Begin(bad, epoch).Action).To(Equal(Wait))
	b.End(first.Ticket)
	g.Expect(b.Begin(bad, epoch).Action).To(Equal(Run))
	later := epoch.Add(time.Minute)
	a.Merge(b.Crashed([]Fingerprint{bad}, later), later)
	for _, d := range []*Table{a, b} {
		refusal := d.Begin(bad, later)
		g.Expect(refusal).To(Equal(Decision{Action: Refuse, Until: epoch.Add(10 * time.Minute)}))
		g.Expect(refusal.Err(later).RetryAfter).To(Equal(9 * time.Minute))
		run := d.Begin(innocent, later)
		g.Expect(run.Action).To(Equal(Run))
		d.End(run.Ticket)
		g.Expect(d.Begin(bad, epoch.Add(10*time.Minute)).Action).To(Equal(Run))
	}
}

// Guards against refusing a request after one crash because its caller had sent it several
// times.
func TestOneCrashIsOneStrike(t *testing.T) {
	for seed := range uint64(20) {
		for _, m := range []mutations{{}, {strikePerRequest: true}} {
			q, r := newTable("a"), rand.New(rand.NewPCG(seed, 1))
			q.mutations = m
			f := Fingerprint(r.Uint64())
			var lost []Fingerprint
			for range 2 + r.IntN(4) {
				q.Begin(f, epoch)
				lost = append(lost, f)
			}
			q.Crashed(lost[1:], epoch)
			q.AlsoLost(lost[:1], epoch)
			if once := q.Strikes(f, epoch) == 1; once == m.strikePerRequest {
				t.Errorf("seed %d, mutations %+v: one strike: %t", seed, m, once)
			}
		}
	}
}

// Guards against daemons disagreeing on a quarantine because they received the records in
// different orders or more than once.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		record := rapid.Custom(func(t *rapid.T) Record {
			session := cluster.Session{Instance: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "session")}
			crash := CrashID{Session: session, Sequence: rapid.Uint64Range(1, 4).Draw(t, "crash")}
			at := epoch.UnixMilli() + int64(len(session.Instance)+int(crash.Sequence%3))*1000
			return Record{Fingerprint(rapid.Uint64Range(1, 3).Draw(t, "print")), crash, at}
		})
		records := rapid.SliceOfN(record, 0, 20).Draw(t, "records")
		now := epoch.Add(time.Minute)
		x, y := newTable("x"), newTable("y")
		x.Merge(records, now)
		shuffled := rapid.Permutation(append(records, records...)).Draw(t, "shuffled")
		for _, r := range shuffled {
			y.Merge([]Record{r}, now)
		}
		fromX, _ := x.Changes(0, now)
		fromY, revision := y.Changes(0, now)
		g.Expect(fromY).To(Equal(fromX))
		g.Expect(y.Merge(fromX, now)).To(BeZero())
		changed, _ := y.Changes(revision, now)
		g.Expect(changed).To(BeEmpty())
	})
}

// Guards against unbounded memory and against a flood of single strikes ending a quarantine.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	q := New(Config{MaxFingerprints: 8})
	for range 2 {
		q.Begin(1, epoch)
		q.Crashed([]Fingerprint{1}, epoch)
	}
	for f := Fingerprint(2); f < 100; f++ {
		q.Begin(f, epoch)
		q.Crashed([]Fingerprint{f}, epoch.Add(time.Second))
	}
	g.Expect(q.Len()).To(Equal(8))
	g.Expect(q.Strikes(1, epoch.Add(time.Second))).To(Equal(2))
	q.Expire(epoch.Add(11 * time.Minute))
	g.Expect(q.Len()).To(BeZero())
}
