package backend

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"connectrpc.com/connect"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
)

// maxSlots is the largest number of slots that a server can have; announced numbers above
// it are reduced to it.
const maxSlots = 4096

type announceServer struct{ client *Client }

// NewAnnounceHandler returns the path and the handler of an AnnounceService that passes
// announcements to c.
func NewAnnounceHandler(c *Client, opts ...connect.HandlerOption) (string, http.Handler) {
	return backendv1connect.NewAnnounceServiceHandler(announceServer{c}, opts...)
}

// Announce implements AnnounceServiceHandler.
func (s announceServer) Announce(_ context.Context, req *connect.Request[backendv1.AnnounceRequest]) (*connect.Response[backendv1.AnnounceResponse], error) {
	a := Announcement{
		Service:      req.Msg.GetService(),
		URL:          req.Msg.GetUrl(),
		Slots:        int(min(req.Msg.GetSlots(), maxSlots)),
		ChecksGrants: req.Msg.GetChecksGrants(),
		ProcessID:    req.Msg.GetProcessId(),
	}
	if err := s.client.validate(a); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.client.Announce(a)
	return connect.NewResponse(&backendv1.AnnounceResponse{Instance: s.client.cfg.Instance}), nil
}

func (c *Client) validate(a Announcement) error {
	if a.Service == "" || c.cfg.Service != "" && a.Service != c.cfg.Service {
		return fmt.Errorf("service %q is not served by this daemon", a.Service)
	}
	if a.Slots == 0 {
		return fmt.Errorf("a server needs at least one slot")
	}
	u, err := url.Parse(a.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("url %q is not an http URL", a.URL)
	}
	return nil
}
