package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// longBody is the size of the long bodies in bytes; the operator's limit is 64 MiB.
	longBody = 1536 << 10
	// uploaders are the clients of each machine that send them, smallUsers those that send short requests.
	uploaders, smallUsers = 2, 2
	// scaleIns endpoints of longMachines leave one after the other.
	longMachines, scaleIns = 6, 3
	// quietFor is the time before and after that, and emptyFor how long an endpoint that leaves
	// continues to serve.
	quietFor, emptyFor = 8 * time.Second, 6 * time.Second
)

// upload is a request with a long body, and what was seen of it.
type upload struct {
	id, sum string
	machine *machine
	status  int
	err     error
}

// uploads are the requests with long bodies of all clients.
type uploads struct {
	mu  sync.Mutex
	all []upload
}

// longBodies sends requests with long bodies in chunks while an endpoint is emptied and taken away.
func longBodies(c *cluster, trouble bool) ([]string, error) {
	if err := c.configure(passDesired); err != nil {
		return nil, err
	}
	for range longMachines {
		if _, err := c.add("passdesk", true, 9, 60*time.Millisecond, true); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServed("pass.example", 25*time.Second, func(_ *machine, i int) call { return balanceOf(i * 8191) }); err != nil {
		return nil, err
	}
	var sent uploads
	for i, m := range c.machines {
		c.startClients(m, smallUsers, 150*time.Millisecond, func(rng *rand.Rand) call { return balanceOf(rng.IntN(65536)) })
		for j := range uploaders {
			rng := rand.New(rand.NewPCG(uint64(j), uint64(i)))
			c.clients.Go(func() {
				for c.stopped.Err() == nil && !m.gone.Load() {
					sent.add(c.sendLong(m, rng))
					time.Sleep(time.Duration(100+rng.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(quietFor)
	for i := range scaleIns {
		if !trouble {
			time.Sleep(emptyFor)
			continue
		}
		if err := c.scaleIn(c.machines[longMachines-1-i]); err != nil {
			return nil, err
		}
	}
	time.Sleep(quietFor)
	c.end()
	c.clients.Wait()
	return c.changedBodies(sent.all), nil
}

// scaleIn empties the endpoint of a machine and takes both away, as planned.
func (c *cluster) scaleIn(m *machine) error {
	m.endpoint.drain()
	time.Sleep(emptyFor)
	if _, err := m.endpoint.deregister(); err != nil {
		c.record.add("deregister of %s: %v", m.endpoint.id, err) // it exits anyway
	}
	m.gone.Store(true)
	m.endpoint.stop()
	return m.signal(syscall.SIGTERM)
}

// drain makes the endpoint report that it is draining.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
	e.record.add("endpoint %s: draining", e.id)
}

func (u *uploads) add(one upload) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.all = append(u.all, one)
}

// sendLong sends a request with a long body in chunks, all of which differ.
func (c *cluster) sendLong(m *machine, rng *rand.Rand) upload {
	out := upload{id: newID("") + newID(""), machine: m}
	key := rng.IntN(65536)
	body := make([]byte, longBody)
	if _, err := rand.NewChaCha8([32]byte{byte(key), byte(key >> 8), byte(rng.Uint32())}).Read(body); err != nil {
		out.err = err
		return out
	}
	out.sum = sumOf(body)
	reader, writer := io.Pipe()
	go func() {
		const piece = 32 << 10
		for at := 0; at < len(body); at += piece {
			if _, err := writer.Write(body[at:min(at+piece, len(body))]); err != nil {
				return // the request has ended
			}
		}
		_ = writer.Close() // never fails
	}()
	ctx, cancel := context.WithTimeout(context.Background(), chargeOf(0).deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/charge/long", m.ip, outboundPort), reader)
	if err != nil {
		out.err = err
		return out
	}
	req.Host = "pass.example"
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	req.Header.Set("Deadline-Ms", strconv.FormatInt(chargeOf(0).deadline.Milliseconds(), 10))
	c.record.add("client of %s sends %s (POST /charge/long in chunks, key %d, %d bytes, sha256 %s)", m.name, out.id, key, longBody, out.sum)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		out.status = resp.StatusCode
	}
	out.err = err
	c.record.add("client of %s: answer to %s: %d %v", m.name, out.id, out.status, err)
	return out
}

func sumOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// changedBodies returns the requests that an endpoint ran with another body than was sent.
func (c *cluster) changedBodies(sent []upload) []string {
	var out []string
	ran := 0
	for _, u := range sent {
		for _, m := range c.machines {
			got, ok := m.endpoint.bodyOf(u.id)
			if !ok {
				continue
			}
			ran++
			if got.sum != u.sum {
				out = append(out, fmt.Sprintf("%s of a client of %s: sent %d bytes with sha256 %s; %s ran it with %d bytes and sha256 %s; the client got %d",
					u.id, u.machine.name, longBody, u.sum, m.endpoint.id, got.size, got.sum, u.status))
			}
		}
	}
	c.record.add("%d requests with long bodies sent, %d run, %d of them with another body", len(sent), ran, len(out))
	return out
}

// receivedBody is what an endpoint got as the body of a request that it ran.
type receivedBody struct {
	size int
	sum  string
}

func (e *endpoint) bodyOf(id string) (receivedBody, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.bodies[id]
	return b, ok
}
