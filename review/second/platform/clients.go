package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Prefixes of the routes.
const (
	idempotentPrefix    = "/lohu930/"
	nonIdempotentPrefix = "/pufi791/"
)

// sentRequest is one client attempt.
type sentRequest struct {
	id      string
	machine *machine
	sent    time.Time
	// status is that of the answer, 0 if there was none; sealed is set if it bears an endpoint's seal.
	status int
	sealed bool
}

// clients send requests on a machine's outbound address.
type clients struct {
	w    *world
	pool *http.Client
	wait sync.WaitGroup
	mu   sync.Mutex
	all  []*sentRequest
	// busy are the keys that busyShare of the requests are for; the others are for any key.
	busy []int
}

func (w *world) newClients() *clients {
	return &clients{w: w, pool: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// busyShare is the share of the requests that are for the busy keys, if there are any.
const busyShare = 0.8

// makeBusy changes which keys are busy.
func (c *clients) makeBusy(keys []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = keys
}

// key returns the key of the next request.
func (c *clients) key() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.busy) > 0 && rand.Float64() < busyShare {
		return c.busy[rand.IntN(len(c.busy))]
	}
	return rand.IntN(keyCount)
}

// deadline is the deadline of the clients.
const deadline = time.Second

// send sends a request and waits for the answer.
func (c *clients) send(m *machine, method, prefix string, keyed bool) *sentRequest {
	s := &sentRequest{id: fmt.Sprintf("%016x", rand.Uint64()), machine: m, sent: time.Now()}
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%04x", m.ip, outboundPort, prefix, rand.IntN(1<<16)), nil)
	if err != nil {
		panic(err)
	}
	r.Host = "ficu95.example"
	r.Header.Set("Attempt-Id", s.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	key := "none"
	if keyed {
		key = strconv.Itoa(c.key())
		r.Header.Set("Shard-Key", key)
	}
	resp, err := c.pool.Do(r)
	if err != nil {
		c.w.linef("client %s %s on %s, key %s: no answer: %v", s.id, method, m.name, key, err)
		return s
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.mu.Lock()
	s.status, s.sealed = resp.StatusCode, resp.Header.Get("Response-Seal") != ""
	c.mu.Unlock()
	c.w.linef("client %s %s on %s, key %s, sent at %s: %d, sealed %t, %d bytes, error %v: %s", s.id, method, m.name, key, c.w.at(s.sent), s.status, s.sealed,
		len(body), err, strings.TrimSpace(string(body[:min(len(body), 100)])))
	return s
}

// run sends requests on machines, so many a second on each, until the context ends.
func (c *clients) run(ctx context.Context, machines []*machine, perSecond float64, method, prefix string, keyed bool) {
	for _, m := range machines {
		c.wait.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					c.wait.Go(func() { c.send(m, method, prefix, keyed) })
				}
			}
		})
	}
}

// sentBetween returns the attempts that were sent within a time.
func (c *clients) sentBetween(from, to time.Time) []*sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*sentRequest
	for _, s := range c.all {
		if !s.sent.Before(from) && s.sent.Before(to) {
			out = append(out, s)
		}
	}
	return out
}

// served counts the attempts that were answered with success.
func served(all []*sentRequest) int {
	n := 0
	for _, s := range all {
		if s.status/100 == 2 && s.sealed {
			n++
		}
	}
	return n
}

var (
	errNotServed = errors.New("requests were not served before the trouble")
	errNoWrite   = errors.New("the store got no write of the key table")
)
