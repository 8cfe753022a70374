package prove

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// unavailableTarget is the design's limit for an unplanned loss with the store up.
	unavailableTarget = 3 * time.Second
	// quiesce lets requests that callers gave up on come to their end.
	quiesce = 2 * time.Second
)

// proving says that all scenarios run and that the time targets are asserted.
var proving = os.Getenv("BASILWAY_PROVE") != ""

// run is one run of a scenario.
type run struct {
	*testCluster
	callers    *callers
	begun      time.Time
	mu         sync.Mutex
	violations []string
	lost       []string
	lossAt     time.Time
	samples    []sample
	checks     []func([]request, []execution) []string
}

// scenario is a failure with the invariants that it puts at risk.
type scenario struct {
	point, failure string
	instances      int
	// open runs backend servers that do not check grants.
	open bool
	// timed asserts the 3 s target for the keys that are lost.
	timed bool
	fail  func(*run)
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// loses notes that instances stop serving now, and which of the keys they own.
func (r *run) loses(nodes ...*node) {
	r.lost = nil
	for _, key := range r.callers.keys {
		for _, n := range nodes {
			if r.ask(nodes...).ownerOf(key) == n.name {
				r.lost = append(r.lost, key)
			}
		}
	}
	for _, n := range nodes {
		r.callers.setAvoid(n, true)
	}
	r.lossAt = time.Now()
}

// ask returns an instance besides the given ones.
func (r *run) ask(except ...*node) *node {
	i := slices.IndexFunc(r.nodes, func(n *node) bool { return !slices.Contains(except, n) && n.daemon.alive() })
	return r.nodes[i]
}

// waitServed waits until each key is answered through each running instance.
func (r *run) waitServed() {
	r.t.Helper()
	r.wait("each key is answered through each instance", func() bool {
		for _, n := range r.nodes {
			for _, key := range r.callers.keys {
				if n.daemon.alive() && !call(n, request{key: key, method: "get", idempotent: true, id: newID()}, callLimit).body {
					return false
				}
			}
		}
		return true
	})
}

// sampleFeeds notes what the daemons say about the assignment until done is closed.
func (r *run) sampleFeeds(done <-chan struct{}) {
	for {
		for _, n := range r.nodesNow() {
			process := fmt.Sprint(n.name, "/", n.daemon.cmd.Process.Pid)
			reply, err := n.owners()
			if err != nil {
				continue
			}
			var b strings.Builder
			for _, o := range reply.Ranges {
				fmt.Fprintf(&b, "%x=%s@%d>%s ", o.Start, o.Instance, o.Epoch, o.MovingTo)
			}
			r.mu.Lock()
			r.samples = append(r.samples, sample{process: process, at: time.Now(), version: reply.ClusterVersion, content: b.String()})
			r.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// nodesNow returns the instances that run and are called by probes.
func (r *run) nodesNow() (out []*node) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, n := range r.allNodes() {
		if !r.callers.avoid[n.name] {
			out = append(out, n)
		}
	}
	return out
}

// prove runs a scenario once and checks everything that happened.
func prove(t *testing.T, s scenario, seed uint64) {
	t.Logf("seed %d", seed)
	recorded := false
	defer func() {
		if !recorded { // a condition was not met in time
			record(s.point, s.failure, 0, 1, nil, 0, breaksOf(s.failure))
		}
	}()
	r := &run{testCluster: newCluster(t, s.instances, !s.open), begun: time.Now()}
	r.callers = startCallers(r.testCluster, seed)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.sampleFeeds(done) })
	r.waitServed()
	time.Sleep(time.Second)
	s.fail(r)
	r.waitServed()
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	requests := r.callers.stop()
	time.Sleep(quiesce)
	var executions []execution
	for _, n := range r.nodes {
		executions = append(executions, n.executions()...)
	}
	for _, c := range []struct {
		name string
		bad  []string
	}{
		{"runs at most once", checkOnce(executions)},
		{"not run means not run", checkNotRun(requests, executions)},
		{"own answer", checkAnswers(requests, executions)},
		{"one owner at a time (executions)", checkOwners(executions)},
		{"one owner at a time (answers)", checkEpochs(requests)},
		{"one owner at a time (porcupine)", checkOwnerHistory(requests, historyLimit)},
		{"runs at most once (porcupine)", checkOnceHistory(requests, executions, historyLimit)},
		{"one assignment at each version", checkFeed(r.samples)},
	} {
		r.report(c.name, c.bad)
	}
	for _, check := range r.checks {
		r.report(s.failure, check(requests, executions))
	}
	times := unavailable(requests, r.lost, r.lossAt)
	if len(times) < len(r.lost) {
		r.violate("%d of %d lost keys were never served again", len(r.lost)-len(times), len(r.lost))
	}
	for key, took := range times {
		if s.timed && proving && took > unavailableTarget {
			r.violate("key %s was unavailable for %s", key, took)
		}
	}
	counts := map[string]int{}
	for _, q := range requests {
		for _, a := range q.answers {
			reason, _, _ := strings.Cut(a.reason, ":") // the text of transport errors has ports
			counts[strings.TrimSuffix(a.verdict+", "+reason, ", ")]++
		}
	}
	t.Logf("%s: %d requests, answers %v, %d executions, unavailable %v", s.failure, len(requests), counts, len(executions), times)
	recorded = true
	record(s.point, s.failure, len(requests), len(r.violations), times, len(r.lost), breaksOf(s.failure))
	for _, v := range r.violations {
		t.Error(v)
	}
}

// report notes the violations that a check found.
func (r *run) report(name string, bad []string) {
	for i, text := range bad {
		if i == maxReported {
			r.t.Logf("%s: %d more", name, len(bad)-i)
			break
		}
		r.t.Logf("%s: %s", name, text)
	}
	if len(bad) > 0 {
		r.violate("%s: %d violations", name, len(bad))
	}
}
