package prove

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/metastore/memory"
)

const (
	// failoverWait is longer than a lease, a takeover and the propagation of its result.
	failoverWait = 5 * time.Second
	// pairRuns is the number of failure pairs that one run of make prove tests.
	pairRuns = 3
	// storeOutage is the duration of the outage in the scenario "store down for 30 s".
	storeOutage = 30 * time.Second
	// newRequestsLimit is how long a leaving instance may still receive new requests.
	newRequestsLimit = 3 * time.Second
)

// shortScenarios are part of every test run; longScenarios run only in make prove.
var shortScenarios = []scenario{
	{invariants: "1, 4, 5", failure: "owner killed", instances: 4, assertTarget: true, inject: killOwner},
	{invariants: "1, 4, 5", failure: "first instance killed just after the cluster grew", instances: 1, inject: killFirst},
	{invariants: "6, 7", failure: "SIGTERM under load", instances: 3, noRequestFails: true, inject: func(r *run) { r.terminate(r.nodes[1]) }},
}

var longScenarios = []scenario{
	{invariants: "1, 4, 5", failure: "owner paused past its lease, backend checks grants", instances: 4, assertTarget: true, inject: pauseOwner},
	{invariants: "1, 4, 5", failure: "owner paused past its lease, backend does not check grants", instances: 4, skipGrantChecks: true, assertTarget: true, inject: pauseOwner},
	{invariants: "1, 2", failure: "daemon cut from the store", instances: 4, inject: cutStore},
	{invariants: "1, 4, 5", failure: "daemon cut from peers in both directions", instances: 4, assertTarget: true, inject: func(r *run) { cutPeers(r, true) }},
	{invariants: "1, 4, 5", failure: "daemon cut from peers, outgoing only", instances: 4, assertTarget: true, inject: func(r *run) { cutPeers(r, false) }},
	{invariants: "1, 2", failure: "store down for 30 s", instances: 4, inject: storeDown},
	{invariants: "1, 2, 5", failure: "store slow and losing answers during moves", instances: 4, inject: storeSlowDuringMoves},
	{invariants: "6, 7", failure: "drain under load", instances: 3, inject: drain},
	{invariants: "4, 5", failure: "backend server crashed and returned", instances: 3, assertTarget: true, inject: crashBackend},
	{invariants: "1, 4, 5", failure: "backend server frozen and returned", instances: 3, inject: freezeBackend},
	{invariants: "4, 5", failure: "request that crashes every backend server", instances: 4, inject: poison},
	{invariants: "7", failure: "rolling restart", instances: 3, noRequestFails: true, inject: rollingRestart},
}

// TestScenarios guards against violations of the design's invariants under single failures.
func TestScenarios(t *testing.T) {
	scenarios := shortScenarios
	if fullRun {
		scenarios = append(scenarios, longScenarios...)
	}
	for _, s := range scenarios {
		t.Run(s.failure, func(t *testing.T) { runScenario(t, s, testSeed(t)) })
	}
}

// testSeed returns the seed in BASILWAY_PROVE_SEED, or a random one.
func testSeed(t *testing.T) uint64 {
	if text := os.Getenv("BASILWAY_PROVE_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return seed
	}
	return rand.Uint64()
}

// owner returns the instance that owns the first key.
func (r *run) owner() *node {
	for {
		name := r.liveNode().ownerOf(r.callers.keys[0])
		for _, n := range r.nodes {
			if n.name == name {
				return n
			}
		}
		time.Sleep(pollInterval)
	}
}

func killOwner(r *run) {
	n := r.owner()
	r.markLost(n)
	n.daemon.kill()
	r.waitServed()
}

func pauseOwner(r *run) {
	n := r.owner()
	r.markLost(n)
	n.pause()
	time.Sleep(failoverWait)
	n.resume()
	r.waitReturned(n)
}

// killFirst guards against a session whose loss no peer detects: an instance that was alone
// has only the store as witness until it has chosen peers.
func killFirst(r *run) {
	n := r.nodes[0]
	for range 3 {
		r.addNode(true)
	}
	r.waitUntil("all instances are members", func() bool {
		s, err := n.status()
		return err == nil && len(s.Members) == 4
	})
	r.markLost(n)
	n.daemon.kill()
	r.waitServed()
}

