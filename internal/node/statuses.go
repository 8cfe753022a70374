package node

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/backendstatus"
	"github.com/basilway/basilway/grant"
)

// limitHintHeader carries the limit that the sender of a forwarded request knows for the
// backend server, so that it holds after a restart of the node beside that server.
const limitHintHeader = "Basilway-Limit-Hint"

// backendReport decodes what a backend server states in the headers of a response.
func (h Headers) backendReport(header http.Header) (backendstatus.Report, error) {
	r := backendstatus.Report{Leaving: h.Leaving != "" && header.Get(h.Leaving) == "1"}
	value := header.Get(h.Limit)
	if h.Limit == "" || value == "" {
		return r, nil
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || !validLimit(limit) {
		return r, fmt.Errorf("header %s is %q; requests a second are expected, a number of at least 0", h.Limit, value)
	}
	r.Limited, r.Limit = true, limit
	return r, nil
}

func validLimit(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 0) }

// statuses is what the backend servers that this node uses have stated, by incarnation. It is
// safe for concurrent use.
type statuses struct {
	mu    sync.Mutex
	now   func() time.Time
	table *backendstatus.Table
}

func newStatuses(now func() time.Time) *statuses {
	return &statuses{now: now, table: backendstatus.NewTable()}
}

func (s *statuses) observe(incarnation string, r backendstatus.Report, sentAt time.Time) (limitChanged, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Observe(incarnation, r, sentAt, s.now())
}

func (s *statuses) hint(incarnation string, limit float64) (limitChanged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Hint(incarnation, limit, s.now())
}

func (s *statuses) limit(incarnation string) (perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Limit(incarnation)
}

// leavingFor returns how long it is known that an incarnation leaves, and false if it isn't
// known to leave.
func (s *statuses) leavingFor(incarnation string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LeavingFor(incarnation, s.now())
}

// observeResponse records what a backend server states in its response to a request that was
// sent at sentAt, by Node.now. The response may have come through another node. Only one that
// succeeded ends a limit.
func (n *Node) observeResponse(incarnation, requestID string, resp *http.Response, sentAt time.Time) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		sentAt = time.Time{}
	}
	n.observeHeader(incarnation, requestID, resp.Header, sentAt)
}

// observeHeader records what a response states, as observeResponse does. With a zero sentAt it
// ends no limit.
func (n *Node) observeHeader(incarnation, requestID string, header http.Header, sentAt time.Time) {
	report, err := n.headers.backendReport(header)
	if err != nil {
		n.events.request("invalid header of backend server ignored", requestID, zap.String("backend", incarnation), zap.Error(err))
		return
	}
	if percent, ok := n.headers.workPercent(header); ok {
		n.backend.capacity.observe(incarnation, percent)
	}
	limitChanged, leaves := n.statuses.observe(incarnation, report, sentAt)
	if !limitChanged && !leaves {
		return
	}
	n.events.request("backend server states limit or leave", requestID, zap.String("backend", incarnation),
		zap.Bool("limited", report.Limited), zap.Float64("requests a second", report.Limit), zap.Bool("leaving", report.Leaving))
	if n.backend.owner().Incarnation != incarnation {
		return
	}
	n.backend.applyLimit(incarnation)
	if leaves {
		n.backend.markLeaving(grant.IncarnationID(incarnation))
	}
}

// applyLimit makes the request queue keep the limit of the local backend server.
func (b *backend) applyLimit(incarnation string) {
	if limit, limited := b.node.statuses.limit(incarnation); limited {
		b.queue.setRateLimit(limit)
	} else {
		b.queue.removeRateLimit()
	}
}

// setLimitHint adds the limit of the backend server that a request is forwarded to, if one is
// known.
func (n *Node) setLimitHint(h http.Header, incarnation string) {
	if limit, limited := n.statuses.limit(incarnation); limited {
		h.Set(limitHintHeader, strconv.FormatFloat(limit, 'g', -1, 64)+","+incarnation)
	}
}

// applyLimitHint removes the hint from a forwarded request and records it, unless the backend
// server has responded to this process already.
func (n *Node) applyLimitHint(h http.Header) {
	value := h.Get(limitHintHeader)
	if value == "" {
		return
	}
	h.Del(limitHintHeader)
	number, incarnation, _ := strings.Cut(value, ",")
	limit, err := strconv.ParseFloat(number, 64)
	if err != nil || !validLimit(limit) || incarnation == "" {
		n.log.Warn("limit of another node ignored", zap.String("hint", value))
		return
	}
	if n.backend.owner().Incarnation == incarnation && n.statuses.hint(incarnation, limit) {
		n.log.Info("limit of backend server learned from another node", zap.String("backend", incarnation), zap.Float64("requests a second", limit))
		n.backend.applyLimit(incarnation)
	}
}
