package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { cases["owner-relay"], cases["owner-kill"] = playOwnerRelay, playOwnerKill }

const (
	// keyedService is the service whose keys are divided.
	keyedService = "yoyaku"
	// healAfterWrite is how long after the store got the write that it does late the partition of the endpoint ends.
	healAfterWrite = 400 * time.Millisecond
	// minLate and maxLate are the least and the longest time after which a late write is done.
	minLate, maxLate = 1800 * time.Millisecond, 5500 * time.Millisecond
	// soon is how far ahead a heartbeat is at least that is sent soon, and margin what is added to the time in the rule.
	soon, margin = 60 * time.Millisecond, 40 * time.Millisecond
	// maxRounds is how often the disruption comes at most.
	maxRounds = 3
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

// calmRate is how many requests a second all clients send; with them no endpoint is so busy that keys are moved for
// balance. idempotentShare is the share of them that may be repeated.
const calmRate, idempotentShare = 30, 2.0 / 3

// startKeyed starts machines with endpoints of a service whose keys are divided, and traffic. It returns the machine
// with the planner and another one, which has the busy keys.
func startKeyed(w *world, machines int, rate float64) (c *clients, cancel context.CancelFunc, planner, a *machine, err error) {
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
	c.makeBusy(busy)
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, w.machines, rate*idempotentShare/float64(machines), http.MethodGet, idempotentPrefix, true)
	c.run(ctx, w.machines, rate*(1-idempotentShare)/float64(machines), http.MethodPost, nonIdempotentPrefix, true)
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

// awaitMoment waits until another endpoint soon sends a heartbeat and e does so much later, or until a time.
func awaitMoment(w *world, e *endpoint, limit time.Time) {
	for ; time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		_, next := e.beatTimes()
		for _, m := range w.machines {
			_, other := m.endpoint.beatTimes()
			if m.endpoint != e && time.Until(other) > soon && next.Sub(other) > maxSharedHold+margin {
				return
			}
		}
	}
}

// finish ends the traffic and judges.
func finish(w *world, c *clients, cancel context.CancelFunc) []string {
	cancel()
	c.wait.Wait()
	all := c.sentBetween(time.Time{}, time.Now())
	w.linef("%d of %d attempts were served", served(all), len(all))
	return append(w.judge.owner(), w.judge.twice()...)
}

// playRounds plays a round up to maxRounds times, until the rule is broken.
func playRounds(w *world, machines int, round func(planner, a *machine) (*lateKeyWrite, time.Time, error)) ([]string, error) {
	c, cancel, planner, a, err := startKeyed(w, machines, calmRate)
	if err != nil {
		return nil, err
	}
	defer cancel()
	for i := range maxRounds {
		if i > 0 {
			if planner, a, err = splitRoles(w); err != nil {
				return nil, err
			}
			c.makeBusy(a.endpoint.heldKeys())
			time.Sleep(6 * time.Second)
		}
		if !w.trouble {
			time.Sleep(10 * time.Second)
			continue
		}
		w.linef("round %d", i+1)
		l, got, err := round(planner, a)
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Until(got.Add(minLate)))
		awaitMoment(w, a.endpoint, got.Add(maxLate))
		l.release()
		time.Sleep(5 * time.Second)
		w.store.setLate(nil)
		if len(w.judge.owner()) > 0 {
			break
		}
	}
	return finish(w, c, cancel), nil
}

// awaitWrite waits until the store has got the write that it does late.
func (l *lateKeyWrite) awaitWrite() error {
	select {
	case <-l.got:
		return nil
	case <-time.After(9 * time.Second):
		l.release()
		return errNoWrite
	}
}

// playOwnerRelay: an endpoint is cut off from the control address until its holds have run out, while the store turns
// its machine away. The write that takes its keys goes through the other machine and is done late, without an answer.
// Meanwhile the endpoint is back.
func playOwnerRelay(w *world) ([]string, error) {
	return playRounds(w, 2, func(planner, a *machine) (*lateKeyWrite, time.Time, error) {
		a.endpoint.cut(true)
		time.Sleep(2 * time.Second)
		a.front.refuse(true)
		time.AfterFunc(turnedAway, func() { a.front.refuse(false) })
		l := w.delayKeyWrite(func(f *front) bool { return f == planner.front })
		if err := l.awaitWrite(); err != nil {
			return nil, time.Time{}, err
		}
		got := time.Now()
		time.Sleep(healAfterWrite)
		a.endpoint.cut(false)
		return l, got, nil
	})
}

// playOwnerKill: an endpoint is cut off from the control address until its holds have run out. The write that takes
// its keys is done late, without an answer, and its node is killed meanwhile. Then the node and the endpoint are back.
func playOwnerKill(w *world) ([]string, error) {
	return playRounds(w, 3, func(_, a *machine) (*lateKeyWrite, time.Time, error) {
		a.endpoint.cut(true)
		l := w.delayKeyWrite(func(f *front) bool { return f == a.front })
		if err := l.awaitWrite(); err != nil {
			return nil, time.Time{}, err
		}
		got := time.Now()
		time.Sleep(200 * time.Millisecond)
		a.kill()
		time.Sleep(restartDelay)
		if err := a.startNode(false); err != nil {
			return nil, time.Time{}, err
		}
		if err := await(3*time.Second, "the node is back", a.ready); err != nil {
			return nil, time.Time{}, err
		}
		a.endpoint.cut(false)
		return l, got, nil
	})
}
