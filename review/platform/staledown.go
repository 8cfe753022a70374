package main

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

var scenarios = map[string]scenario{
	"stale-down":     staleDown,
	"late-heartbeat": lateHeartbeat,
	"long-body":      longBodies,
	"early-release":  earlyRelease,
}

const passDesired = `{"version":"r3","resources":[
{"resource_type":"routes","metadata":{"name":"charge"},"spec":{"hostname":"pass.example","prefix":"/charge/","route_type":"non_idempotent","timeout_ms":2500,"target_latency_ms":400,"priority":1,"service":"passdesk","max_attempts":2}},
{"resource_type":"routes","metadata":{"name":"balance"},"spec":{"hostname":"pass.example","prefix":"/balance/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"passdesk","max_attempts":2}},
{"resource_type":"services","metadata":{"name":"passdesk"},"spec":{"health_check_path":"/health","max_connections":76,"sharded":true,"warmup_s":5,"grants":"heartbeat"}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

func balanceOf(key int) call {
	return call{host: "pass.example", method: http.MethodGet, path: "/balance/x", key: key, deadline: 2 * time.Second}
}

func chargeOf(key int) call {
	return call{host: "pass.example", method: http.MethodPost, path: "/charge/x", key: key, deadline: 2500 * time.Millisecond, body: "client"}
}

const (
	// cutFor is how long an endpoint is cut off from control, at most 10 s on the page, and downAfter when
	// the store goes down since then, for downFor, at most 8 s.
	cutFor    = 5200 * time.Millisecond
	downAfter = 2200 * time.Millisecond
	downFor   = 5200 * time.Millisecond
	// cutAgainBefore is how long before the store comes back the endpoint is cut off again, for cutAgainFor.
	cutAgainBefore = 300 * time.Millisecond
	cutAgainFor    = 3 * time.Second
	// cutRounds is how often that happens, each time to another endpoint, with a pause of cutPause.
	cutRounds = 3
	cutPause  = 6 * time.Second
	// busySkew is how much busier low keys are; 1 makes all alike.
	busySkew = 1.5
)

// staleDown cuts endpoints off from control until their holds have run out, while the store is down.
func staleDown(c *cluster, trouble bool) ([]string, error) {
	if err := c.configure(passDesired); err != nil {
		return nil, err
	}
	for range 9 {
		if _, err := c.add("passdesk", true, 9, 100*time.Millisecond, true); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServed("pass.example", 25*time.Second, func(_ *machine, i int) call { return balanceOf(i * 8191) }); err != nil {
		return nil, err
	}
	for _, m := range c.machines {
		c.startClients(m, 2, 150*time.Millisecond, func(rng *rand.Rand) call {
			// Some keys are far busier than others, and the busy keys are close to one another.
			key := int(65535 * math.Pow(rng.Float64(), busySkew))
			if rng.IntN(3) == 0 {
				return chargeOf(key)
			}
			return balanceOf(key)
		})
	}
	for round := range cutRounds {
		victim := c.machines[round].endpoint
		time.Sleep(cutPause)
		if !trouble {
			time.Sleep(downAfter + downFor + cutAgainFor - cutAgainBefore)
			continue
		}
		victim.setCut(true)
		time.Sleep(downAfter)
		c.setStoreDown(true)
		time.Sleep(cutFor - downAfter)
		victim.setCut(false)
		time.Sleep(downAfter + downFor - cutFor - cutAgainBefore)
		victim.setCut(true)
		time.Sleep(cutAgainBefore)
		c.setStoreDown(false)
		time.Sleep(cutAgainFor - cutAgainBefore)
		victim.setCut(false)
	}
	time.Sleep(cutPause)
	return c.holds.violations(c.record), nil
}
