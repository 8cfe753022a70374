package prove

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

func (r *run) drainNode(n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	if _, err := n.admin.Drain(ctx, connect.NewRequest(&basilwayv1.DrainRequest{})); err != nil {
		r.t.Logf("drain %s: %v", n.name, err)
	}
}

func drain(r *run) {
	n := r.nodes[1]
	before, err := n.status()
	if err != nil {
		r.violate("%s has no status before its drain: %v", n.name, err)
		return
	}
	from := time.Now()
	r.drainNode(n)
	time.Sleep(pastLease)
	r.expectServed("in the drain", from, time.Now())
	r.expectNoWork(n, before.Incarnation, from.Add(noNewWork))
}

// expectNoWork adds the check that a session that leaves sends no request after a time.
// The instance's next session may: a restarted daemon serves again within 2 s.
func (r *run) expectNoWork(n *node, incarnation string, from time.Time) {
	r.checks = append(r.checks, func(_ []request, executions []execution) (bad []string) {
		for _, e := range executions {
			if e.server == n.name && fmt.Sprintf("%016x", e.Incarnation) == incarnation && e.StartedUS > from.UnixMicro() {
				bad = append(bad, fmt.Sprintf("%s got %s %d us after it had to be without new work", n.name, e.RequestID, e.StartedUS-from.UnixMicro()))
			}
		}
		return bad
	})
}

// terminate stops an instance gracefully. Callers of the other instances must see no
// failure; those of the stopping one may be told to use another, or find it gone.
func (r *run) terminate(n *node) {
	before, err := n.status()
	if err != nil {
		r.violate("%s has no status before its stop: %v", n.name, err)
		return
	}
	from := time.Now()
	n.daemon.signal(syscall.SIGTERM)
	select {
	case <-n.daemon.ended:
	case <-time.After(settleLimit):
		r.violate("%s did not end within %s", n.name, settleLimit)
		return
	}
	to := time.Now()
	if n.daemon.code != 0 {
		r.violate("%s ended with exit code %d", n.name, n.daemon.code)
	}
	r.t.Logf("%s stopped within %s", n.name, to.Sub(from))
	r.expectNoWork(n, before.Incarnation, from.Add(noNewWork))
	r.checks = append(r.checks, func(requests []request, _ []execution) (bad []string) {
		for _, q := range requests {
			for _, a := range q.answers {
				gone := a.daemon == n.name && (a.verdict == notRun && a.reason == "draining" || strings.Contains(a.reason, "connection refused"))
				if a.verdict != ran && !gone && a.end.After(from) && a.call.Before(to) {
					bad = append(bad, fmt.Sprintf("in the stop of %s, a %s to %s, %s after the signal, ended as %s (%s) after %s",
						n.name, q.method, a.daemon, a.call.Sub(from), a.verdict, a.reason, a.end.Sub(a.call)))
				}
			}
		}
		return bad
	})
}

func rollingRestart(r *run) {
	for _, n := range r.nodes {
		r.callers.setAvoid(n, true)
		r.terminate(n)
		n.startDaemon()
		r.waitReturned(n)
		r.waitServed()
	}
}
