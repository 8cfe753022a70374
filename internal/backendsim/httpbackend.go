package backendsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/ownprotocol"
)

// httpHeaderTimeout closes connections that never send a request, and announceTimeout bounds
// an announcement; a node may hold the answer for some hundred milliseconds.
const (
	httpHeaderTimeout = 10 * time.Second
	announceTimeout   = 2 * time.Second
)

// HTTPConfig configures an HTTPBackend.
type HTTPConfig struct {
	// ID names the backend server.
	ID      string
	Service string
	// AnnounceURL is the base URL of the node's address for announcements.
	AnnounceURL string
	// Slots is the number of requests that run at once, and ServiceTime how long each takes.
	Slots       int
	ServiceTime time.Duration
	// AnnounceInterval is the time between two announcements; at most a fourth of the
	// shortest hold, or keys are lost between two of them.
	AnnounceInterval time.Duration
	Logger           *zap.Logger
}

// HTTPBackend is a backend server for nodes: it holds the keys that it is granted, answers
// requests for them, and refuses others.
type HTTPBackend struct {
	config HTTPConfig
	born   int64

	mu       sync.Mutex
	sequence uint64
	granted  []ownprotocol.Span
	until    time.Time
	released []ownprotocol.Span
	draining bool
	running  int
}

// NewHTTPBackend returns a backend server that holds nothing.
func NewHTTPBackend(config HTTPConfig) *HTTPBackend {
	return &HTTPBackend{config: config, born: time.Now().UnixMilli()}
}

// Serve answers requests and announces itself until ctx ends; then it gives its keys up, as
// far as drainTime allows.
func (b *HTTPBackend) Serve(ctx context.Context, l net.Listener, drainTime time.Duration) error {
	server := &http.Server{Handler: b, ReadHeaderTimeout: httpHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	ticker := time.NewTicker(b.config.AnnounceInterval)
	defer ticker.Stop()
	address := l.Addr().String()
	for {
		b.announce(address)
		select {
		case <-ticker.C:
			continue
		case err := <-failed:
			return err
		case <-ctx.Done():
		}
		break
	}
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	for end := time.Now().Add(drainTime); time.Now().Before(end) && b.announce(address) > 0; {
		time.Sleep(b.config.AnnounceInterval / 4)
	}
	b.post(ownprotocol.LeavePath, b.announcement(address))
	return server.Close()
}

// announce sends an announcement, takes the answer and returns the number of spans held.
func (b *HTTPBackend) announce(address string) int {
	sent := time.Now()
	reply, ok := b.post(ownprotocol.AnnouncePath, b.announcement(address))
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok || !reply.Renew {
		return len(b.granted)
	}
	b.released = nil
	for _, old := range b.granted {
		if !holds(reply.Grants, old) {
			b.released = append(b.released, ownprotocol.Span{From: old.From, To: old.To, Handover: fmt.Sprintf("%s-%d", b.config.ID, b.sequence)})
		}
	}
	b.granted, b.until = reply.Grants, sent.Add(time.Duration(reply.LastsMS)*time.Millisecond)
	return len(b.granted)
}

func holds(spans []ownprotocol.Span, s ownprotocol.Span) bool {
	for _, other := range spans {
		if other.From <= s.From && s.To <= other.To {
			return true
		}
	}
	return false
}

func (b *HTTPBackend) announcement(address string) ownprotocol.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return ownprotocol.Announcement{
		ID: b.config.ID, BornMS: b.born, Address: address, Service: b.config.Service, Slots: b.config.Slots,
		Draining: b.draining, Sequence: b.sequence, Holds: b.granted, Released: b.released,
	}
}

func (b *HTTPBackend) post(path string, a ownprotocol.Announcement) (ownprotocol.Reply, bool) {
	body, err := json.Marshal(a)
	if err != nil {
		b.config.Logger.Error("announcement cannot be encoded", zap.Error(err))
		return ownprotocol.Reply{}, false
	}
	client := http.Client{Timeout: announceTimeout}
	resp, err := client.Post(b.config.AnnounceURL+path, "application/json", bytes.NewReader(body))
	if err != nil {
		b.config.Logger.Info("announcement not delivered", zap.Error(err))
		return ownprotocol.Reply{}, false
	}
	defer resp.Body.Close()
	var reply ownprotocol.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		b.config.Logger.Warn("announcement not accepted", zap.Int("status", resp.StatusCode), zap.Error(err))
		return ownprotocol.Reply{}, false
	}
	return reply, true
}

// ServeHTTP implements http.Handler.
func (b *HTTPBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(ownprotocol.RequestIDHeader, r.Header.Get(ownprotocol.RequestIDHeader))
	h.Set(ownprotocol.BackendHeader, b.config.ID)
	if r.URL.Path == "/health" {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if status := b.begin(r); status != 0 {
		h.Set(ownprotocol.NotRunHeader, "1")
		w.WriteHeader(status)
		return
	}
	defer b.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(b.config.ServiceTime)
	fmt.Fprintf(w, "%s ran %s %s with %d bytes\n", b.config.ID, r.Method, r.RequestURI, len(body))
}

// begin takes a slot, or returns the status with which the request is refused.
func (b *HTTPBackend) begin(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if expected := r.Header.Get(ownprotocol.ExpectBackendHeader); expected != "" && expected != b.config.ID {
		return http.StatusMisdirectedRequest
	}
	if value := r.Header.Get(ownprotocol.KeyHeader); value != "" {
		key, err := strconv.ParseUint(value, 10, 16)
		k := ownprotocol.Span{From: uint16(key), To: uint16(key)}
		if err != nil || !holds(b.granted, k) || !time.Now().Before(b.until) {
			return http.StatusMisdirectedRequest
		}
	}
	if b.running >= b.config.Slots {
		return http.StatusServiceUnavailable
	}
	b.running++
	return 0
}

func (b *HTTPBackend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
