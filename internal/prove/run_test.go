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
	// unavailableTarget is the design's limit for how long a key is unavailable after an
	// unplanned loss of its owner while the store is up.
	unavailableTarget = 3 * time.Second
	// quiescePeriod is how long a run waits at its end for requests that may still execute
	// although their callers have given up on them.
	quiescePeriod = 2 * time.Second
)

// fullRun is set if all scenarios run and unavailableTarget is asserted.
var fullRun = os.Getenv("BASILWAY_PROVE") != ""

// run is one run of a scenario.
type run struct {
	*testCluster
	callers    *callers
	startedAt  time.Time
	mu         sync.Mutex
	violations []string
	lostKeys   []string
	lostAt     time.Time
	samples    []sample
	checks     []func([]request, []execution) []string // added by the scenario
}

// scenario is a failure to inject, with the numbers of the design's invariants that it puts
// at risk.
type scenario struct {
	invariants, failure string
	instances           int
	// noRequestFails is set if the scenario checks that every request is served. In the short
	// run, whose verdict must not depend on the machine's load, its callers wait for a response
	// as long as for any other condition. In the full run they keep their timeouts.
	noRequestFails bool
	// skipGrantChecks runs backend servers that do not check grants.
	skipGrantChecks bool
	// assertTarget asserts unavailableTarget, 3 s, for the keys whose owner is lost, if fullRun
	// is set.
	assertTarget bool
	inject       func(*run)
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// markLost records that instances stop serving now, and the keys that they own. Probes leave
// the instances out from now on.
func (r *run) markLost(nodes ...*node) {
	r.lostKeys = nil
	for _, key := range r.callers.keys {
		for _, n := range nodes {
			if r.liveNode(nodes...).ownerOf(key) == n.name {
				r.lostKeys = append(r.lostKeys, key)
			}
		}
	}
	for _, n := range nodes {
		r.callers.setUnprobed(n, true)
	}
	r.lostAt = time.Now()
}

// liveNode returns an instance that runs and is not one of except.
func (r *run) liveNode(except ...*node) *node {
	i := slices.IndexFunc(r.nodes, func(n *node) bool { return !slices.Contains(except, n) && n.daemon.alive() })
	return r.nodes[i]
}

// waitServed waits until a read of each key succeeds through each running instance.
func (r *run) waitServed() {
	r.t.Helper()
	r.waitUntil("each key is served through each instance", func() bool {
		for _, n := range r.nodes {
			for _, key := range r.callers.keys {
				if n.daemon.alive() && !call(n, request{key: key, method: "get", idempotent: true, id: newID()}, callTimeout).hasPayload {
					return false
				}
			}
		}
		return true
	})
}

// sampleFeeds polls the instances that probes call until done is closed. It records the
// cluster version and the assignment that each of them reports.
func (r *run) sampleFeeds(done <-chan struct{}) {
	for {
		for _, n := range r.probedNodes() {
			process := fmt.Sprint(n.name, "/", n.daemon.cmd.Process.Pid)
			resp, err := n.owners()
			if err != nil {
				continue
			}
			var b strings.Builder
			for _, o := range resp.Ranges {
				fmt.Fprintf(&b, "%x=%s@%d>%s ", o.Start, o.Instance, o.Epoch, o.MovingTo)
			}
			r.mu.Lock()
			r.samples = append(r.samples, sample{process: process, at: time.Now(), version: resp.ClusterVersion, content: b.String()})
			r.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// probedNodes returns the instances that probes call.
func (r *run) probedNodes() (out []*node) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, n := range r.allNodes() {
		if !r.callers.unprobed[n.name] {
			out = append(out, n)
		}
	}
	return out
}

// runScenario runs a scenario once and checks all invariants against the observed history.
func runScenario(t *testing.T, s scenario, seed uint64) {
	t.Logf("seed %d", seed)
	recorded := false
	defer func() {
		if !recorded { // a wait timed out
			recordRun(s.invariants, s.failure, 0, 1, nil, 0, mutationsOf(s.failure))
		}
	}()
	r := &run{testCluster: newCluster(t, s.instances, !s.skipGrantChecks), startedAt: time.Now()}
	if s.noRequestFails && !fullRun {
		r.callers = startCallers(r.testCluster, seed, settleTimeout, settleTimeout)
	} else {
		r.callers = startCallers(r.testCluster, seed, callTimeout, probeTimeout)
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.sampleFeeds(done) })
	r.waitServed()
	time.Sleep(time.Second)
	s.inject(r)
	r.waitServed()
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	requests := r.callers.stop()
	time.Sleep(quiescePeriod)
	var executions []execution
	for _, n := range r.nodes {
		executions = append(executions, n.executions()...)
	}
	for _, c := range []struct {
		name string
		bad  []string
	}{
		{"runs at most once", checkAtMostOnce(executions)},
		{"requests reported as not run did not run", checkNotRun(requests, executions)},
		{"response belongs to its request", checkResponses(requests, executions)},
		{"one owner at a time (executions)", checkOwnership(executions)},
		{"one owner at a time (responses)", checkResponseEpochs(requests)},
		{"one owner at a time (porcupine)", checkOwnerHistory(requests, searchTimeout)},
		{"runs at most once (porcupine)", checkAtMostOnceHistory(requests, executions, searchTimeout)},
		{"one assignment at each version", checkFeed(r.samples)},
	} {
		r.reportViolations(c.name, c.bad)
	}
	for _, check := range r.checks {
		r.reportViolations(s.failure, check(requests, executions))
	}
	times := unavailableTimes(requests, r.lostKeys, r.lostAt)
	if len(times) < len(r.lostKeys) {
		r.addViolation("%d of %d lost keys were never served again", len(r.lostKeys)-len(times), len(r.lostKeys))
	}
	for key, took := range times {
		if s.assertTarget && fullRun && took > unavailableTarget {
			r.addViolation("key %s was unavailable for %s", key, took)
		}
	}
	counts := map[string]int{}
	for _, q := range requests {
		for _, a := range q.attempts {
			reason, _, _ := strings.Cut(a.reason, ":") // the text of transport errors contains ports
			counts[strings.TrimSuffix(a.verdict+", "+reason, ", ")]++
		}
	}
	t.Logf("%s: %d requests, attempts %v, %d executions, unavailable %v", s.failure, len(requests), counts, len(executions), times)
	recorded = true
	recordRun(s.invariants, s.failure, len(requests), len(r.violations), times, len(r.lostKeys), mutationsOf(s.failure))
	for _, v := range r.violations {
		t.Error(v)
	}
}

// reportViolations logs the violations that a check found and adds one violation to the run
// for all of them.
func (r *run) reportViolations(name string, bad []string) {
	for i, text := range bad {
		if i == maxLogged {
			r.t.Logf("%s: %d more", name, len(bad)-i)
			break
		}
		r.t.Logf("%s: %s", name, text)
	}
	if len(bad) > 0 {
		r.addViolation("%s: %d violations", name, len(bad))
	}
}
