package planner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/cluster"
)

var start = time.Unix(1_800_000_000, 0)

func units(n int) []cluster.Unit {
	out := make([]cluster.Unit, n)
	for i := range out {
		out[i] = cluster.Unit{Service: "booking", Start: uint64(i) << 60}
	}
	return out
}

// Guards against reports that exceed the planner's byte budget at 1,900 nodes: 60 bytes are
// planned for 8 units, and a heavy key adds about 14.
func TestReportIsSmall(t *testing.T) {
	g := NewWithT(t)
	r := NewRecorder(DefaultRecorderConfig(1900, 8))
	r.SetUnits(1_000_000, units(8), start)
	for i := range 8 {
		r.Record(units(8)[i], uint64(i)<<60+1, 5*time.Second, false)
		for k := range 300 {
			r.Record(units(8)[i], uint64(i)<<60+uint64(k), 5*time.Millisecond, false)
		}
	}
	r.cfg.MaxKeys = 1
	report, due := r.Report(Status{Occupied: 5, ClaimedLoad: 4.2}, start.Add(12*time.Second))
	g.Expect(due).To(BeTrue())
	g.Expect(report.Keys).To(HaveLen(1))
	data, err := cbor.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("report of 8 units and 1 key: %d bytes", len(data))
	g.Expect(len(data)).To(BeNumerically("<=", 66))
	var back Report
	g.Expect(cbor.Unmarshal(data, &back)).To(Succeed())
	g.Expect(back).To(Equal(report))
}

// Guards against a sketch that loses a hot key among many others or overstates its load.
func TestSketchKeepsHeavyKeys(t *testing.T) {
	const seed = 7
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(seed, 0))
	r := NewRecorder(DefaultRecorderConfig(10, 8))
	u := units(1)
	r.SetUnits(1, u, start)
	for range 20_000 {
		hash := rng.Uint64()
		if rng.IntN(10) == 0 {
			hash = 42
		}
		r.Record(u[0], hash, time.Millisecond, false)
	}
	report, due := r.Report(Status{}, start.Add(5*time.Second))
	g.Expect(due).To(BeTrue(), "seed %d", seed)
	g.Expect(report.Units[0]).To(BeEquivalentTo(4000))
	g.Expect(report.Keys).To(HaveLen(1), "seed %d", seed)
	g.Expect(report.Keys[0].Hash).To(BeEquivalentTo(42))
	g.Expect(report.Keys[0].Load).To(BeNumerically("~", 400, 60), "seed %d", seed)
}

// Guards against a report in every interval: without a change a report is due only after
// MaxInterval, and none is due before Interval unless the backend server goes down.
func TestReportIsDueOnChange(t *testing.T) {
	g := NewWithT(t)
	r := NewRecorder(DefaultRecorderConfig(10, 8))
	u := units(1)
	r.SetUnits(1, u, start)
	at := start
	recordAndReport := func(busy time.Duration) bool {
		at = at.Add(time.Second)
		r.Record(u[0], 1, busy, false)
		_, due := r.Report(Status{}, at)
		return due
	}
	g.Expect(recordAndReport(time.Second)).To(BeTrue())
	g.Expect(recordAndReport(time.Second)).To(BeFalse())
	g.Expect(recordAndReport(4 * time.Second)).To(BeTrue())
	_, due := r.Report(Status{}, at.Add(time.Millisecond))
	g.Expect(due).To(BeFalse())
	_, due = r.Report(Status{Down: true}, at.Add(time.Millisecond))
	g.Expect(due).To(BeTrue(), "backend server went down")
}

// Guards against a load that is too low for a unit owned during only part of the window.
func TestLoadCountsFromTheStartOfOwnership(t *testing.T) {
	g := NewWithT(t)
	r := NewRecorder(DefaultRecorderConfig(10, 8))
	u := units(2)
	r.SetUnits(1, u[:1], start)
	r.SetUnits(2, u, start.Add(9*time.Second))
	r.Record(u[0], 1, 10*time.Second, false)
	r.Record(u[1], 1<<60, time.Second, false)
	report, _ := r.Report(Status{}, start.Add(10*time.Second))
	g.Expect(report.Units).To(Equal([]uint32{1000, 1000}))
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(DefaultRecorderConfig(1900, 8))
	u := units(8)
	r.SetUnits(1, u, start)
	rng := rand.New(rand.NewPCG(1, 0))
	hashes := make([]uint64, 1<<16)
	for i := range hashes {
		hashes[i] = rng.Uint64()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Record(u[i%8], hashes[i%len(hashes)], time.Millisecond, false)
	}
}
