package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat_interval_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// ackTimeout is the time within which a heartbeat is acknowledged, and maxAckBytes the size of
	// an acknowledgement.
	ackTimeout  = time.Second
	maxAckBytes = 4 << 10
	// maxQueue is how many requests wait for a slot.
	maxQueue = 36
	// releaseInterval is the pause before the next heartbeat while keys are to be released.
	releaseInterval = 80 * time.Millisecond
)

// maxEchoBytes bounds how much of a request's body an answer repeats.
const maxEchoBytes = 64

// row is a span of keys with a fencing token.
type row struct{ from, to, fence uint64 }

func (r row) has(key uint64) bool        { return r.from <= key && key <= r.to }
func (r row) overlaps(other row) bool    { return r.from <= other.to && other.from <= r.to }
func (r row) String() string             { return fmt.Sprintf("%d-%d/%d", r.from, r.to, r.fence) }
func holdsKey(rows []row, k uint64) bool { return fenceOf(rows, k) > 0 }

// fenceOf returns the fencing token with which key is held, 0 if it is not.
func fenceOf(rows []row, key uint64) uint64 {
	for _, r := range rows {
		if r.has(key) {
			return r.fence
		}
	}
	return 0
}

// endpoint is one boot of an application endpoint, as the page PROTOCOL describes it.
type endpoint struct {
	address, control string
	service, zone    string
	sharded          bool
	slots            int
	work             time.Duration
	record           *record
	holds            *holdLog
	id               string
	born             int64
	server           *http.Server
	stopped          chan struct{}

	mu       sync.Mutex
	state    string
	leaving  bool
	silent   bool // sends no heartbeats any more
	sequence uint64
	rows     []row // what it holds
	until    time.Time
	seen     map[uint64]uint64 // highest fencing token by key
	waiting  int
	free     chan struct{}  // holds an element for each free slot
	atWork   map[uint64]int // running requests by key
	giveUp   []row          // left out by the last answer, but still worked on
	released [][3]any
	// cut drops all packets of heartbeats while it is set; late holds the next heartbeat back until it is
	// closed.
	cut  bool
	late chan struct{}
	runs map[string]int // runs by request
	// bodies are the bodies of the requests that were run.
	bodies map[string]receivedBody
	got    []arrival
}

// arrival is a request that reached the endpoint and was not rejected.
type arrival struct {
	id string
	at time.Time
}

func newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, rand.Uint32()) }

// start listens and begins to send heartbeats.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.id, e.born = newID("i-"), time.Now().UnixMilli()
	e.state, e.seen, e.atWork, e.runs = "ready", map[uint64]uint64{}, map[uint64]int{}, map[string]int{}
	e.bodies = map[string]receivedBody{}
	e.free = make(chan struct{}, e.slots)
	for range e.slots {
		e.free <- struct{}{}
	}
	e.server, e.stopped = &http.Server{Handler: http.HandlerFunc(e.serve)}, make(chan struct{})
	e.record.add("endpoint %s of %s starts at %s", e.id, e.service, e.address)
	go func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.record.add("endpoint %s: %v", e.id, err)
		}
	}()
	go e.heartbeats()
	return nil
}

// stop ends the endpoint at once.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stopped:
		return
	default:
	}
	close(e.stopped)
	_ = e.server.Close() // ends all connections in any case
	e.holds.end(e.id, time.Now())
	e.record.add("endpoint %s ends", e.id)
}

