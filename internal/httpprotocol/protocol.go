// Package httpprotocol implements the protocol that a node uses outside the users' platform
// with backend servers, clients and operators: HTTP headers, JSON announcements, and the
// routes of the catalogue.
package httpprotocol

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/node"
	"github.com/basilway/basilway/internal/routestore"
)

// The headers of requests and responses.
const (
	RequestIDHeader     = "Basilway-Request-Id"
	TimeoutHeader       = "Basilway-Timeout-Ms"
	ExpectBackendHeader = "Basilway-Expect-Backend"
	NotRunHeader        = "Basilway-Not-Run"
	CallerHeader        = "Basilway-Caller"
	BackendHeader       = "Basilway-Backend"
	KeyHeader           = "Basilway-Key"
	// LimitHeader names how many requests a second a backend server takes from all routers
	// together. It holds until a response without it.
	LimitHeader = "Basilway-Limit"
	// LeavingHeader is 1 in the responses of a backend server that is leaving.
	LeavingHeader = "Basilway-Leaving"
)

// The paths at the node's address for announcements. A backend server posts an Announcement
// to AnnouncePath, or to LeavePath when it ends its membership.
const (
	AnnouncePath = "/v1/announce"
	LeavePath    = "/v1/leave"
)

// maxAnnouncementBytes limits the size of an announcement; one with 65,536 spans fits.
const maxAnnouncementBytes = 8 << 20

// Protocol implements node.Protocol.
type Protocol struct{}

var _ node.Protocol = Protocol{}

// Headers implements node.Protocol.
func (Protocol) Headers() node.Headers {
	return node.Headers{
		RequestID: RequestIDHeader, DeadlineMS: TimeoutHeader, ExpectBackend: ExpectBackendHeader, NotRun: NotRunHeader,
		Caller: CallerHeader, Backend: BackendHeader, Key: KeyHeader, Limit: LimitHeader, Leaving: LeavingHeader,
	}
}

// DesiredStateRow implements node.Protocol.
func (Protocol) DesiredStateRow() string { return routestore.Row }

// EvacuationRows implements node.Protocol. Deployments outside the users' platform have none.
func (Protocol) EvacuationRows() string { return "" }

// DesiredState implements node.Protocol.
func (Protocol) DesiredState(data []byte) (httproute.Snapshot, error) {
	document, err := httproute.ParseDocument(data)
	if err != nil {
		return httproute.Snapshot{}, err
	}
	return document.Snapshot()
}

// ReplyLimit implements node.Protocol. Replies have no limit.
func (Protocol) ReplyLimit() (bytes int, size func(grant.Grant) int) { return 0, nil }

// ReadyPath implements node.Protocol.
func (Protocol) ReadyPath() string { return "GET /readyz" }

// Announcement implements node.Protocol.
func (Protocol) Announcement(r *http.Request) (grant.Heartbeat, bool, error) {
	if r.Method != http.MethodPost || r.URL.Path != AnnouncePath && r.URL.Path != LeavePath {
		return grant.Heartbeat{}, false, fmt.Errorf("%s %s; POST %s or %s is expected", r.Method, r.URL.Path, AnnouncePath, LeavePath)
	}
	var a Announcement
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		return grant.Heartbeat{}, false, fmt.Errorf("announcement: %w", err)
	}
	hb, err := a.heartbeat()
	return hb, r.URL.Path == LeavePath, err
}

// WriteReply implements node.Protocol.
func (Protocol) WriteReply(w http.ResponseWriter, reply grant.Reply) {
	w.Header().Set("Content-Type", "application/json")
	// A write error needs no handling: a backend server that has gone does not need the
	// reply, and any other announces itself again.
	_ = json.NewEncoder(w).Encode(newReply(reply))
}
