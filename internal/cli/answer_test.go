package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a command that keeps all that a faulty daemon sends and runs out of memory: an answer without end is an error.
func TestAnswerWithoutEndIsAnError(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	fill := strings.Repeat("x", 64<<10)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		for err := error(nil); err == nil; {
			_, err = io.WriteString(w, fill)
			served.Add(int64(len(fill)))
		}
	}))
	defer daemon.Close()
	root := NewRootCommand()
	root.SetOut(io.Discard)
	root.SetErr(io.Discard)
	root.SetArgs([]string{"--daemon", daemon.URL, "--timeout", "3s", "status"})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	g.Expect(root.Execute()).To(MatchError(ContainSubstring("larger than configured max")))
	runtime.ReadMemStats(&after)
	// The buffer doubles until it holds the limit: all of its sizes together are under four times the last one.
	const limit = 8 * 32 << 20
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", limit))
	g.Expect(served.Load()).To(BeNumerically(">", limit), "more was served than kept")
}