// waitReturned waits until an instance is a member again.
func (r *run) waitReturned(n *node) {
	r.callers.setUnprobed(n, false)
	r.waitAssigned()
}

func cutStore(r *run) {
	n := r.owner()
	before := r.sessions()
	r.network.setCut(true, n.storeDirections()...)
	time.Sleep(2 * failoverWait)
	r.expectSameSessions(before)
	r.network.setCut(false, n.storeDirections()...)
}

func cutPeers(r *run, both bool) {
	n := r.owner()
	r.markLost(n)
	r.network.setCut(true, n.peerDirections(both)...)
	time.Sleep(failoverWait)
	r.network.setCut(false, n.peerDirections(true)...)
	r.waitReturned(n)
}

// sessions returns the members with their incarnations, as an instance knows them.
func (r *run) sessions() string {
	var out string
	r.waitUntil("the members are known", func() bool {
		resp, err := r.liveNode().status()
		if err != nil {
			return false
		}
		out = ""
		for _, m := range resp.Members {
			out += m.Instance + "/" + m.Incarnation + " "
		}
		return true
	})
	return out
}

// expectSameSessions adds a violation if the sessions changed. It does not compare the owners
// of units: the planner may isolate and move hot keys at any time, and as long as no session
// is lost, a unit changes owner only after its owner released it.
func (r *run) expectSameSessions(before string) {
	if after := r.sessions(); after != before {
		r.addViolation("sessions changed from %s to %s", before, after)
	}
}

func storeDown(r *run) {
	before := r.sessions()
	startedAt := time.Now()
	r.setStoreFaults(memory.Faults{Down: true})
	invalid := 0
	for time.Since(startedAt) < storeOutage {
		time.Sleep(10 * pollInterval)
		for _, n := range r.nodes {
			if s, err := n.status(); err == nil && s.LeaseState != "valid" {
				invalid++
			}
		}
	}
	r.expectSameSessions(before)
	endedAt := time.Now()
	r.setStoreFaults(memory.Faults{})
	if invalid > 0 {
		r.addViolation("%d times a live daemon had no valid lease during the outage", invalid)
	}
	r.expectServed("during the store outage", startedAt, endedAt)
}

// expectServed adds the check that no request sent between from and to failed.
func (r *run) expectServed(when string, from, to time.Time) {
	r.checks = append(r.checks, func(requests []request, _ []execution) (bad []string) {
		for _, q := range requests {
			for _, a := range q.attempts {
				if a.verdict != ran && a.started.After(from) && a.started.Before(to) {
					bad = append(bad, fmt.Sprintf("%s a %s to %s, %s after the start, ended as %s (%s) after %s",
						when, q.method, a.daemon, a.started.Sub(from), a.verdict, a.reason, a.ended.Sub(a.started)))
				}
			}
		}
		return bad
	})
}

func storeSlowDuringMoves(r *run) {
	r.setStoreFaults(memory.Faults{Delay: 100 * time.Millisecond, LostResponses: 0.3, Failures: 0.1})
	r.addNode(true)
	time.Sleep(failoverWait)
	r.drainNode(r.nodes[1])
	time.Sleep(2 * failoverWait)
	r.setStoreFaults(memory.Faults{})
	r.waitUntil("the drained instance owns nothing", func() bool {
		s, err := r.nodes[1].status()
		return err == nil && s.RangesOwned == 0
	})
}

func crashBackend(r *run) {
	n := r.owner()
	r.markLost(n)
	r.callers.setUnprobed(n, false) // its daemon still runs and knows the new owners
	n.backend.kill()
	time.Sleep(failoverWait)
	n.startBackend()
	r.waitAssigned()
}

func freezeBackend(r *run) {
	n := r.owner()
	r.markLost(n)
	r.callers.setUnprobed(n, false)
	n.backend.signal(syscall.SIGSTOP)
	time.Sleep(2 * failoverWait)
	n.backend.signal(syscall.SIGCONT)
	r.waitAssigned()
}

