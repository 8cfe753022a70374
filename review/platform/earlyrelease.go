package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// gainTime is the time in which an endpoint gets keys of another one that leaves.
	gainTime = 6 * time.Second
	// arriveAfter is how long after the restart of the node the late heartbeat arrives.
	arriveAfter = 400 * time.Millisecond
)

// earlyRelease takes two endpoints away, one after the other. The second one got keys of the first. The
// node beside it is killed after it has acknowledged the leave, and a heartbeat from before it got those
// keys arrives late, at the node's next process.
func earlyRelease(c *cluster, trouble bool) ([]string, error) {
	if err := c.configure(passDesired); err != nil {
		return nil, err
	}
	for range 5 {
		if _, err := c.add("passdesk", true, 9, 100*time.Millisecond, true); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServed("pass.example", 25*time.Second, func(_ *machine, i int) call { return balanceOf(i * 8191) }); err != nil {
		return nil, err
	}
	planner := c.planner()
	if planner == nil {
		return nil, errors.New("the planner is not known")
	}
	var others []*machine
	for _, m := range c.machines {
		if m != planner {
			others = append(others, m)
		}
	}
	first := others[0]
	for _, m := range c.machines {
		c.startClients(m, 3, 150*time.Millisecond, func(rng *rand.Rand) call {
			if rng.IntN(3) == 0 {
				return chargeOf(rng.IntN(65536))
			}
			return balanceOf(rng.IntN(65536))
		})
	}
	time.Sleep(6 * time.Second)
	// One heartbeat of each endpoint is held back, as it isn't known which one gets the keys.
	var candidates []*gainer
	for _, m := range others[1:] {
		deliver, err := m.endpoint.holdHeartbeat()
		if err != nil {
			return nil, err
		}
		candidates = append(candidates, &gainer{machine: m, deliver: deliver, had: m.endpoint.keyCount()})
	}
	first.endpoint.drain()
	found, err := firstToGain(candidates)
	if err != nil {
		return nil, err
	}
	second, e := found.machine, found.machine.endpoint
	left, err := e.deregister()
	if err != nil {
		return nil, fmt.Errorf("the leave is not acknowledged: %w", err)
	}
	time.Sleep(killAfter)
	if trouble {
		if err := second.restartNode(syscall.SIGKILL, restartPause); err != nil {
			return nil, err
		}
	}
	time.Sleep(arriveAfter)
	for _, g := range candidates {
		g.deliver()
	}
	time.Sleep(time.Until(left.Add(servesOn)))
	for _, m := range []*machine{first, second} {
		m.gone.Store(true)
		m.endpoint.stop()
		if err := m.signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	return c.holds.violations(c.record), nil
}

// keyCount returns how many keys the endpoint holds.
func (e *endpoint) keyCount() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var n uint64
	for _, r := range e.rows {
		n += r.to - r.from + 1
	}
	return n
}

// gainer is a machine whose endpoint may get keys.
type gainer struct {
	machine *machine
	deliver func()
	had     uint64
	until   time.Time
}

// firstToGain waits until an endpoint holds more keys than it had, and has just been granted them again.
func firstToGain(candidates []*gainer) (*gainer, error) {
	for end := time.Now().Add(gainTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, g := range candidates {
			e := g.machine.endpoint
			e.mu.Lock()
			until := e.until
			e.mu.Unlock()
			if !g.until.IsZero() && until.After(g.until) && e.keyCount() > g.had {
				return g, nil
			}
			g.until = until
		}
	}
	return nil, errors.New("no endpoint got keys")
}
