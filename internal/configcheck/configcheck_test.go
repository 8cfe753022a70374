package configcheck

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/httpprotocol"
	"github.com/basilway/basilway/internal/node"
	"github.com/basilway/basilway/platform"
)

func readFile(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func read(t *testing.T, name string) Configuration {
	t.Helper()
	c, err := Read(readFile(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against findings in a valid configuration of either form, and against a form that is taken for the
// other one.
func TestValidConfigurations(t *testing.T) {
	g := NewWithT(t)
	c := read(t, "platform.json")
	g.Expect(c.Platform).To(BeTrue())
	report := Check(c, nil)
	g.Expect(report.Valid).To(BeTrue())
	g.Expect(report.Findings).To(ConsistOf(HaveField("Severity", httproute.Note)), "a resource for others is no fault")
	c = read(t, "catalogue.json")
	g.Expect(c.Platform).To(BeFalse())
	report = Check(c, &c)
	g.Expect(report).To(Equal(Report{Valid: true, Findings: []httproute.Finding{}}))
}

// Guards against a check that stops at the first problem, or does not say where it is.
func TestAllProblemsAreFound(t *testing.T) {
	g := NewWithT(t)
	finding := func(severity httproute.Severity, place, reason string) any {
		return And(HaveField("Severity", severity), HaveField("Place", place), HaveField("Reason", ContainSubstring(reason)))
	}
	report := Check(read(t, "platform-broken.json"), nil)
	g.Expect(report.Valid).To(BeFalse())
	g.Expect(report.Findings).To(ContainElements(
		finding(httproute.Error, "version", `"7" is not r`), finding(httproute.Error, `routes "a"`, "sometimes"), finding(httproute.Error, `services "s"`, "warmup"),
		finding(httproute.Error, `route "b"`, `unknown service "s"`), finding(httproute.Error, `route "b"`, "timeout must be positive"),
		finding(httproute.Warning, `route "b"`, "has a port"), finding(httproute.Warning, "limits", "more than once"),
	))
	report = Check(read(t, "catalogue-broken.json"), nil)
	g.Expect(report.Findings).To(ContainElements(
		finding(httproute.Error, "", `duplicate service "a"`), finding(httproute.Error, `route "r"`, `kind "maybe"`),
		finding(httproute.Error, `route "r"`, `prefix "nowhere"`), finding(httproute.Error, `route "r"`, "no service"),
	))
}

// Guards against a version that is reported as valid although it would not take effect.
func TestVersionsThatDoNotTakeEffect(t *testing.T) {
	g := NewWithT(t)
	platformState, catalogue := read(t, "platform.json"), read(t, "catalogue.json")
	valid := func(c Configuration, version uint64, against Configuration) bool {
		c.Snapshot.Version = version
		return Check(c, &against).Valid
	}
	changed := platformState
	changed.Snapshot.Limits.BodyBytes++
	g.Expect(valid(platformState, 8, platformState)).To(BeTrue())
	g.Expect(valid(platformState, 7, platformState)).To(BeTrue(), "the same file")
	g.Expect(valid(changed, 7, platformState)).To(BeFalse())
	g.Expect(valid(changed, 6, platformState)).To(BeFalse())
	g.Expect(valid(catalogue, 0, catalogue)).To(BeTrue(), "replaces any")
	g.Expect(valid(catalogue, 2, catalogue)).To(BeFalse())
	g.Expect(valid(catalogue, 7, platformState)).To(BeFalse(), "another form")
}

// FuzzCheckAgreesWithNodes checks any bytes: the check must not panic, and must find an error exactly if the
// nodes refuse them.
func FuzzCheckAgreesWithNodes(f *testing.F) {
	for _, name := range []string{"platform.json", "platform-broken.json", "catalogue.json", "catalogue-broken.json"} {
		f.Add(readFile(f, name))
	}
	for _, seed := range []string{
		"", "null", "{}", "[]", "0", `{"version":"r1"}`, `{"version":1}`, `{"version":"r1","resources":null}`, `{"resources":[null]}`, `{"version":"r99999999999999999999"}`,
		`{"VERSION":"r1","Resources":[{}]}`, `{"routes":[{}]}`, `{"services":null} trailing`, `{"version":"r1"} trailing`, `{"limits":{"body_bytes":1e400}}`, "\xff{}", `{"rutes":[]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Read(data)
		protocol := node.Protocol(httpprotocol.Protocol{})
		if platform.IsDesiredState(data) {
			protocol = platform.Protocol{}
		}
		snapshot, nodeErr := protocol.DesiredState(data)
		if nodeErr == nil {
			_, nodeErr = httproute.NewTable(snapshot)
		}
		refused := err != nil
		for _, finding := range c.Findings {
			refused = refused || finding.Severity == httproute.Error
		}
		if refused != (nodeErr != nil) {
			t.Fatalf("%q: error %v, findings %v, but the node's error is %v", data, err, c.Findings, nodeErr)
		}
		if err != nil {
			return
		}
		if same := Check(c, &c); len(same.Differences) > 0 {
			t.Fatalf("%q differs from itself: %v", data, same.Differences)
		}
	})
}
