package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/configcheck"
)

const checkedRoutes = `{"services": [{"name": "booking"}], "limits": {},
	"routes": [{"name": "r", "host": "h", "prefix": "/a/", "kind": "idempotent", "timeout_ms": 1000, "parts": [{"service": "booking", "weight": 1}]}]}`

// Guards against a script that sends a configuration because of a wrong exit code, and against output that
// does not name what is wrong and what changes.
func TestConfigCheckReportsAndSetsTheExitCode(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		root := NewRootCommand()
		root.SetOut(&out)
		root.SetIn(strings.NewReader(checkedRoutes))
		root.SetArgs(append([]string{"config", "check"}, args...))
		if err := root.Execute(); err != nil {
			return out.String(), exitCode(err)
		}
		return out.String(), 0
	}
	good := file("good", checkedRoutes)
	slow := file("slow", strings.Replace(checkedRoutes, `"timeout_ms": 1000`, `"timeout_ms": 1000, "target_ms": 1500`, 1))
	refused := file("refused", strings.Replace(checkedRoutes, `"prefix": "/a/"`, `"prefix": "a"`, 1))
	unreadable := file("unreadable", `{"routes": `)

	out, code := run(good)
	g.Expect(code).To(Equal(0))
	g.Expect(out).To(Equal("valid\n"))
	out, code = run("-", "--against", good)
	g.Expect(code).To(Equal(0))
	g.Expect(out).To(Equal("valid\ndifferences: 0\n"))
	out, code = run(slow, "--against", good)
	g.Expect(code).To(Equal(1))
	g.Expect(out).To(Equal("warning: route \"r\": target latency 1.5s is above the timeout 1s, so a response is never late\n" +
		"differences: 1\n  route \"r\" target latency changed from 0s to 1.5s\n"))
	out, code = run(refused, "--format", "json")
	g.Expect(code).To(Equal(1))
	var report configcheck.Report
	g.Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
	g.Expect(report.Valid).To(BeFalse())
	g.Expect(out).To(And(ContainSubstring(`"severity": "error"`), ContainSubstring("must start and end with a slash")))
	for _, args := range [][]string{{unreadable}, {filepath.Join(dir, "missing")}, {good, "--against", unreadable}, {good, "--format", "xml"}} {
		out, code = run(args...)
		g.Expect(code).To(Equal(2), "%v", args)
		g.Expect(out).To(BeEmpty())
	}
}
