package main

import (
	"bytes"
	"encoding/json"
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
	// slots and queue are how many requests an endpoint runs and queues.
	slots, queue = 6, 24
	// ackTimeout is within which an answer to a heartbeat acknowledges it.
	ackTimeout = time.Second
	// releasePause is the pause before the next heartbeat while the endpoint has keys to release.
	releasePause = 90 * time.Millisecond
	maxAckBytes  = 4 << 10
	keyCount     = 1 << 16
)

// endpoint is an application endpoint, a sound one.
type endpoint struct {
	machine *machine
	sharded bool
	// work is how long a request takes.
	work time.Duration

	mu   sync.Mutex
	boot *boot
	// cutOff is set while the endpoint is partitioned from the control address.
	cutOff bool
	// silent is set once it sends no heartbeats any more, because it has deregistered.
	silent bool
}

// boot is one life of an endpoint.
type boot struct {
	e        *endpoint
	id       string
	server   *http.Server
	ended    chan struct{}
	beatNow  chan struct{}
	sequence uint64
	leaving  bool
	running  int
	waiting  int
	slot     chan struct{}
	// fences are the fencing tokens of the keys that it holds, 0 if it doesn't hold them, and seen the highest that
	// it saw. busy counts the requests that run on each key.
	fences, seen [keyCount]uint64
	busy         [keyCount]int
	until        time.Time
	released     [][3]any
	// toRelease are keys that were left out of an answer while requests still run on them.
	toRelease map[int]bool
	// beaten counts the acknowledged heartbeats, the last of which was sent at lastBeat.
	beaten   int
	lastBeat time.Time
	// nextBeat is when the next heartbeat is sent.
	nextBeat time.Time
}

func newEndpoint(m *machine, sharded bool) *endpoint {
	return &endpoint{machine: m, sharded: sharded, work: 60 * time.Millisecond}
}

func (e *endpoint) address() string { return fmt.Sprintf("%s:%d", e.machine.ip, appPort) }

// start begins a new life.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.address())
	if err != nil {
		return err
	}
	b := &boot{
		e: e, id: fmt.Sprintf("i-%08x", rand.Uint32()), ended: make(chan struct{}), beatNow: make(chan struct{}, 1),
		slot: make(chan struct{}, slots), toRelease: map[int]bool{},
	}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	e.mu.Lock()
	e.boot, e.silent = b, false
	e.mu.Unlock()
	e.machine.w.linef("endpoint %s of %s (%s) starts", b.id, e.machine.service, e.machine.name)
	go func() { _ = b.server.Serve(l) }()
	go b.beats()
	if e.sharded {
		go b.expire()
	}
	return nil
}

// crash ends the present life at once.
func (e *endpoint) crash() {
	e.mu.Lock()
	b := e.boot
	e.boot = nil
	if b != nil {
		b.setFences(nil, time.Now())
		close(b.ended)
	}
	e.mu.Unlock()
	if b == nil {
		return
	}
	e.machine.w.judge.down(b)
	b.server.Close()
	e.machine.w.linef("endpoint %s ends", b.id)
}

// current returns the present life.
func (e *endpoint) current() *boot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// cut partitions the endpoint from the control address, or ends that.
func (e *endpoint) cut(off bool) {
	e.mu.Lock()
	e.cutOff = off
	b := e.boot
	e.mu.Unlock()
	e.machine.w.linef("endpoint of %s is cut off from the control address: %t", e.machine.name, off)
	if !off && b != nil {
		b.beat()
	}
}

// leave makes the endpoint leave: it sends no further heartbeats, and serves on.
func (b *boot) leave() {
	b.e.mu.Lock()
	defer b.e.mu.Unlock()
	b.leaving, b.e.silent = true, true
	b.e.machine.w.linef("endpoint %s leaves", b.id)
}

// drain makes the endpoint say that it drains.
func (b *boot) drain() {
	b.e.mu.Lock()
	defer b.e.mu.Unlock()
	b.leaving = true
	b.e.machine.w.linef("endpoint %s drains", b.id)
}

