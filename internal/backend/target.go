package backend

import (
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
)

// Announcement is what a server process says about itself.
type Announcement struct {
	Service string
	// URL is the base URL of its BackendService.
	URL          string
	Slots        int
	ChecksGrants bool
	ProcessID    uint64
}

// target is one server process with its connections. Probes have their own, so that they
// do not wait for requests.
type target struct {
	Announcement
	requests, probes *http.Transport
	execute, probe   backendv1connect.BackendServiceClient
}

func newTarget(a Announcement, cfg Config) *target {
	t := &target{
		Announcement: a,
		requests:     newTransport(cfg, a.Slots+spareConns),
		probes:       newTransport(cfg, 1),
	}
	// The server is on the same instance, where compression costs more than it saves.
	options := connect.WithClientOptions(
		connect.WithReadMaxBytes(maxAnswerBytes), connect.WithAcceptCompression("gzip", nil, nil))
	t.execute = backendv1connect.NewBackendServiceClient(doer{t.requests}, a.URL, options)
	t.probe = backendv1connect.NewBackendServiceClient(doer{t.probes}, a.URL, options)
	return t
}

func newTransport(cfg Config, conns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		MaxIdleConns:        conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

func (t *target) close() {
	t.requests.CloseIdleConnections()
	t.probes.CloseIdleConnections()
}
