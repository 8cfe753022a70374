package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { cases["recover"] = playRecover }

const (
	// recovery is recovery_s of the settings.
	recovery = 15 * time.Second
	// downTime is for how long the processes are down at the end.
	downTime = time.Second
	// recordsService and deskService are the services of the case.
	recordsService, deskService = "sesshon", "yoyaku"
)

// playRecover: an endpoint's heartbeat is delayed by a partition. The endpoint crashes and starts again. Then the
// processes of all nodes are killed. Once they are back, the delayed heartbeat arrives.
func playRecover(w *world) ([]string, error) {
	records, err := w.addMachine(recordsService, false)
	if err != nil {
		return nil, err
	}
	for range 2 {
		if _, err := w.addMachine(deskService, false); err != nil {
			return nil, err
		}
	}
	err = w.putConfig(map[string]any{"version": "r3", "resources": []any{
		routeOf("r-a", idempotentPrefix, "idempotent", recordsService, 1000, 250, 2),
		serviceOf(recordsService, false), serviceOf(deskService, false), limitsOf(),
	}})
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.run(ctx, w.machines, 10, http.MethodGet, idempotentPrefix, false)
	started := time.Now()
	time.Sleep(5 * time.Second)

	first := records.endpoint.current()
	var late []byte
	if w.trouble {
		records.endpoint.cut(true)
		late, _ = first.heartbeat()
		w.linef("a heartbeat of %s is delayed by the partition", first.id)
		time.Sleep(300 * time.Millisecond)
		records.endpoint.crash()
		time.Sleep(2 * time.Second)
		if err := records.endpoint.start(); err != nil {
			return nil, err
		}
		records.endpoint.cut(false)
	}
	time.Sleep(2 * time.Second)
	fault := time.Now()
	before := c.sentBetween(started, fault)

	killAll(w)
	time.Sleep(downTime)
	for _, m := range w.machines {
		if err := m.startNode(false); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	if w.trouble {
		time.Sleep(2500 * time.Millisecond)
		_, err := first.post("heartbeat", late)
		w.linef("the delayed heartbeat of %s arrives: error %v", first.id, err)
	}
	time.Sleep(time.Until(back.Add(recovery)))
	judged := time.Now()
	time.Sleep(20 * time.Second)
	cancel()
	c.wait.Wait()

	after := c.sentBetween(judged, time.Now())
	w.linef("before the final fault %d of %d attempts were served, later than %v after the machines were back %d of %d",
		served(before), len(before), recovery, served(after), len(after))
	if 4*served(before) < len(before) || len(after) == 0 {
		return nil, errNotServed
	}
	if 4*served(after) < len(after) {
		return []string{"RECOVER: less than a quarter of the requests is served"}, nil
	}
	return nil, nil
}

// killAll kills all nodes at the same moment.
func killAll(w *world) {
	var done sync.WaitGroup
	for _, m := range w.machines {
		done.Go(m.kill)
	}
	done.Wait()
}