// beatTimes returns when the last acknowledged heartbeat of the present life was sent, and when the next one is.
func (e *endpoint) beatTimes() (last, next time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot.lastBeat, e.boot.nextBeat
}

// heldKeys returns the keys that the endpoint holds.
func (e *endpoint) heldKeys() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int
	for key, fence := range e.boot.fences {
		if fence != 0 {
			out = append(out, key)
		}
	}
	return out
}

// beatCount returns the number of acknowledged heartbeats.
func (b *boot) beatCount() int {
	b.e.mu.Lock()
	defer b.e.mu.Unlock()
	return b.beaten
}

// beat makes the endpoint send its next heartbeat now.
func (b *boot) beat() {
	select {
	case b.beatNow <- struct{}{}:
	default:
	}
}

// beats sends heartbeats until the endpoint ends.
func (b *boot) beats() {
	for {
		pause := time.Duration(float64(beatInterval) * (1 - beatSpread + 2*beatSpread*rand.Float64()))
		if b.sendBeat() {
			pause = releasePause
		}
		b.e.mu.Lock()
		b.nextBeat = time.Now().Add(pause)
		b.e.mu.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-b.beatNow:
		case <-b.ended:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// heartbeat returns the body of a heartbeat.
func (b *boot) heartbeat() ([]byte, uint64) {
	b.e.mu.Lock()
	defer b.e.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	body := map[string]any{
		"address": b.e.address(),
		"info":    map[string]any{"service": b.e.machine.service, "version": "v1", "zone": b.e.machine.zone, "slots": slots},
		"status":  map[string]any{"state": state, "sequence": b.sequence, "cold_remaining_ms": 0},
	}
	if b.e.sharded {
		body["holds"], body["released"] = b.rows(), append([][3]any{}, b.released...)
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // such values can always be encoded
	}
	return data, b.sequence
}

// rows returns the rows that the endpoint holds or is still working on. b.e.mu must be held.
func (b *boot) rows() [][3]uint64 {
	out := [][3]uint64{}
	for key := 0; key < keyCount; key++ {
		fence := b.fences[key]
		if fence == 0 {
			continue
		}
		if n := len(out); n > 0 && out[n-1][1]+1 == uint64(key) && out[n-1][2] == fence {
			out[n-1][1]++
			continue
		}
		out = append(out, [3]uint64{uint64(key), uint64(key), fence})
	}
	return out
}

// beatPath returns the path of a call of the endpoint.
func (b *boot) beatPath(call string) string {
	return fmt.Sprintf("http://%s:%d/-/instances/%s/%s", b.e.machine.ip, controlPort, b.id, call)
}

// post sends a call to the control address and returns the answer.
func (b *boot) post(call string, body []byte) ([]byte, error) {
	client := http.Client{Timeout: ackTimeout}
	resp, err := client.Post(b.beatPath(call), "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAckBytes+1))
	if err == nil && (resp.StatusCode/100 != 2 || len(answer) > maxAckBytes) {
		err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, len(answer))
	}
	return answer, err
}

// sendBeat sends a heartbeat. It reports whether the next one is to follow soon.
func (b *boot) sendBeat() bool {
	b.e.mu.Lock()
	skip := b.e.cutOff || b.e.silent
	b.e.mu.Unlock()
	if skip {
		return false
	}
	body, sequence := b.heartbeat()
	sent := time.Now()
	answer, err := b.post("heartbeat", body)
	if err != nil {
		return false
	}
	var reply struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS float64   `json:"hold_ms"`
	}
	if json.Unmarshal(answer, &reply) != nil || time.Since(sent) > ackTimeout {
		return false
	}
	b.e.mu.Lock()
	defer b.e.mu.Unlock()
	if b.e.boot != b || b.sequence != sequence || b.e.cutOff {
		return false
	}
	b.released = nil
	b.beaten, b.lastBeat = b.beaten+1, sent
	if reply.Holds == nil || !b.e.sharded {
		return false
	}
	return b.take(*reply.Holds, sent.Add(time.Duration(reply.HoldMS)*time.Millisecond))
}

// take holds the rows of an answer and releases what they leave out. It reports whether keys have yet to be
// reported as released. b.e.mu must be held.
func (b *boot) take(rows [][4]any, until time.Time) bool {
	var next [keyCount]uint64
	for _, row := range rows {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		accepted := true
		for key := from; key <= to; key++ {
			accepted = accepted && b.seen[key] <= fence
		}
		for key := from; accepted && key <= to; key++ {
			next[key], b.seen[key] = fence, fence
		}
	}
	clear(b.toRelease)
	for key := range next {
		if b.fences[key] != 0 && next[key] == 0 && b.busy[key] > 0 {
			next[key] = b.fences[key]
			b.toRelease[key] = true
		}
	}
	b.until = until
	b.setFences(&next, time.Now())
	return len(b.toRelease) > 0 || len(b.released) > 0
}

// setFences changes what the endpoint holds; nil means nothing. b.e.mu must be held.
func (b *boot) setFences(next *[keyCount]uint64, now time.Time) {
	if next == nil {
		next = &[keyCount]uint64{}
	}
	live := now.Before(b.until)
	for key := 0; key < keyCount; {
		old, fresh := b.fences[key], next[key]
		if old == fresh {
			key++
			continue
		}
		end := key
		for end+1 < keyCount && b.fences[end+1] == old && next[end+1] == fresh {
			end++
		}
		if old != 0 {
			b.e.machine.w.judge.release(b, key, end, now)
			if live && fresh == 0 {
				b.released = append(b.released, [3]any{key, end, fmt.Sprintf("%08x%08x", rand.Uint32(), rand.Uint32())})
			}
		}
		if fresh != 0 {
			b.e.machine.w.judge.hold(b, key, end, fresh, now)
		}
		key = end + 1
	}
	b.fences = *next
}

// expire ends holds that were not renewed.
func (b *boot) expire() {
	for {
		select {
		case <-b.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		b.e.mu.Lock()
		if b.e.boot == b && time.Now().After(b.until) {
			b.setFences(nil, time.Now())
			b.released = nil
		}
		b.e.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Instance-Id", b.id)
	b.e.mu.Lock()
	h.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting, slots))
	if r.URL.Path == "/health" {
		healthy := !b.leaving
		b.e.mu.Unlock()
		if !healthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	h.Set("Attempt-Id", id)
	key, keyErr := strconv.Atoi(r.Header.Get("Shard-Key"))
	refuse := 0
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != b.id:
		refuse = http.StatusMisdirectedRequest
	case b.e.sharded && (keyErr != nil || b.fences[key] == 0 || b.toRelease[key] || time.Now().After(b.until)):
		refuse = http.StatusMisdirectedRequest
	case b.waiting >= queue:
		refuse = http.StatusServiceUnavailable
	}
	if refuse != 0 {
		b.e.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(refuse)
		return
	}
	b.waiting++
	b.e.mu.Unlock()
	select {
	case b.slot <- struct{}{}:
	case <-r.Context().Done():
		b.e.mu.Lock()
		b.waiting--
		b.e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer func() { <-b.slot }()
	b.e.mu.Lock()
	b.waiting--
	if b.e.sharded && b.fences[key] == 0 {
		b.e.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.running++
	b.busy[key]++
	b.e.mu.Unlock()
	b.e.machine.w.judge.run(b, id, key, r.URL.Path)
	defer func() {
		b.e.mu.Lock()
		defer b.e.mu.Unlock()
		b.running--
		if b.busy[key]--; b.busy[key] == 0 && b.toRelease[key] && b.e.boot == b {
			next := b.fences
			next[key] = 0
			delete(b.toRelease, key)
			b.setFences(&next, time.Now())
		}
	}()
	select {
	case <-time.After(b.e.work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	h.Set("Response-Seal", "seal."+id)
	_, _ = fmt.Fprintf(w, "%s ran %d bytes", id, len(body))
}