func (e *endpoint) heartbeats() {
	for {
		next := time.Now().Add(heartbeatInterval)
		e.mu.Lock()
		silent := e.silent
		e.mu.Unlock()
		if !silent {
			if e.heartbeat() {
				next = time.Now().Add(releaseInterval)
			}
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// setCut cuts the endpoint off from control, or heals the link.
func (e *endpoint) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	if !cut {
		e.holds.healed(e.id, time.Now())
	}
	e.record.add("endpoint %s cut off from control: %t", e.id, cut)
}

// post makes a call to control. It fails if no acknowledgement arrives in time.
func (e *endpoint) post(path string, body []byte) ([]byte, error) {
	e.mu.Lock()
	late := e.late
	e.late = nil
	e.mu.Unlock()
	if late != nil {
		go e.postLate(path, body, late)
		time.Sleep(ackTimeout)
		return nil, errors.New("not acknowledged in time")
	}
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	return e.send(ctx, path, body)
}

// postLate delivers a call that was held up on its way. Nobody waits for the answer any more.
func (e *endpoint) postLate(path string, body []byte, late chan struct{}) {
	sent := time.Now()
	<-late
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	_, err := e.send(ctx, path, body)
	e.record.add("endpoint %s: a call arrived %v late (%v): %s", e.id, time.Since(sent).Round(time.Millisecond), err, body)
}

func (e *endpoint) send(ctx context.Context, path string, body []byte) ([]byte, error) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		for e.isCut() {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
		}
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.control+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAckBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 || len(answer) > maxAckBytes {
		return nil, fmt.Errorf("status %d with %d bytes", resp.StatusCode, len(answer))
	}
	return answer, nil
}

func (e *endpoint) isCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// heartbeat sends a heartbeat. It returns true if keys are still to be released or reported.
func (e *endpoint) heartbeat() bool {
	e.mu.Lock()
	e.expire(time.Now())
	e.sequence++
	sequence := e.sequence
	held := [][3]uint64{}
	for _, r := range append(append([]row(nil), e.rows...), e.giveUp...) {
		held = append(held, [3]uint64{r.from, r.to, r.fence})
	}
	released := append([][3]any{}, e.released...)
	body, err := json.Marshal(map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": e.state, "sequence": sequence, "cold_remaining_ms": 0},
		"holds":  held, "released": released,
	})
	e.mu.Unlock()
	if err != nil {
		e.record.add("endpoint %s: %v", e.id, err)
		return false
	}
	sent := time.Now()
	answer, err := e.post("/-/instances/"+e.id+"/heartbeat", body)
	if err != nil {
		return false
	}
	var reply struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if err := json.Unmarshal(answer, &reply); err != nil {
		e.record.add("endpoint %s: answer %q: %v", e.id, answer, err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stopped:
		return false // it has ended meanwhile
	default:
	}
	e.released = e.released[len(released):]
	if reply.Holds == nil || e.sequence != sequence {
		return len(e.released) > 0
	}
	e.apply(*reply.Holds, sent.Add(time.Duration(reply.HoldMS)*time.Millisecond))
	return len(e.giveUp) > 0 || len(e.released) > 0
}

// expire ends the holds if they have run out. e.mu must be held.
func (e *endpoint) expire(now time.Time) {
	if len(e.rows)+len(e.giveUp) > 0 && !now.Before(e.until) {
		e.record.add("endpoint %s: holds run out", e.id)
		e.rows, e.giveUp = nil, nil
		e.holds.set(e.id, nil, now, now)
	}
}

// apply makes the rows of an answer those that the endpoint holds until a time. e.mu must be held.
func (e *endpoint) apply(rows [][4]any, until time.Time) {
	now := time.Now()
	e.expire(now)
	if !now.Before(until) {
		return
	}
	var next []row
	for _, r := range rows {
		from, _ := r[0].(float64)
		to, _ := r[1].(float64)
		fence, _ := r[2].(float64)
		n := row{uint64(from), uint64(to), uint64(fence)}
		if accepted := e.accepts(n); accepted {
			next = append(next, n)
		} else {
			e.record.add("endpoint %s: row %v not accepted, a higher fencing token was seen", e.id, n)
		}
	}
	var stillWorked []row
	for _, old := range append(append([]row(nil), e.rows...), e.giveUp...) {
		for _, part := range leftOut(old, next) {
			worked := false
			for key, n := range e.atWork {
				if n > 0 && part.has(key) {
					worked = true
					stillWorked = append(stillWorked, row{key, key, part.fence})
				}
			}
			if !worked {
				e.released = append(e.released, [3]any{part.from, part.to, fmt.Sprintf("%08x", rand.Uint32())})
			}
		}
	}
	for _, n := range next {
		for key := n.from; key <= n.to; key++ {
			e.seen[key] = max(e.seen[key], n.fence)
		}
	}
	e.rows, e.giveUp, e.until = next, stillWorked, until
	e.holds.set(e.id, next, now, until)
}

// accepts reports whether no higher fencing token was seen on one of the keys. e.mu must be held.
func (e *endpoint) accepts(r row) bool {
	for key := r.from; key <= r.to; key++ {
		if e.seen[key] > r.fence {
			return false
		}
	}
	return true
}

// leftOut returns the parts of a row that are in none of the others.
func leftOut(r row, others []row) []row {
	parts := []row{r}
	for _, o := range others {
		var next []row
		for _, p := range parts {
			if !p.overlaps(o) {
				next = append(next, p)
				continue
			}
			if p.from < o.from {
				next = append(next, row{p.from, o.from - 1, p.fence})
			}
			if p.to > o.to {
				next = append(next, row{o.to + 1, p.to, p.fence})
			}
		}
		parts = next
	}
	return parts
}

// reject returns how a request is rejected, or 0. e.mu must be held.
func (e *endpoint) reject(r *http.Request, key uint64, now time.Time) int {
	e.expire(now)
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != e.id:
		return http.StatusMisdirectedRequest
	case r.Header.Get("Attempt-Id") == "":
		return http.StatusBadRequest
	case e.sharded && !holdsKey(e.rows, key):
		return http.StatusMisdirectedRequest
	case e.waiting >= maxQueue:
		return http.StatusServiceUnavailable
	}
	return 0
}

