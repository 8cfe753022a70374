package node

import (
	"net/http"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/httproute"
)

// Headers are the names of the HTTP headers that the node reads or sets.
type Headers struct {
	// RequestID identifies one try of a client.
	RequestID string
	// DeadlineMS is how many milliseconds the caller waits for the response.
	DeadlineMS string
	// ExpectBackend is the id of the backend server that the request is for. Any other one
	// refuses it.
	ExpectBackend string
	// NotRun marks a response of a backend server that did not run the request.
	NotRun string
	// Caller is the service of the instance that the request comes from.
	Caller string
	// Backend is the id of the backend server that responds.
	Backend string
	// Key is the request's key, a number.
	Key string
	// Limit is how many requests a second a backend server takes from all nodes together, a
	// decimal number. It holds until a response without it.
	Limit string
	// Leaving is 1 in the responses of a backend server that is leaving.
	Leaving string
	// ColdMS is how many milliseconds longer the backend server that responds is cold. It is in
	// responses to health checks.
	ColdMS string
	// Load states the load of the backend server that responds: running and waiting requests, slots,
	// and, from some, how long work takes at present in percent of the usual time.
	Load string
	// FractionalRetryAfter is set if clients read fractions of a second in Retry-After.
	// RFC 9110 knows whole seconds only.
	FractionalRetryAfter bool
}

// Protocol translates between the platform's messages and this module's types.
type Protocol interface {
	Headers() Headers
	// DesiredState decodes the operator's routes, services and limits.
	DesiredState(data []byte) (httproute.Snapshot, error)
	// DesiredStateRow returns the key of the store's row that holds the desired state.
	DesiredStateRow() string
	// EvacuationRows returns the prefix of the keys of the rows with which operators evacuate
	// availability zones, whose names follow it. They are in the table of the desired state. It is
	// empty if there are none.
	EvacuationRows() string
	// Announcement decodes a call of the backend server. leave is set if the call ends the
	// backend server's membership; otherwise it is a heartbeat.
	Announcement(r *http.Request) (hb grant.Heartbeat, leave bool, err error)
	// WriteReply writes the reply to an announcement.
	WriteReply(w http.ResponseWriter, reply grant.Reply)
	// ReplyLimit returns how many bytes the grants of a reply may take, and how many a grant takes. size is nil if
	// there is no limit.
	ReplyLimit() (bytes int, size func(grant.Grant) int)
	// ReadyPath returns the http.ServeMux pattern of the readiness check.
	ReadyPath() string
}
