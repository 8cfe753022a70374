package backendsim

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
)

// announce announces the server to the daemon until the server stops, except while it is
// frozen.
func (s *Server) announce() {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := backendv1connect.NewAnnounceServiceClient(&http.Client{Transport: transport}, s.cfg.AnnounceURL)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	ticker := time.NewTicker(s.cfg.AnnounceInterval)
	defer ticker.Stop()
	for {
		if !s.gate.frozen() {
			s.announceOnce(ctx, client)
		}
		select {
		case <-ticker.C:
		case <-s.stopped:
			return
		}
	}
}

func (s *Server) announceOnce(ctx context.Context, client backendv1connect.AnnounceServiceClient) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.AnnounceInterval)
	defer cancel()
	_, err := client.Announce(ctx, connect.NewRequest(&backendv1.AnnounceRequest{
		Service:      s.cfg.Service,
		Url:          s.URL(),
		Slots:        uint32(s.cfg.Slots),
		ChecksGrants: s.checksGrants(),
		ProcessId:    s.processID,
	}))
	if err != nil {
		s.cfg.Logger.Debug("announcement to the daemon failed", zap.Error(err))
	}
}
