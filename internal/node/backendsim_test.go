package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
)

// Header names of simProtocol.
const (
	simID       = "X-Id"
	simDeadline = "X-Deadline"
	simExpect   = "X-Expect"
	simNotRun   = "X-Not-Run"
	simCaller   = "X-Caller"
	simKey      = "X-Key"
	simSeal     = "X-Seal"
	simLimit    = "X-Limit"
	simLeaving  = "X-Leaving"
	simCold     = "X-Cold"
)

// simFault is a fault to inject into a request.
type simFault uint8

const (
	simNone        simFault = iota
	simDisconnect           // runs, and the connection closes without a response
	simTruncate             // runs, and the connection closes within the response
	simDecline              // declined without running
	simEndless              // runs, and sends a header without end until the connection closes
	simDribbleHead          // runs, and sends a header without end, a byte at a time
	simDribbleBody          // runs, and sends a body without end, a byte at a time
)

// backendSim is a simulated backend server. It sends heartbeats and serves the keys that it
// is granted.
type backendSim struct {
	id      string
	service string
	slots   int
	work    time.Duration
	server  *httptest.Server
	// every, if not 0, is the interval of its heartbeats, also after it was told to release keys.
	every time.Duration
	// announce sends a heartbeat; ok is false if there was no reply.
	announce func(hb grant.Heartbeat) (reply grant.Reply, ok bool)
	// checker, if not nil, checks what it is granted.
	checker *holdChecker

	mu        sync.Mutex
	startedMS int64
	sequence  uint64
	state     grant.State
	granted   []grant.Grant
	until     time.Time
	released  []grant.Release
	runs      map[string]int // by request id
	running   int
	quiet     bool // sends no heartbeats
	// limit, if not empty, is the limit that its responses name.
	limit string
	// silentHealth is set if its health check states neither a limit nor a leave.
	silentHealth bool
	// leaving is set if its responses say that it is leaving.
	leaving bool
	// coldMS, if not empty, is how long its health check says that it stays cold.
	coldMS string
	// arrivals are the times at which requests arrived.
	arrivals []time.Time
	// observe, if not nil, sees each request and may add to the header of its response.
	observe func(h http.Header, r *http.Request)
	// rawAnswer, if not nil, writes the answer to each request before its body is read.
	rawAnswer func(c net.Conn, head string)
	// body, if not nil, is the body of the responses.
	body []byte
	// endlessEnded counts the endless responses whose connection was closed.
	endlessEnded int
	// faults are injected into the next requests, one each.
	faults []simFault
	stop   chan struct{}
}

func newBackendSim(t *testing.T, id, service, heartbeats string) *backendSim {
	t.Helper()
	s := &backendSim{id: id, service: service, slots: 4, work: 5 * time.Millisecond, startedMS: 1, runs: map[string]int{}, stop: make(chan struct{})}
	s.announce = func(hb grant.Heartbeat) (grant.Reply, bool) { return announceHTTP(heartbeats, hb) }
	s.server = httptest.NewServer(s)
	go s.runHeartbeats()
	t.Cleanup(func() {
		close(s.stop)
		s.server.Close()
	})
	return s
}

// address returns its address, or "" if it serves no requests.
func (s *backendSim) address() string {
	if s.server == nil {
		return ""
	}
	return s.server.Listener.Addr().String()
}

// heartbeatEvery is the interval of the simulated heartbeats.
const heartbeatEvery = 120 * time.Millisecond

func (s *backendSim) runHeartbeats() {
	for {
		pause := heartbeatEvery
		if s.every > 0 {
			pause = s.every
		}
		if s.sendHeartbeat() && s.every == 0 {
			pause = 20 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-s.stop:
			return
		}
	}
}

