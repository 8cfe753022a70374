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
	// maxSends bounds how often a request is repeated with the same id.
	maxSends     = 6
	repeatPause  = 50 * time.Millisecond
	probePause   = 25 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
)

// verdicts of answers as callers see them. An error without a verdict is maybe.
const (
	ran    = "ran"
	notRun = "not run"
	maybe  = "may have run"
)

// answer is the end of one attempt.
type answer struct {
	daemon    string
	call, end time.Time
	verdict   string
	reason    string
	instance  string
	epoch     uint64
	repeated  bool
	// body says that the answer has a payload.
	body    bool
	payload string
	id      string
}

// request is one id with all of its attempts.
type request struct {
	id, key, method, payload string
	idempotent, probe        bool
	answers                  []answer
}

// callers send requests to all instances until they are stopped.
type callers struct {
	cluster  *testCluster
	keys     []string
	stopping chan struct{}
	group    sync.WaitGroup
	token    atomic.Uint64
	mu       sync.Mutex
	avoid    map[string]bool // instances that probes do not call
	requests []request
}

func startCallers(c *testCluster, seed uint64) *callers {
	l := &callers{cluster: c, stopping: make(chan struct{}), avoid: map[string]bool{}}
	l.token.Store(uint64(time.Now().UnixNano()))
	for i := range keyCount {
		key := fmt.Sprintf("clinic-%d", i)
		l.keys = append(l.keys, key)
		for j := range writersPerKey {
			rng := rand.New(rand.NewPCG(seed, uint64(i*writersPerKey+j)))
			l.group.Go(func() { l.write(key, rng) })
		}
		rng := rand.New(rand.NewPCG(^seed, uint64(i)))
		l.group.Go(func() { l.probe(key, rng) })
	}
	return l
}

func (l *callers) stop() []request {
	close(l.stopping)
	l.group.Wait()
	return l.requests
}

func (l *callers) stopped(pause time.Duration) bool {
	select {
	case <-l.stopping:
		return true
	case <-time.After(pause):
		return false
	}
}

// setAvoid sets whether probes call an instance.
func (l *callers) setAvoid(n *node, avoid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoid[n.name] = avoid
}

func (l *callers) pick(rng *rand.Rand, probe bool) *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		nodes := l.cluster.allNodes()
		n := nodes[rng.IntN(len(nodes))]
		if !probe || !l.avoid[n.name] {
			return n
		}
	}
}

func (l *callers) keep(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// write sends requests that must run at most once, and some reads, one after the other.
func (l *callers) write(key string, rng *rand.Rand) {
	for !l.stopped(time.Duration(rng.IntN(20)) * time.Millisecond) {
		r := request{key: key, payload: strconv.FormatUint(l.token.Add(1), 10)}
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
		l.keep(l.send(r, rng))
	}
}

// send sends a request, with the same id while it may have run.
func (l *callers) send(r request, rng *rand.Rand) request {
	r.id = newID()
	for range maxSends {
		a := call(l.pick(rng, false), r, callLimit)
		r.answers = append(r.answers, a)
		if a.verdict != maybe {
			break
		}
		if l.stopped(repeatPause) {
			break
		}
	}
	return r
}

// probe reads a key all the time, to find out when it is served.
func (l *callers) probe(key string, rng *rand.Rand) {
	for !l.stopped(probePause) {
		r := request{key: key, method: "get", idempotent: true, probe: true, id: newID(),
			payload: strconv.FormatUint(l.token.Add(1), 10)}
		r.answers = []answer{call(l.pick(rng, true), r, probeTimeout)}
		l.keep(r)
	}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// call makes one attempt.
func call(n *node, r request, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a := answer{daemon: n.name, call: time.Now()}
	reply, err := n.router.Call(ctx, connect.NewRequest(&basilwayv1.CallRequest{
		Service: service, Key: r.key, Method: r.method, Idempotent: r.idempotent, RequestId: r.id, Payload: []byte(r.payload),
		FirstCall: len(r.answers) == 0,
	}))
	a.end = time.Now()
	if err != nil {
		a.verdict, a.reason = verdictOf(err)
		return a
	}
	m := reply.Msg
	a.verdict, a.instance, a.epoch, a.repeated, a.body, a.payload, a.id = ran, m.ServedBy, m.Epoch, m.Repeated, true, string(m.Payload), m.RequestId
	return a
}

// verdictOf returns verdict and reason of an error. A broken connection has no verdict.
func verdictOf(err error) (string, string) {
	var wire *connect.Error
	if errors.As(err, &wire) {
		for _, d := range wire.Details() {
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
			return maybe, detail.Reason
		}
	}
	return maybe, "transport: " + err.Error()
}
