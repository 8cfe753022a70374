package cli

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/metastore/memory"
)

// Guards against routes commands that do not work together: apply must accept the output of
// get, diff must be empty after apply, and an edit of an old version must be refused.
func TestRoutesAreShownComparedAndApplied(t *testing.T) {
	g := NewWithT(t)
	platform := httptest.NewServer(connectplatform.NewHandler(memory.New(memory.Rates{}, 1)))
	defer platform.Close()
	file := filepath.Join(t.TempDir(), "routes.json")
	write := func(text string) { g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := NewRootCommand()
		root.SetOut(&out)
		root.SetArgs(append([]string{"--platform-url", platform.URL, "routes"}, args...))
		err := root.Execute()
		return out.String(), err
	}
	const first = `{"services": [{"name": "booking"}], "limits": {},
		"routes": [{"name": "r", "host": "h", "prefix": "/a/", "kind": "idempotent", "timeout_ms": 1000, "parts": [{"service": "booking", "weight": 1}]}]}`
	write(first)
	out, err := run("diff", file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(And(ContainSubstring("+ service"), ContainSubstring("+ route")))
	out, err = run("apply", file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("applied 1 routes as version 1\n"))
	out, err = run("diff", file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(BeEmpty())
	shown, err := run("get")
	g.Expect(err).NotTo(HaveOccurred())
	write(shown)
	_, err = run("apply", file)
	g.Expect(err).NotTo(HaveOccurred(), "based on version 1")
	_, err = run("apply", file)
	g.Expect(err).To(MatchError(ContainSubstring("changed meanwhile")))
	write(`{"routes": [{"name": "r", "prefix": "nowhere", "kind": "maybe"}], "services": []}`)
	_, err = run("apply", file)
	g.Expect(err).To(MatchError(And(ContainSubstring("maybe"), ContainSubstring("no host"))))
}