// poison repeatedly sends a request that crashes the backend server that runs it.
func poison(r *run) {
	const payload = "crash"
	done := make(chan struct{})
	defer close(done)
	for _, n := range r.nodes {
		n.setFaults(backendsim.Faults{CrashPayload: payload})
		go func() { // restarts crashed servers, as the platform does
			for {
				select {
				case <-done:
					return
				case <-n.backend.ended:
				}
				time.Sleep(time.Second)
				select {
				case <-done:
					return
				default:
				}
				n.startBackend()
				n.setFaults(backendsim.Faults{CrashPayload: payload})
			}
		}()
	}
	refused := map[string]int{}
	for i := 0; time.Since(r.startedAt) < settleTimeout && len(refused) < len(r.nodes); i++ {
		n := r.nodes[i%len(r.nodes)]
		a := call(n, request{id: newID(), key: r.callers.keys[i%4], method: "poison", payload: payload}, callTimeout)
		if i < 8 {
			r.t.Logf("poison at %s: %s %s", n.name, a.verdict, a.reason)
		}
		if a.verdict == notRun && a.reason == "quarantined" {
			refused[n.name]++
		} else if len(refused) > 0 && a.verdict != notRun {
			r.addViolation("after a refusal elsewhere, %s answered %s (%s)", n.name, a.verdict, a.reason)
		}
		time.Sleep(4 * pollInterval)
	}
	if len(refused) < len(r.nodes) {
		r.addViolation("the request was refused by %d of %d daemons", len(refused), len(r.nodes))
	}
	r.checks = append(r.checks, func(_ []request, executions []execution) (bad []string) {
		runs := 0
		for _, e := range executions {
			if e.Method == "poison" {
				runs++
			}
		}
		if runs > 2 {
			bad = append(bad, fmt.Sprintf("the request crashed %d backend servers", runs))
		}
		return bad
	})
	r.waitAssigned()
	r.waitServed()
}

// pairFailures are the failures that TestPairs combines. Each of them injects a failure and
// ends it.
var pairFailures = map[string]func(*run, *node){
	"pause":         func(_ *run, n *node) { n.pause(); time.Sleep(failoverWait); n.resume() },
	"store cut":     func(r *run, n *node) { r.cutFor(n.storeDirections()) },
	"peers cut":     func(r *run, n *node) { r.cutFor(n.peerDirections(true)) },
	"outgoing cut":  func(r *run, n *node) { r.cutFor(n.peerDirections(false)) },
	"backend crash": func(_ *run, n *node) { n.backend.kill(); time.Sleep(failoverWait); n.startBackend() },
	"backend freeze": func(_ *run, n *node) {
		n.backend.signal(syscall.SIGSTOP)
		time.Sleep(failoverWait)
		n.backend.signal(syscall.SIGCONT)
	},
	"kill": func(_ *run, n *node) { n.daemon.kill(); time.Sleep(failoverWait); n.startDaemon() },
	"store loses answers": func(r *run, _ *node) {
		r.setStoreFaults(memory.Faults{Delay: 50 * time.Millisecond, LostResponses: 0.3, Failures: 0.1})
		time.Sleep(failoverWait)
		r.setStoreFaults(memory.Faults{})
	},
}

// cutFor cuts the directions for failoverWait.
func (r *run) cutFor(directions []direction) {
	r.network.setCut(true, directions...)
	time.Sleep(failoverWait)
	r.network.setCut(false, directions...)
}

// TestPairs guards against violations of the invariants under two concurrent failures, chosen
// by a seed.
func TestPairs(t *testing.T) {
	if !fullRun {
		t.Skip("runs in make prove")
	}
	for range pairRuns {
		seed := testSeed(t)
		rng := rand.New(rand.NewPCG(seed, seed))
		names := slices.Sorted(maps.Keys(pairFailures))
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		nodes := rng.Perm(4)
		offset := time.Duration(rng.Int64N(int64(2 * time.Second)))
		t.Run(names[0]+" and "+names[1], func(t *testing.T) {
			t.Logf("seed %d, %s on instance %d, %s later on instance %d", seed, names[0], nodes[0]+1, offset, nodes[1]+1)
			runScenario(t, scenario{invariants: "1-5", failure: "two failures at random", instances: 4, inject: func(r *run) {
				for _, i := range nodes[:2] {
					r.callers.setUnprobed(r.nodes[i], true)
				}
				var group sync.WaitGroup
				group.Go(func() { pairFailures[names[0]](r, r.nodes[nodes[0]]) })
				group.Go(func() { time.Sleep(offset); pairFailures[names[1]](r, r.nodes[nodes[1]]) })
				group.Wait()
				r.waitAssigned()
			}}, seed)
		})
	}
}
