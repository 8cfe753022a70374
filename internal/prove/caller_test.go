package prove

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

const (
	keyCount      = 16
	writersPerKey = 2
	// maxAttempts bounds the attempts of a request with the same id.
	maxAttempts   = 6
	retryPause    = 50 * time.Millisecond
	probeInterval = 25 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// Verdicts as callers see them. An error without a verdict counts as mayHaveRun.
const (
	ran        = "ran"
	notRun     = "not run"
	mayHaveRun = "may have run"
)

// attempt is one attempt of a request, with its result.
type attempt struct {
	daemon         string
	started, ended time.Time
	verdict        string
	reason         string
	instance       string
	epoch          uint64
	repeated       bool
	// hasPayload reports whether the response has a payload. The fields payload and id are
	// those of the response.
	hasPayload bool
	payload    string
	id         string
}

// request is a request id with all of its attempts.
type request struct {
	id, key, method, payload string
	idempotent, probe        bool
	attempts                 []attempt
}

// callers sends requests to all instances until it is stopped.
type callers struct {
	cluster *testCluster
	// requestTimeout and probeTimeout are how long requests and probes wait for a response.
	requestTimeout, probeTimeout time.Duration
	keys                         []string
	stopping                     chan struct{}
	group                        sync.WaitGroup
	lastPayload                  atomic.Uint64 // the last number sent as a unique payload
	mu                           sync.Mutex
	unprobed                     map[string]bool // instances that probes and samples leave out
	requests                     []request
}

// startCallers starts callers whose requests and probes have the given timeouts.
func startCallers(c *testCluster, seed uint64, requestTimeout, probeTimeout time.Duration) *callers {
	cs := &callers{cluster: c, stopping: make(chan struct{}), unprobed: map[string]bool{}, requestTimeout: requestTimeout, probeTimeout: probeTimeout}
	cs.lastPayload.Store(uint64(time.Now().UnixNano()))
	for i := range keyCount {
		key := fmt.Sprintf("clinic-%d", i)
		cs.keys = append(cs.keys, key)
		for j := range writersPerKey {
			rng := rand.New(rand.NewPCG(seed, uint64(i*writersPerKey+j)))
			cs.group.Go(func() { cs.runWriter(key, rng) })
		}
		rng := rand.New(rand.NewPCG(^seed, uint64(i)))
		cs.group.Go(func() { cs.runProber(key, rng) })
	}
	return cs
}

// stop stops the callers and returns all requests.
func (cs *callers) stop() []request {
	close(cs.stopping)
	cs.group.Wait()
	return cs.requests
}

// waitOrStop waits for pause and reports whether the callers were stopped.
func (cs *callers) waitOrStop(pause time.Duration) bool {
	select {
	case <-cs.stopping:
		return true
	case <-time.After(pause):
		return false
	}
}

// setUnprobed sets whether probes and samples leave out an instance.
func (cs *callers) setUnprobed(n *node, unprobed bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.unprobed[n.name] = unprobed
}

func (cs *callers) pickNode(rng *rand.Rand, probe bool) *node {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for {
		nodes := cs.cluster.allNodes()
		n := nodes[rng.IntN(len(nodes))]
		if !probe || !cs.unprobed[n.name] {
			return n
		}
	}
}

func (cs *callers) addRequest(r request) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.requests = append(cs.requests, r)
}

// runWriter sends requests one after another: most must run at most once, some are
// idempotent.
func (cs *callers) runWriter(key string, rng *rand.Rand) {
	for !cs.waitOrStop(time.Duration(rng.IntN(20)) * time.Millisecond) {
		r := request{key: key, payload: strconv.FormatUint(cs.lastPayload.Add(1), 10)}
		switch p := rng.Float64(); {
		case p < 0.6:
			r.method = "echo"
		case p < 0.85:
			r.method = "add"
		case p < 0.93:
			r.method, r.idempotent = "put", true
		default:
			r.method, r.idempotent = "get", true
		}
		cs.addRequest(cs.send(r, rng))
	}
}

// send sends a request, and retries it with the same id as long as it may have run.
func (cs *callers) send(r request, rng *rand.Rand) request {
	r.id = newID()
	for range maxAttempts {
		a := call(cs.pickNode(rng, false), r, cs.requestTimeout)
		r.attempts = append(r.attempts, a)
		if a.verdict != mayHaveRun {
			break
		}
		if cs.waitOrStop(retryPause) {
			break
		}
	}
	return r
}

// runProber reads a key continually, to measure when it is unavailable.
func (cs *callers) runProber(key string, rng *rand.Rand) {
	for !cs.waitOrStop(probeInterval) {
		r := request{key: key, method: "get", idempotent: true, probe: true, id: newID(),
			payload: strconv.FormatUint(cs.lastPayload.Add(1), 10)}
		r.attempts = []attempt{call(cs.pickNode(rng, true), r, cs.probeTimeout)}
		cs.addRequest(r)
	}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// call makes one attempt.
func call(n *node, r request, timeout time.Duration) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := attempt{daemon: n.name, started: time.Now()}
	resp, err := n.router.Call(ctx, connect.NewRequest(&basilwayv1.CallRequest{
		Service: service, Key: r.key, Method: r.method, Idempotent: r.idempotent, RequestId: r.id, Payload: []byte(r.payload),
		FirstCall: len(r.attempts) == 0,
	}))
	a.ended = time.Now()
	if err != nil {
		a.verdict, a.reason = verdictOf(err)
		return a
	}
	m := resp.Msg
	a.verdict, a.instance, a.epoch, a.repeated, a.hasPayload, a.payload, a.id = ran, m.ServedBy, m.Epoch, m.Repeated, true, string(m.Payload), m.RequestId
	return a
}

// verdictOf returns the verdict and the reason of an error. A broken connection has no
// verdict and counts as mayHaveRun.
func verdictOf(err error) (string, string) {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		for _, d := range connectErr.Details() {
			value, valueErr := d.Value()
			detail, ok := value.(*basilwayv1.ErrorDetail)
			if valueErr != nil || !ok {
				continue
			}
			switch detail.Verdict {
			case basilwayv1.Verdict_VERDICT_NOT_RUN:
				return notRun, detail.Reason
			case basilwayv1.Verdict_VERDICT_RAN:
				return ran, detail.Reason
			}
			return mayHaveRun, detail.Reason
		}
	}
	return mayHaveRun, "transport: " + err.Error()
}
