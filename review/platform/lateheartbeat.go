package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const cabinDesired = `{"version":"r3","resources":[
{"resource_type":"routes","metadata":{"name":"voucher"},"spec":{"hostname":"pass.example","prefix":"/voucher/","route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"cabinstore","max_attempts":2}},
{"resource_type":"routes","metadata":{"name":"bundle"},"spec":{"hostname":"pass.example","prefix":"/bundle/","route_type":"download","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"cabinstore","max_attempts":2}},
{"resource_type":"services","metadata":{"name":"cabinstore"},"spec":{"health_check_path":"/health","max_connections":76}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

func voucher() call {
	return call{host: "pass.example", method: http.MethodPost, path: "/voucher/x", key: -1, deadline: 1500 * time.Millisecond, body: "client"}
}

func bundle() call {
	return call{host: "pass.example", method: http.MethodGet, path: "/bundle/x", key: -1, deadline: 2 * time.Second}
}

const (
	// drainTime is drain_ms, contactTime contact_ms.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// lateBy is how late one heartbeat arrives.
	lateBy = 4 * time.Second
	// leaveAfter is when the endpoint leaves after that heartbeat was sent, and killAfter when the node
	// beside it is killed after the leave was acknowledged; restartPause is the pause until it starts again.
	leaveAfter   = 1200 * time.Millisecond
	killAfter    = 300 * time.Millisecond
	restartPause = 300 * time.Millisecond
	// servesOn is how long the endpoint continues to serve after the acknowledgement.
	servesOn = 8 * time.Second
)

// lateHeartbeat lets an endpoint leave whose node is killed after it has acknowledged the leave. A
// heartbeat that the endpoint sent before arrives late, at the node's next process.
func lateHeartbeat(c *cluster, trouble bool) ([]string, error) {
	if err := c.configure(cabinDesired); err != nil {
		return nil, err
	}
	for range 3 {
		if _, err := c.add("cabinstore", false, 9, 72*time.Millisecond, true); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServed("pass.example", 25*time.Second, func(*machine, int) call { return bundle() }); err != nil {
		return nil, err
	}
	for _, m := range c.machines {
		c.startClients(m, 10, 60*time.Millisecond, func(rng *rand.Rand) call {
			if rng.IntN(2) == 0 {
				return voucher()
			}
			return bundle()
		})
	}
	time.Sleep(6 * time.Second)
	m := c.machines[2]
	e := m.endpoint
	deliver, err := e.holdHeartbeat()
	if err != nil {
		return nil, err
	}
	time.AfterFunc(lateBy, deliver)
	time.Sleep(leaveAfter)
	left, err := e.deregister()
	if err != nil {
		return nil, fmt.Errorf("the leave is not acknowledged: %w", err)
	}
	time.Sleep(killAfter)
	inTouch := left
	if trouble {
		if err := m.restartNode(syscall.SIGKILL, restartPause); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(left.Add(servesOn)))
	e.stop()
	time.Sleep(3 * time.Second)
	return c.afterLeave(e, maxTime(left.Add(drainTime), inTouch), left), nil
}

// afterLeave returns the requests that an endpoint got later than a time.
func (c *cluster) afterLeave(e *endpoint, bound, left time.Time) []string {
	answers := map[string]answer{}
	for _, a := range c.allAnswers() {
		answers[a.id] = a
	}
	var out []string
	lost := 0
	for _, got := range e.arrivals() {
		if !got.at.After(bound) {
			continue
		}
		a := answers[got.id]
		if a.status != http.StatusOK {
			lost++
		}
		out = append(out, fmt.Sprintf("%s reached %s %v after its leave was acknowledged (%s by a client of %s at %s, answered %d)",
			got.id, e.id, got.at.Sub(left).Round(time.Millisecond), a.path, a.machine.name, c.record.at(a.sentAt), a.status))
	}
	if len(out) > 0 {
		out = append(out, fmt.Sprintf("%d requests in all, of which %d were not answered with success", len(out), lost))
	}
	return out
}

// holdHeartbeat holds the next heartbeat back and returns when it was sent. deliver lets it arrive.
func (e *endpoint) holdHeartbeat() (deliver func(), err error) {
	late := make(chan struct{})
	e.mu.Lock()
	e.late = late
	e.mu.Unlock()
	for end := time.Now().Add(2 * heartbeatInterval); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		e.mu.Lock()
		sent := e.late == nil
		e.mu.Unlock()
		if sent {
			return func() { close(late) }, nil
		}
	}
	return nil, fmt.Errorf("endpoint %s sends no heartbeats", e.id)
}
