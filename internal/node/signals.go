package node

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"
)

// signals is what a backend server states about itself in the headers of a response.
type signals struct {
	// limited is set if the backend server names a limit: it takes limit requests a second
	// from all nodes together.
	limited bool
	limit   float64
	// leaving is set if the backend server is about to end.
	leaving bool
}

// signals decodes the headers of a backend server's response.
func (h Headers) signals(header http.Header) (signals, error) {
	s := signals{leaving: h.Leaving != "" && header.Get(h.Leaving) == "1"}
	value := header.Get(h.Limit)
	if h.Limit == "" || value == "" {
		return s, nil
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		return s, fmt.Errorf("header %s is %q; requests a second are expected, a number of at least 0", h.Limit, value)
	}
	s.limited, s.limit = true, limit
	return s, nil
}

// observeSignals records what the backend server states in a response to the request with the
// given id.
func (b *backend) observeSignals(incarnation, requestID string, header http.Header) {
	s, err := b.node.headers.signals(header)
	if err != nil {
		b.node.events.request("invalid header of backend server ignored", requestID, zap.String("backend", incarnation), zap.Error(err))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stated == s {
		return
	}
	b.log.Info("backend server states limit or leave", zap.String("backend", incarnation), zap.String("request", requestID),
		zap.Bool("limited", s.limited), zap.Float64("requests a second", s.limit), zap.Float64("before", b.stated.limit), zap.Bool("leaving", s.leaving))
	b.stated = s
}
