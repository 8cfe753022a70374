package backend_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilway/basilway/internal/backend"
)

// Guards against a crash that is missed or reported twice, and against a freeze that is
// reported although no probe failed.
func TestMachine(t *testing.T) {
	g := NewWithT(t)
	m := backend.Machine{FreezeAfter: time.Second}
	start := time.Unix(1000, 0)
	step := func(after time.Duration, e backend.Event) []backend.Action { return m.Step(e, start.Add(after)) }
	g.Expect(step(0, backend.ConnectionRefused{})).To(BeEmpty())
	g.Expect(step(0, backend.Announced{ProcessID: 1})).To(ConsistOf(backend.ReportUp))
	g.Expect(step(2*time.Second, backend.Tick{})).To(BeEmpty())
	g.Expect(step(2*time.Second, backend.ProbeFailed{ProcessID: 1})).To(ConsistOf(backend.ReportFrozen))
	g.Expect(step(3*time.Second, backend.ProbeFailed{ProcessID: 1})).To(BeEmpty())
	g.Expect(step(4*time.Second, backend.Announced{ProcessID: 1})).To(ConsistOf(backend.ProbeNow))
	g.Expect(step(5*time.Second, backend.Responded{ProcessID: 1})).To(ConsistOf(backend.ReportResumed))
	g.Expect(step(5*time.Second, backend.ConnectionLost{ProcessID: 1})).To(ConsistOf(backend.ProbeNow))
	g.Expect(step(5*time.Second, backend.ConnectionRefused{ProcessID: 1})).To(ConsistOf(backend.ReportDown))
	g.Expect(step(5*time.Second, backend.ConnectionRefused{ProcessID: 1})).To(BeEmpty())
	g.Expect(step(6*time.Second, backend.Announced{ProcessID: 2})).To(ConsistOf(backend.ReportUp))
	g.Expect(step(6*time.Second, backend.ConnectionRefused{ProcessID: 1})).To(BeEmpty())
	g.Expect(step(7*time.Second, backend.Announced{ProcessID: 3})).To(Equal([]backend.Action{backend.ReportDown, backend.ReportUp}))
	g.Expect(m.State()).To(Equal(backend.Up))
}

// Guards against reports in the wrong order: ReportUp and ReportDown must alternate, and
// ReportFrozen and ReportResumed must only come while the server is up.
func TestMachineReportsAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := backend.Machine{FreezeAfter: time.Second}
		now := time.Unix(1000, 0)
		up := false
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.Uint64Range(1, 3).Draw(t, "process")
			event := rapid.SampledFrom([]backend.Event{
				backend.Announced{ProcessID: id}, backend.Responded{ProcessID: id}, backend.ProbeFailed{ProcessID: id},
				backend.ConnectionRefused{ProcessID: id}, backend.ConnectionLost{ProcessID: id}, backend.Tick{},
			}).Draw(t, "event")
			for _, action := range m.Step(event, now) {
				switch {
				case action == backend.ReportUp && !up:
					up = true
				case action == backend.ReportDown && up:
					up = false
				case action == backend.ReportUp || action == backend.ReportDown,
					!up && slices.Contains([]backend.Action{backend.ReportFrozen, backend.ReportResumed}, action):
					t.Fatalf("action %d while up is %v", action, up)
				}
			}
		}
	})
}