// sendHeartbeat returns true if the reply took keys away, which the next heartbeat reports as
// released.
func (s *backendSim) sendHeartbeat() bool {
	s.mu.Lock()
	if s.quiet {
		s.mu.Unlock()
		return false
	}
	if time.Now().After(s.until) {
		s.granted = nil
	}
	s.sequence++
	hb := grant.Heartbeat{ID: s.id, StartedMS: s.startedMS, Address: s.address(), Service: s.service, Slots: s.slots, Sequence: s.sequence, State: s.state, Released: s.released}
	for _, g := range s.granted {
		hb.Holds = append(hb.Holds, grant.Hold{Span: g.Span, Fence: g.Fence})
	}
	s.mu.Unlock()
	sent := time.Now()
	reply, ok := s.announce(hb)
	if !ok || !reply.Renew {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quiet {
		return false // it has ended meanwhile
	}
	s.released = nil
	for _, old := range s.granted {
		for key := int(old.From); key <= int(old.To); key++ {
			if !covered(reply.Grants, uint16(key)) {
				end := key
				for end < int(old.To) && !covered(reply.Grants, uint16(end+1)) {
					end++
				}
				s.released = append(s.released, grant.Release{Span: keyrange.Span{From: uint16(key), To: uint16(end)}, Handover: fmt.Sprintf("%s-%d", s.id, key)})
				key = end
			}
		}
	}
	s.granted, s.until = reply.Grants, sent.Add(reply.Hold)
	if s.checker != nil {
		s.checker.record(s)
	}
	return len(s.released) > 0
}

// announceHTTP sends a heartbeat to an address.
func announceHTTP(address string, hb grant.Heartbeat) (reply grant.Reply, ok bool) {
	body, _ := json.Marshal(hb)
	resp, err := http.Post("http://"+address+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return reply, false
	}
	defer resp.Body.Close()
	return reply, json.NewDecoder(resp.Body).Decode(&reply) == nil
}

func covered(grants []grant.Grant, key uint16) bool {
	for _, g := range grants {
		if g.Contains(key) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *backendSim) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("X-Backend", s.id)
		if s.coldMS != "" {
			w.Header().Set(simCold, s.coldMS)
		}
		if !s.silentHealth {
			s.writeSignals(w.Header())
		}
		if s.state == grant.Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if s.sendRaw(w, r) {
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(simID)
	w.Header().Set(simID, id)
	key, hasKey := parseKey(r.Header.Get(simKey))
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.observe != nil {
		s.observe(w.Header(), r)
	}
	refusalStatus, fault := 0, simNone
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	switch {
	case r.Header.Get(simExpect) != s.id:
		refusalStatus = http.StatusMisdirectedRequest
	case hasKey && (!covered(s.granted, key) || time.Now().After(s.until)):
		refusalStatus = http.StatusMisdirectedRequest
	case s.running >= s.slots+8 || fault == simDecline:
		refusalStatus = http.StatusServiceUnavailable
	}
	if refusalStatus != 0 {
		s.writeSignals(w.Header())
		s.mu.Unlock()
		w.Header().Set(simNotRun, "1")
		w.WriteHeader(refusalStatus)
		return
	}
	s.running++
	s.runs[id]++
	work, fixedBody := s.work, s.body
	s.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running--
	s.writeSignals(w.Header())
	s.mu.Unlock()
	w.Header().Set(simSeal, s.id)
	switch fault {
	case simEndless:
		s.sendEndless(w, "HTTP/1.1 200 OK\r\n", "X-Fill: 0123456789012345678901234567890123456789\r\n", 0)
		return
	case simDribbleHead:
		s.sendEndless(w, "HTTP/1.1 200 OK\r\nX-Fill: ", "x", time.Millisecond)
		return
	case simDribbleBody:
		s.sendEndless(w, "HTTP/1.1 200 OK\r\n"+simID+": "+id+"\r\n"+simSeal+": "+s.id+"\r\nContent-Length: 500000\r\n\r\n", "x", time.Millisecond)
		return
	case simDisconnect:
		panic(http.ErrAbortHandler)
	case simTruncate:
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("part of an answer"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if fixedBody != nil {
		_, _ = w.Write(fixedBody)
		return
	}
	_, _ = w.Write([]byte(r.Header.Get(simCaller) + " " + r.RequestURI + " " + string(body)))
}

// writeSignals sets the headers that state a limit or a leave. s.mu must be held.
func (s *backendSim) writeSignals(h http.Header) {
	if s.limit != "" {
		h.Set(simLimit, s.limit)
	}
	if s.leaving {
		h.Set(simLeaving, "1")
	}
}

// incarnation returns the incarnation that its heartbeats name.
func (s *backendSim) incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return grant.Heartbeat{ID: s.id, StartedMS: s.startedMS}.Incarnation()
}

// nameLimit sets the limit that the responses name; an empty one ends it.
func (s *backendSim) nameLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// arrivedSince returns the number of requests that arrived since from.
func (s *backendSim) arrivedSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}

// holds reports whether key is granted to the backend server now.
func (s *backendSim) holds(key uint16) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return covered(s.granted, key) && time.Now().Before(s.until)
}

// injectFaults sets the faults of the next requests.
func (s *backendSim) injectFaults(faults ...simFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// ran returns how often the request with the given id ran.
func (s *backendSim) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// maxRuns returns the highest number of runs of any request.
func (s *backendSim) maxRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most
}

// send makes one client request and returns the status, body and headers of the response.
func send(ctx context.Context, method, address, path, id string, key int, body string) (int, string, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", nil, err
	}
	req.Host = "shop.example"
	req.Header.Set(simID, id)
	req.Header.Set(simKey, strconv.Itoa(key))
	req.Header.Set(simDeadline, "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header, err
}
