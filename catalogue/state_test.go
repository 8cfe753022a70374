package catalogue

import (
	"errors"
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func entry(service string) Entry {
	return Entry{Service: service, Owner: "hinokuni", Class: ClassStandard}
}

// Guards against a validation that stops at the first problem, so that an operator has to
// correct the fields one at a time.
func TestValidateReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	e := Entry{Service: "Booking!", Class: 9, Limits: Limits{
		MaxInFlight: 2_000_000, RatePerSecond: math.NaN(), MaxPayloadBytes: 1 << 30,
	}}
	var v *ValidationError
	g.Expect(errors.As(e.Validate(), &v)).To(BeTrue())
	var fields []string
	for _, p := range v.Problems {
		fields = append(fields, p.Field)
		g.Expect(p.Allowed).NotTo(BeEmpty())
	}
	g.Expect(fields).To(ConsistOf("service", "owner", "class", "limits.max_in_flight",
		"limits.rate_per_second", "limits.max_payload_bytes"))
	g.Expect(v.Error()).To(ContainSubstring(`class is "class(9)", allowed: critical, standard or background`))
	g.Expect(entry("booking").Validate()).To(Succeed())
}

// Guards against a limit without a default, which would be enforced as 0.
func TestDefaultsFillEveryFieldButTheRate(t *testing.T) {
	g := NewWithT(t)
	l := Limits{}.WithDefaults()
	g.Expect([]float64{l.RatePerSecond, float64(l.Burst)}).To(HaveEach(BeZero()))
	g.Expect([]uint32{l.MaxInFlight, l.MaxQueue, l.MaxPayloadBytes, l.DefaultTimeoutMS}).NotTo(ContainElement(uint32(0)))
	g.Expect(Limits{RatePerSecond: 5}.WithDefaults().Burst).To(BeEquivalentTo(1))
	g.Expect(Limits{MaxInFlight: 10}.InFlightPerServer(4)).To(Equal(3))
}

// checkRandomEdits makes random edits, some of them based on outdated versions. It returns
// an error if an edit is lost, a version is skipped or repeated, or a snapshot differs from
// the state.
func checkRandomEdits(t *rapid.T, s *State) error {
	seen := map[string]uint64{}
	for range rapid.IntRange(1, 40).Draw(t, "edits") {
		service := rapid.SampledFrom([]string{"booking", "billing"}).Draw(t, "service")
		before, _ := s.Get(service)
		if rapid.Bool().Draw(t, "refresh") {
			seen[service] = before.Version
		}
		c := Change{Entry: entry(service), Deleted: rapid.Bool().Draw(t, "delete")}
		err := s.Check(c, seen[service])
		var conflict *ConflictError
		switch {
		case err == nil && before.Version != seen[service]:
			return fmt.Errorf("edit of version %d accepted at version %d", seen[service], before.Version)
		case errors.As(err, &conflict) && conflict.Current != before:
			return fmt.Errorf("conflict contains %v, current entry is %v", conflict.Current, before)
		case err != nil:
			continue
		}
		current := s.Version()
		version := current + uint64(rapid.IntRange(0, 2).Draw(t, "step"))
		if err := s.Apply(version, c); (err == nil) != (version == current+1) {
			return fmt.Errorf("apply of %d at %d returned %v", version, current, err)
		}
	}
	data, err := s.Encode()
	decoded, decodeErr := DecodeState(data)
	if err := errors.Join(err, decodeErr); err != nil {
		return err
	}
	if d := Diff(s.All(), decoded.All()); len(d) > 0 || decoded.Version() != s.Version() || len(decoded.history) != len(s.history) {
		return fmt.Errorf("snapshot differs by %v", d)
	}
	return nil
}

// Guards against lost updates, versions that go back and snapshots that lose state.
func TestEditsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkRandomEdits(t, NewState()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property test that cannot fail: switches off each rule in turn and
// expects checkRandomEdits to detect it.
func TestMutationsAreDetected(t *testing.T) {
	for _, m := range []mutations{{acceptAnyVersion: true}, {ignoreExpected: true}} {
		detected := false
		for seed := 0; seed < 50 && !detected; seed++ {
			detected = rapid.Custom(func(t *rapid.T) bool {
				s := NewState()
				s.mutations = m
				return checkRandomEdits(t, s) != nil
			}).Example(seed)
		}
		if !detected {
			t.Errorf("%+v was not detected", m)
		}
	}
}

// Guards against a history that grows without bound or misses the newest changes.
func TestHistoryIsBoundedAndNewestFirst(t *testing.T) {
	g := NewWithT(t)
	s := NewState()
	for v := uint64(1); v <= HistoryLimit+10; v++ {
		g.Expect(s.Apply(v, Change{Entry: entry(fmt.Sprintf("s%d", v%2))})).To(Succeed())
	}
	all := s.History("", 0)
	g.Expect(all).To(HaveLen(HistoryLimit))
	g.Expect(all[0].Version).To(BeEquivalentTo(HistoryLimit + 10))
	s1 := s.History("s1", 3)
	g.Expect([]uint64{s1[0].Version, s1[1].Version, s1[2].Version}).To(HaveExactElements(uint64(HistoryLimit+9), uint64(HistoryLimit+7), uint64(HistoryLimit+5)))
}

// Guards against an entry shown as different although only its version changed.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	same := Entry{Service: "a", Owner: "hinokuni", Class: ClassStandard, Version: 7}
	changed := Entry{Service: "b", Owner: "hinokuni", Class: ClassCritical}
	d := Diff([]Entry{entry("a"), entry("b"), entry("c")}, []Entry{same, changed, entry("d")})
	g.Expect(d).To(HaveLen(3))
	g.Expect(d[0].New.Class).To(Equal(ClassCritical))
	g.Expect(d[1].New).To(BeNil())
	g.Expect(d[2].Old).To(BeNil())
}
