package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const logs = `0.9 b {"level":"info","ts":"2026-12-03T10:00:00.200Z","msg":"forwarded request not served","instance":"b","reason":"overloaded","request":"r1"}
{"level":"info","ts":"2026-12-03T10:00:00.210Z","msg":"request failed","instance":"a","instances":["b","c"],"verdict":"not_run","request":"r1"}
{"level":"info","ts":"2026-12-03T10:00:00.100Z","msg":"request retried","instance":"a","request":"r1"}
{"level":"info","ts":"2026-12-03T10:00:00.100Z","msg":"request failed","instance":"a","request":"r2"}
panic: not a log line
`

// Guards against a timeline in the wrong order, with lines of other requests, or that does
// not report missing logs and unreadable lines.
func TestTimeline(t *testing.T) {
	g := NewWithT(t)
	timeline, err := Collect("r1", strings.NewReader(logs))
	g.Expect(err).NotTo(HaveOccurred())
	var out strings.Builder
	g.Expect(timeline.Write(&out)).To(Succeed())
	text := out.String()
	g.Expect(text).NotTo(ContainSubstring("r2"))
	g.Expect(strings.Index(text, "request retried")).To(BeNumerically("<", strings.Index(text, "forwarded request not served")))
	g.Expect(strings.Index(text, "forwarded request not served")).To(BeNumerically("<", strings.Index(text, "request failed")))
	g.Expect(text).To(ContainSubstring("reason=overloaded"))
	g.Expect(text).To(ContainSubstring("missing: the logs of c"))
	g.Expect(text).To(ContainSubstring("1 lines are not log lines"))
}

// Guards against empty output for a request that no log mentions.
func TestUnknownRequest(t *testing.T) {
	g := NewWithT(t)
	timeline, err := Collect("r9", strings.NewReader(logs))
	g.Expect(err).NotTo(HaveOccurred())
	var out strings.Builder
	g.Expect(timeline.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("no line about request r9 in the logs of 2 instances"))
}
