package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached an endpoint and was run.
type arrival struct {
	endpoint, request, caller string
	at                        time.Time
}

// endpoint is an application endpoint without keys.
type endpoint struct {
	id       string
	machine  *machine
	work     time.Duration
	record   *record
	server   *http.Server
	sequence int

	mu       sync.Mutex
	loses    bool // two of five answers are lost after their requests ran
	ranSince int  // requests that ran since
	arrivals []arrival
}

// heartbeatInterval is that of the settings.
const heartbeatInterval = 870 * time.Millisecond

func startEndpoint(m *machine, work time.Duration) (*endpoint, error) {
	l, err := net.Listen("tcp", m.address(appPort))
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: fmt.Sprintf("i-%08x", rand.Uint32()), machine: m, work: work, record: m.record}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }() // ends with the endpoint
	go e.beat()
	e.record.write("endpoint %s of %s started on %s", e.id, m.service, m.name)
	return e, nil
}

func (e *endpoint) beat() {
	for ; ; time.Sleep(heartbeatInterval) {
		e.heartbeat()
	}
}

// heartbeat sends a heartbeat.
func (e *endpoint) heartbeat() {
	e.sequence++
	body, err := json.Marshal(map[string]any{
		"address": e.machine.address(appPort),
		"info":    map[string]any{"service": e.machine.service, "version": "v1", "zone": e.machine.zone, "slots": 6},
		"status":  map[string]any{"state": "ready", "sequence": e.sequence, "cold_remaining_ms": 0},
	})
	if err != nil {
		panic(err) // the value above can always be encoded
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+e.machine.address(controlPort)+"/-/instances/"+e.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		e.record.write("heartbeat of %s: %v", e.id, err)
		return
	}
	resp.Body.Close()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the request is not complete
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{e.id, id, r.Header.Get("Caller-Service"), time.Now()})
	lost := false
	if e.loses {
		e.ranSince++
		lost = e.ranSince%5 == 3 || e.ranSince%5 == 0
	}
	e.mu.Unlock()
	e.record.write("endpoint %s runs %s: %s %s", e.id, id, r.Method, r.RequestURI)
	time.Sleep(e.work)
	if lost {
		e.record.write("endpoint %s loses its answer to %s", e.id, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Instance-Load", "1,0,6")
	fmt.Fprintf(w, "answer to %s", id)
}

// lose makes the endpoint lose two of five answers, or none.
func (e *endpoint) lose(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loses, e.ranSince = on, 0
}

// ran returns the requests that the endpoint ran.
func (e *endpoint) ran() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// try is one attempt of a client.
type try struct {
	id      string
	machine *machine
	sent    time.Time
	status  int // 0 without an answer
}

// send sends a request from a client of a machine, on a new connection.
func send(m *machine, method, path string, deadline time.Duration) try {
	t := try{id: fmt.Sprintf("%016x", rand.Uint64()), machine: m, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+m.address(outboundPort)+path, nil)
	if err != nil {
		panic(err) // paths are constants
	}
	req.Host = host
	req.Header.Set("Attempt-Id", t.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		m.record.write("client of %s: %s %s %s: no answer: %v", m.name, t.id, method, path, err)
		return t
	}
	t.status = resp.StatusCode
	m.record.write("client of %s: %s %s %s: %d", m.name, t.id, method, path, t.status)
	return t
}

// traffic sends requests from the clients of some machines until it is ended.
type traffic struct {
	mu    sync.Mutex
	tries map[string]try
	stop  chan struct{}
	done  sync.WaitGroup
}

// startTraffic sends requests at an interval from each machine.
func startTraffic(machines []*machine, method, path string, interval, deadline time.Duration) *traffic {
	t := &traffic{tries: map[string]try{}, stop: make(chan struct{})}
	for _, m := range machines {
		t.done.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-t.stop:
					return
				case <-ticker.C:
				}
				t.done.Go(func() {
					result := send(m, method, path, deadline)
					t.mu.Lock()
					defer t.mu.Unlock()
					t.tries[result.id] = result
				})
			}
		})
	}
	return t
}

func (t *traffic) end() map[string]try {
	close(t.stop)
	t.done.Wait()
	return t.tries
}
