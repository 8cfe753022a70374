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

	"github.com/basilway/basilway/internal/httpprotocol"
)

const (
	// httpHeaderTimeout closes connections that never send a request.
	httpHeaderTimeout = 10 * time.Second
	// announceTimeout bounds an announcement. A router may delay its response by some hundred
	// milliseconds.
	announceTimeout = 2 * time.Second
)

// HTTPConfig configures an HTTPBackend.
type HTTPConfig struct {
	// ID names the backend server.
	ID      string
	Service string
	// AnnounceURL is the base URL of the router's listener for announcements.
	AnnounceURL string
	// Slots is the number of requests that run at a time, ServiceTime how long each takes.
	Slots       int
	ServiceTime time.Duration
	// AnnounceInterval is the time between announcements. It must be at most a fourth of
	// the shortest grant, or grants end between two announcements.
	AnnounceInterval time.Duration
	// Limit is the limit in requests a second that the responses name; 0 for none.
	Limit  float64
	Logger *zap.Logger
}

// HTTPBackend is a stand-in for an HTTP backend server. It serves requests for the keys that a
// router grants it and refuses others.
type HTTPBackend struct {
	config    HTTPConfig
	startedMS int64

	mu           sync.Mutex
	sequence     uint64
	granted      []httpprotocol.Span
	grantedUntil time.Time
	released     []httpprotocol.Span
	draining     bool
	running      int
}

// NewHTTPBackend returns a backend server without granted keys.
func NewHTTPBackend(config HTTPConfig) *HTTPBackend {
	return &HTTPBackend{config: config, startedMS: time.Now().UnixMilli()}
}

// Serve serves requests on l and announces the backend server until ctx ends. Then it
// announces that it is draining until it has no granted keys, for at most drainTime, and
// stops.
func (b *HTTPBackend) Serve(ctx context.Context, l net.Listener, drainTime time.Duration) error {
	server := &http.Server{Handler: b, ReadHeaderTimeout: httpHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	ticker := time.NewTicker(b.config.AnnounceInterval)
	defer ticker.Stop()
	address := l.Addr().String()
	for {
		b.announce(address)
		select {
		case <-ticker.C:
			continue
		case err := <-serveErr:
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
	b.post(httpprotocol.LeavePath, b.announcement(address))
	return server.Close()
}

// announce sends an announcement, applies the reply and returns the number of spans that are
// granted now.
func (b *HTTPBackend) announce(address string) int {
	sent := time.Now()
	reply, ok := b.post(httpprotocol.AnnouncePath, b.announcement(address))
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok || !reply.Renew {
		return len(b.granted)
	}
	b.released = nil
	for _, old := range b.granted {
		if !covers(reply.Grants, old) {
			b.released = append(b.released, httpprotocol.Span{From: old.From, To: old.To, Handover: fmt.Sprintf("%s-%d", b.config.ID, b.sequence)})
		}
	}
	b.granted, b.grantedUntil = reply.Grants, sent.Add(time.Duration(reply.LastsMS)*time.Millisecond)
	return len(b.granted)
}

func covers(spans []httpprotocol.Span, s httpprotocol.Span) bool {
	for _, other := range spans {
		if other.From <= s.From && s.To <= other.To {
			return true
		}
	}
	return false
}

func (b *HTTPBackend) announcement(address string) httpprotocol.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return httpprotocol.Announcement{
		ID: b.config.ID, BornMS: b.startedMS, Address: address, Service: b.config.Service, Slots: b.config.Slots,
		Draining: b.draining, Sequence: b.sequence, Holds: b.granted, Released: b.released,
	}
}

func (b *HTTPBackend) post(path string, a httpprotocol.Announcement) (httpprotocol.Reply, bool) {
	body, err := json.Marshal(a)
	if err != nil {
		b.config.Logger.Error("announcement cannot be encoded", zap.Error(err))
		return httpprotocol.Reply{}, false
	}
	client := http.Client{Timeout: announceTimeout}
	resp, err := client.Post(b.config.AnnounceURL+path, "application/json", bytes.NewReader(body))
	if err != nil {
		b.config.Logger.Info("announcement not delivered", zap.Error(err))
		return httpprotocol.Reply{}, false
	}
	defer resp.Body.Close()
	var reply httpprotocol.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		b.config.Logger.Warn("announcement not accepted", zap.Int("status", resp.StatusCode), zap.Error(err))
		return httpprotocol.Reply{}, false
	}
	return reply, true
}

// ServeHTTP implements http.Handler.
func (b *HTTPBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(httpprotocol.RequestIDHeader, r.Header.Get(httpprotocol.RequestIDHeader))
	h.Set(httpprotocol.BackendHeader, b.config.ID)
	if b.config.Limit > 0 {
		h.Set(httpprotocol.LimitHeader, strconv.FormatFloat(b.config.Limit, 'f', -1, 64))
	}
	b.mu.Lock()
	if b.draining {
		h.Set(httpprotocol.LeavingHeader, "1")
	}
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if status := b.acquireSlot(r); status != 0 {
		h.Set(httpprotocol.NotRunHeader, "1")
		w.WriteHeader(status)
		return
	}
	defer b.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(b.config.ServiceTime)
	fmt.Fprintf(w, "%s ran %s %s with %d bytes\n", b.config.ID, r.Method, r.RequestURI, len(body))
}

// acquireSlot takes a slot and returns 0, or returns the HTTP status with which to refuse the
// request.
func (b *HTTPBackend) acquireSlot(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if expected := r.Header.Get(httpprotocol.ExpectBackendHeader); expected != "" && expected != b.config.ID {
		return http.StatusMisdirectedRequest
	}
	if value := r.Header.Get(httpprotocol.KeyHeader); value != "" {
		key, err := strconv.ParseUint(value, 10, 16)
		span := httpprotocol.Span{From: uint16(key), To: uint16(key)}
		if err != nil || !covers(b.granted, span) || !time.Now().Before(b.grantedUntil) {
			return http.StatusMisdirectedRequest
		}
	}
	if b.running >= b.config.Slots {
		return http.StatusServiceUnavailable
	}
	b.running++
	return 0
}

func (b *HTTPBackend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
