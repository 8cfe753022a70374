package main

import (
	"time"
)

func init() { cases["owner-late"] = playOwnerLate }

const (
	// exitsAfter is how long after it began to drain an endpoint without an acknowledgement exits.
	exitsAfter = 2 * time.Second
	// usualRate is how many requests a second all clients send.
	usualRate = 45
	// servesAfterAck is how long an endpoint serves on after its leave was acknowledged.
	servesAfterAck = 3 * time.Second
	// lateBeat is how late the heartbeats of that endpoint arrive, at least.
	lateBeat = 6500 * time.Millisecond
)

// delayedBeat is a heartbeat that a partition delays.
type delayedBeat struct {
	body []byte
	sent time.Time
}

// playOwnerLate: an endpoint is cut off from the control address, drains and exits without an acknowledgement, and
// starts again. Its node is killed and started again. Then the heartbeats arrive that the partition delayed.
func playOwnerLate(w *world) ([]string, error) {
	c, cancel, planner, a, err := startKeyed(w, 3, usualRate)
	if err != nil {
		return nil, err
	}
	defer cancel()
	var third *machine
	for _, m := range w.machines {
		if m != a && m != planner {
			third = m
		}
	}
	var delayed []delayedBeat
	first := a.endpoint.current()
	if w.trouble {
		a.endpoint.cut(true)
	}
	first.drain()
	for end := time.Now().Add(exitsAfter); time.Now().Before(end); time.Sleep(beatInterval) {
		if w.trouble {
			body, _ := first.heartbeat()
			delayed = append(delayed, delayedBeat{body, time.Now()})
			w.linef("a heartbeat of %s, which drains, is delayed by the partition", first.id)
		}
	}
	a.endpoint.crash()
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		a.endpoint.cut(false)
	}
	if err := a.endpoint.start(); err != nil {
		return nil, err
	}
	// The keys of an endpoint that leaves go to the others.
	leaves := third.endpoint.current()
	leaves.drain()
	leaves.beat()
	time.AfterFunc(servesAfterAck, func() {
		if _, err := leaves.post("deregister", nil); err != nil {
			w.linef("deregister of %s: %v", leaves.id, err)
		}
		third.endpoint.crash()
	})
	time.Sleep(2 * time.Second)
	if w.trouble {
		a.kill()
		time.Sleep(restartDelay)
		if err := a.startNode(false); err != nil {
			return nil, err
		}
		second := a.endpoint.current()
		beats := second.beatCount()
		if err := await(3*time.Second, "a heartbeat is answered by the next process", func() bool { return second.beatCount() > beats }); err != nil {
			return nil, err
		}
	}
	for _, d := range delayed {
		time.Sleep(time.Until(d.sent.Add(lateBeat)))
		_, err := first.post("heartbeat", d.body)
		w.linef("a heartbeat of %s arrives %.1f s late: error %v", first.id, time.Since(d.sent).Seconds(), err)
	}
	time.Sleep(6 * time.Second)
	return finish(w, c, cancel), nil
}
