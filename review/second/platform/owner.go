package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["owner-relay"], cases["owner-kill"] = playOwnerRelay, playOwnerKill }

const (
	// keyedService is the service whose keys are divided.
	keyedService = "yoyaku"
	// healAfterWrite is how long after the store got the write that it does late the partition of the endpoint ends.
	healAfterWrite = 500 * time.Millisecond
	// minLate is the least time after which a late write is done; the longest is 6 s.
	minLate = 2500 * time.Millisecond
	// turnedAway is for how long the store turns a machine away.
	turnedAway = 7 * time.Second
)

// lateKeyWrite makes the store do one write of the key table late.
type lateKeyWrite struct {
	got, do chan struct{}
	once    sync.Once
}

// delayKeyWrite makes the store do the next write of the key table that arrives at a front late.
func (w *world) delayKeyWrite(at func(f *front) bool) *lateKeyWrite {
	l := &lateKeyWrite{got: make(chan struct{}), do: make(chan struct{})}
	taken := false
	w.store.setLate(func(f *front, keys []string) <-chan struct{} {
		if taken || !at(f) || !writesKeys(keys) {
			return nil
		}
		taken = true
		close(l.got)
		w.linef("the store gets a write of the key table at the front of %s, and does it late", f.name)
		return l.do
	})
	return l
}

// release makes the store do the write.
func (l *lateKeyWrite) release() { l.once.Do(func() { close(l.do) }) }

// busyShare is the share of the requests that are for keys of one endpoint: some keys are busier than others.
const busyShare = 0.8

// startKeyed starts machines with endpoints of a service whose keys are divided, and traffic. It returns the machine
// with the planner and another one, which has the busy keys.
func startKeyed(w *world, machines int) (c *clients, cancel context.CancelFunc, planner, a *machine, err error) {
	fail := func(err error) (*clients, context.CancelFunc, *machine, *machine, error) {
		return nil, nil, nil, nil, err
	}
	for range machines {
		if _, err := w.addMachine(keyedService, true); err != nil {
			return fail(err)
		}
	}
	err = w.putConfig(map[string]any{"version": "r3", "resources": []any{
		routeOf("r-a", idempotentPrefix, "idempotent", keyedService, 800, 200, 2),
		routeOf("r-b", nonIdempotentPrefix, "non_idempotent", keyedService, 1000, 250, 2),
		serviceOf(keyedService, true), limitsOf(),
	}})
	if err != nil {
		return fail(err)
	}
	if err := w.awaitReady(); err != nil {
		return fail(err)
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	if planner, a, err = splitRoles(w); err != nil {
		return fail(err)
	}
	c = w.newClients()
	busy := a.endpoint.heldKeys()
	if len(busy) == 0 {
		return fail(errNotServed)
	}
	c.key = func() int {
		if rand.Float64() < busyShare {
			return busy[rand.IntN(len(busy))]
		}
		return rand.IntN(keyCount)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, w.machines, 10, http.MethodGet, idempotentPrefix, true)
	c.run(ctx, w.machines, 5, http.MethodPost, nonIdempotentPrefix, true)
	time.Sleep(6 * time.Second)
	return c, stop, planner, a, nil
}

// splitRoles returns the machine with the planner, and another one.
func splitRoles(w *world) (planner, other *machine, err error) {
	if err := await(5*time.Second, "a planner", func() bool { planner = w.planner(); return planner != nil }); err != nil {
		return nil, nil, err
	}
	for _, m := range w.machines {
		if m != planner {
			return planner, m, nil
		}
	}
	return nil, nil, errNotServed
}

// beatBefore returns when an endpoint is to send a heartbeat so that it comes a moment before those of another one.
func beatBefore(other *endpoint) time.Time {
	last := other.lastBeat()
	next := last.Add(-150 * time.Millisecond)
	for next.Before(time.Now()) {
		next = next.Add(beatInterval)
	}
	return next
}

// finishOwner lets the store do the late write right after a heartbeat of e, waits and judges.
func finishOwner(w *world, l *lateKeyWrite, got time.Time, e *endpoint, c *clients, cancel context.CancelFunc) ([]string, error) {
	if l != nil {
		time.Sleep(time.Until(got.Add(minLate)))
		beats := e.current().beatCount()
		if err := await(3*time.Second, "a heartbeat", func() bool { return e.current().beatCount() > beats }); err != nil {
			return nil, err
		}
		l.release()
	}
	time.Sleep(6 * time.Second)
	w.store.setLate(nil)
	cancel()
	c.wait.Wait()
	all := c.sentBetween(time.Time{}, time.Now())
	w.linef("%d of %d attempts were served", served(all), len(all))
	return append(w.judge.owner(), w.judge.twice()...), nil
}

// playOwnerRelay: an endpoint is cut off from the control address until its holds have run out, while the store turns
// its machine away. The write that takes its keys goes through the other machine and is done late, without an answer.
// Meanwhile the endpoint is back.
func playOwnerRelay(w *world) ([]string, error) {
	c, cancel, planner, a, err := startKeyed(w, 2)
	if err != nil {
		return nil, err
	}
	defer cancel()
	if !w.trouble {
		time.Sleep(10 * time.Second)
		return finishOwner(w, nil, time.Time{}, a.endpoint, c, cancel)
	}
	a.endpoint.cut(true)
	time.Sleep(2 * time.Second)
	a.front.refuse(true)
	time.AfterFunc(turnedAway, func() { a.front.refuse(false) })
	l := w.delayKeyWrite(func(f *front) bool { return f == planner.front })
	defer l.release()
	select {
	case <-l.got:
	case <-time.After(8 * time.Second):
		return nil, errNoWrite
	}
	got := time.Now()
	time.Sleep(healAfterWrite)
	time.Sleep(time.Until(beatBefore(planner.endpoint)))
	a.endpoint.cut(false)
	return finishOwner(w, l, got, a.endpoint, c, cancel)
}

// playOwnerKill: an endpoint is cut off from the control address until its holds have run out. The write that takes
// its keys is done late, without an answer, and its node is killed meanwhile. Then the node and the endpoint are back.
func playOwnerKill(w *world) ([]string, error) {
	c, cancel, planner, a, err := startKeyed(w, 3)
	if err != nil {
		return nil, err
	}
	defer cancel()
	if !w.trouble {
		time.Sleep(10 * time.Second)
		return finishOwner(w, nil, time.Time{}, a.endpoint, c, cancel)
	}
	a.endpoint.cut(true)
	l := w.delayKeyWrite(func(f *front) bool { return f == a.front })
	defer l.release()
	select {
	case <-l.got:
	case <-time.After(9 * time.Second):
		return nil, errNoWrite
	}
	got := time.Now()
	time.Sleep(200 * time.Millisecond)
	a.kill()
	time.Sleep(restartDelay)
	if err := a.startNode(false); err != nil {
		return nil, err
	}
	if err := await(3*time.Second, "the node is back", a.ready); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(beatBefore(planner.endpoint)))
	a.endpoint.cut(false)
	return finishOwner(w, l, got, a.endpoint, c, cancel)
}
