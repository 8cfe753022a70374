package backend

import (
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
)

// Announcement describes a server process, as announced by itself.
type Announcement struct {
	Service string
	// URL is the base URL of its BackendService.
	URL string
	// Slots is the number of requests that the server runs at a time.
	Slots        int
	ChecksGrants bool
	// ProcessID differs between processes of the server.
	ProcessID uint64
}

// target is a server process with the connections to it. Probes have a transport of their
// own, so that they do not wait for requests.
type target struct {
	Announcement
	requestTransport, probeTransport *http.Transport
	requestClient, probeClient       backendv1connect.BackendServiceClient
}

func newTarget(a Announcement, cfg Config) *target {
	t := &target{
		Announcement:     a,
		requestTransport: newTransport(cfg, a.Slots+spareConns),
		probeTransport:   newTransport(cfg, 1),
	}
	// The server runs on the same instance, where compression costs more than it saves.
	options := connect.WithClientOptions(
		connect.WithReadMaxBytes(maxResponseBytes), connect.WithAcceptCompression("gzip", nil, nil))
	t.requestClient = backendv1connect.NewBackendServiceClient(doer{t.requestTransport}, a.URL, options)
	t.probeClient = backendv1connect.NewBackendServiceClient(doer{t.probeTransport}, a.URL, options)
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
	t.requestTransport.CloseIdleConnections()
	t.probeTransport.CloseIdleConnections()
}
