package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request that a client sends.
type call struct {
	host, method, path string
	key                int // negative without a key
	deadline           time.Duration
	body               string
}

// answer is a request and what its client saw.
type answer struct {
	call
	id         string
	machine    *machine
	sentAt, at time.Time
	status     int // 0 without an answer
	body       string
	err        error
}

// send sends a request to the outbound address of a machine. client is nil for a new connection.
func (c *cluster) send(client *http.Client, m *machine, request call) answer {
	if client == nil {
		transport := &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
		client = &http.Client{Transport: transport}
	}
	out := answer{call: request, id: newID("") + newID(""), machine: m, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), request.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, request.method, fmt.Sprintf("http://%s:%d%s", m.ip, outboundPort, request.path), strings.NewReader(request.body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = request.host
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(request.deadline.Milliseconds(), 10))
	if request.key >= 0 {
		req.Header.Set("Shard-Key", strconv.Itoa(request.key))
	}
	c.record.add("client of %s sends %s (%s %s, key %d)", m.name, out.id, request.method, request.path, request.key)
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		out.body = string(body)
		if err == nil {
			out.status = resp.StatusCode
		}
	}
	out.err, out.at = err, time.Now()
	c.record.add("client of %s: answer to %s: %d %v", m.name, out.id, out.status, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, out)
	return out
}

// startClients starts clients of a machine that send a request, wait for its answer and pause.
func (c *cluster) startClients(m *machine, count int, pause time.Duration, next func(rng *rand.Rand) call) {
	for i := range count {
		rng := rand.New(rand.NewPCG(uint64(len(m.name)), uint64(i)+uint64(len(c.machines))<<8))
		c.clients.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for c.stopped.Err() == nil && !m.gone.Load() {
				c.send(client, m, next(rng))
				time.Sleep(pause/2 + time.Duration(rng.Int64N(int64(pause))))
			}
		})
	}
}

// allAnswers returns what all clients saw.
func (c *cluster) allAnswers() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}
