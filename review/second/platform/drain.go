package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	// storeDown is for how long the store is down.
	storeDown = 4500 * time.Millisecond
	// heartbeatDelay is how late the heartbeat arrives that was sent before the endpoint left.
	heartbeatDelay = 3 * time.Second
	// servesOn is for how long the endpoint goes on after its leave.
	servesOn = 14 * time.Second
)

// playDrain: while the store is down, an endpoint deregisters and serves on. Its node, which has acknowledged that, is
// killed and started again, and then a heartbeat arrives that was sent before the leave.
func playDrain(w *world) ([]string, error) {
	for range 3 {
		if _, err := w.addMachine(recordsService, false); err != nil {
			return nil, err
		}
	}
	err := w.putConfig(map[string]any{"version": "r3", "resources": []any{
		routeOf("r-a", idempotentPrefix, "idempotent", recordsService, 1000, 250, 2),
		serviceOf(recordsService, false), limitsOf(),
	}})
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	_, leaves, err := splitRoles(w)
	if err != nil {
		return nil, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.run(ctx, w.machines, 80, http.MethodGet, idempotentPrefix, false)
	time.Sleep(5 * time.Second)

	b := leaves.endpoint.current()
	late, _ := b.heartbeat()
	sent := time.Now()
	if w.trouble {
		w.store.setDown(true)
		time.AfterFunc(storeDown, func() { w.store.setDown(false) })
	}
	time.Sleep(300 * time.Millisecond)
	b.leave()
	if _, err := b.post("deregister", nil); err != nil {
		return nil, fmt.Errorf("the leave was not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	w.linef("the leave of %s is acknowledged", b.id)
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		leaves.kill()
		time.Sleep(restartDelay)
		if err := leaves.startNode(false); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	time.Sleep(time.Until(sent.Add(heartbeatDelay)))
	_, err = b.post("heartbeat", late)
	w.linef("a heartbeat of %s arrives that was sent %.1f s ago, before the leave: error %v", b.id, time.Since(sent).Seconds(), err)
	inTouch := sent.Add(storeDown + contact)
	if at := started.Add(contact); inTouch.Before(at) {
		inTouch = at
	}
	inTouch = inTouch.Add(100 * time.Millisecond)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	cancel()
	c.wait.Wait()
	leaves.endpoint.crash()

	from := acknowledged.Add(drain)
	if from.Before(inTouch) {
		from = inTouch
	}
	w.linef("all machines are in touch from %s on", w.at(inTouch))
	times := map[string]time.Time{}
	for _, s := range c.sentBetween(from, time.Now()) {
		times[s.id] = s.sent
	}
	var broken []string
	for _, r := range w.judge.runsOf(b) {
		if at, ok := times[r.id]; ok {
			broken = append(broken, fmt.Sprintf("DRAIN: %s, sent by a client at %s, %.1f s after the leave was acknowledged, reaches %s at %s",
				r.id, w.at(at), at.Sub(acknowledged).Seconds(), b.id, w.at(r.at)))
		}
	}
	all := c.sentBetween(time.Time{}, time.Now())
	w.linef("%d of %d attempts were served", served(all), len(all))
	return broken, nil
}
