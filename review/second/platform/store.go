package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/basilway/basilway/platform/standin"
)

// storeAnswerTime is how long the store takes for an answer, as on the sheet of the deployment.
const storeAnswerTime = 4 * time.Millisecond

// store is the platform's store: the project's stand-in behind one front for each machine.
type store struct {
	*record
	inner  *standin.Store
	fronts []*front

	mu   sync.Mutex
	down bool
	// late, if not nil, is asked about each write. If it returns a channel, the write gets no answer, and is done
	// once the channel is closed, if its condition still holds.
	late func(f *front, keys []string) <-chan struct{}
	// writes and lateWrites count the calls that write while late is set.
	writes, lateWrites int
}

func newStore(r *record) *store { return &store{record: r, inner: standin.NewStore()} }

// front is the address at which a machine reaches the store.
type front struct {
	store   *store
	name    string
	address string
	server  *http.Server

	mu sync.Mutex
	// refuses is set while the store turns the machine away with 503.
	refuses bool
}

func (s *store) listen(name, address string) (*front, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &front{store: s, name: name, address: address}
	f.server = &http.Server{Handler: f}
	s.fronts = append(s.fronts, f)
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (s *store) close() {
	for _, f := range s.fronts {
		f.server.Close()
	}
}

// refuse turns the machine away with 503, or serves it again.
func (f *front) refuse(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = refuses
	f.store.linef("the store turns %s away: %t", f.name, refuses)
}

// setDown makes the store unavailable for all machines, or available again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.linef("the store is down: %t", down)
}

// setLate sets which writes are done late.
func (s *store) setLate(late func(f *front, keys []string) <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late == nil {
		s.linef("writes done late: %d of %d", s.lateWrites, s.writes)
	}
	s.late = late
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	f.mu.Lock()
	refuses := f.refuses
	f.mu.Unlock()
	f.store.mu.Lock()
	refuses = refuses || f.store.down
	f.store.mu.Unlock()
	if refuses {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if !strings.HasSuffix(r.URL.Path, "/rows-tx") {
		f.store.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if do := f.store.lateWrite(f, body); do != nil {
		go f.store.writeLate(r, body, do)
		<-r.Context().Done() // the call gets no answer
		panic(http.ErrAbortHandler)
	}
	f.store.inner.ServeHTTP(w, r)
}

// lateWrite returns the channel that says when to do a write, nil if it is done at once.
func (s *store) lateWrite(f *front, body []byte) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil {
		return nil
	}
	s.writes++
	do := s.late(f, writtenKeys(body))
	if do != nil {
		s.lateWrites++
	}
	return do
}

// writeLate does a write whose caller got no answer.
func (s *store) writeLate(r *http.Request, body []byte, do <-chan struct{}) {
	received := time.Now()
	<-do
	call := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body)).WithContext(context.Background())
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, call)
	s.linef("the store does a write %.1f s after it got it, without an answer: %d", time.Since(received).Seconds(), answer.Code)
}

// writtenKeys returns the keys of the rows that a transaction sets or removes.
func writtenKeys(body []byte) []string {
	var txn struct {
		Set []struct {
			Key string `json:"key"`
		} `json:"set_keys"`
		Remove []struct {
			Key string `json:"key"`
		} `json:"remove"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return nil
	}
	var out []string
	for _, row := range txn.Set {
		out = append(out, row.Key)
	}
	for _, row := range txn.Remove {
		out = append(out, row.Key)
	}
	return out
}

// writesKeys reports whether one of the rows is of the table of a service's keys.
func writesKeys(keys []string) bool {
	for _, key := range keys {
		if strings.HasPrefix(key, "keys/") {
			return true
		}
	}
	return false
}