// admit waits for a slot. It returns how the request is rejected, or 0 if it has a slot; ok is false if
// the caller has left.
func (e *endpoint) admit(r *http.Request, key uint64, now time.Time) (status int, ok bool) {
	e.mu.Lock()
	if status := e.reject(r, key, now); status != 0 {
		e.mu.Unlock()
		return status, true
	}
	e.got = append(e.got, arrival{r.Header.Get("Attempt-Id"), now})
	e.waiting++
	e.mu.Unlock()
	ok = true
	select {
	case <-e.free:
	case <-r.Context().Done():
		ok = false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.expire(time.Now())
	if ok && e.sharded && !holdsKey(e.rows, key) {
		e.free <- struct{}{} // the key was released meanwhile
		return http.StatusMisdirectedRequest, true
	}
	return 0, ok
}

// serve runs a request.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if r.URL.Path == "/health" {
		e.mu.Lock()
		healthy := e.state == "ready" && !e.leaving
		e.mu.Unlock()
		w.Header().Set("Instance-Id", e.id)
		if !healthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if err != nil {
		key = 0 // only services with keys read it
	}
	now := time.Now()
	status, ok := e.admit(r, key, now)
	if !ok {
		panic(http.ErrAbortHandler) // the caller has left
	}
	if status != 0 {
		e.record.add("endpoint %s: rejects %s with %d", e.id, id, status)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.mu.Lock()
	now = time.Now()
	e.atWork[key]++
	e.runs[id]++
	e.bodies[id] = receivedBody{len(body), sumOf(body)}
	fence, until := fenceOf(e.rows, key), e.until
	e.mu.Unlock()
	if e.sharded {
		e.holds.begin(e.id, id, key, now, until)
	}
	e.record.add("endpoint %s: runs %s, key %d, fence %d", e.id, id, key, fence)
	status = e.runFor(r.Context(), until)
	e.mu.Lock()
	e.atWork[key]--
	e.mu.Unlock()
	e.free <- struct{}{}
	if e.sharded {
		e.holds.done(e.id, id, time.Now())
	}
	e.record.add("endpoint %s: ends %s with %d", e.id, id, status)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(id + " " + string(body[:min(len(body), maxEchoBytes)]))) // a caller that has left does not need it
}

// runFor works on a request and returns the status of its answer, 0 if the caller has left.
func (e *endpoint) runFor(ctx context.Context, until time.Time) int {
	select {
	case <-time.After(e.work):
	case <-ctx.Done():
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sharded && time.Now().After(maxTime(until, e.until)) {
		return http.StatusInternalServerError // the work outlasted the lease
	}
	return http.StatusOK
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deregister announces the leave without reporting draining before. It returns when the leave is
// acknowledged.
func (e *endpoint) deregister() (time.Time, error) {
	e.mu.Lock()
	e.leaving, e.silent = true, true
	e.mu.Unlock()
	if _, err := e.post("/-/instances/"+e.id+"/deregister", nil); err != nil {
		return time.Time{}, err
	}
	now := time.Now()
	e.record.add("endpoint %s: deregister acknowledged", e.id)
	return now, nil
}

// arrivals returns the requests that were not rejected.
func (e *endpoint) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.got...)
}
