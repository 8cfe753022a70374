package node

import (
	"net/http"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/httproute"
)

// Headers are the names of the headers that the node reads or sets.
type Headers struct {
	// RequestID identifies one try of a client.
	RequestID string
	// DeadlineMS is how many milliseconds the caller waits.
	DeadlineMS string
	// ExpectBackend makes any other backend server refuse the request.
	ExpectBackend string
	// NotRun marks an answer of a backend server that did not run the request.
	NotRun string
	// Caller is the service from whose instance the request comes.
	Caller string
	// Backend is the id of the backend server that answers.
	Backend string
	// Key is the number of the request's key.
	Key string
}

// Protocol translates between the platform's messages and the product's types.
type Protocol interface {
	Headers() Headers
	// DesiredState decodes the operator's routes, services and limits.
	DesiredState(data []byte) (httproute.Snapshot, error)
	// DesiredStateRow is the key of the store's row that holds them.
	DesiredStateRow() string
	// Announcement decodes a call of the backend server. leave is set if it ends its
	// membership.
	Announcement(r *http.Request) (hb grant.Heartbeat, leave bool, err error)
	// WriteReply acknowledges a heartbeat.
	WriteReply(w http.ResponseWriter, reply grant.Reply)
	// ReadyPath is the path of the readiness check.
	ReadyPath() string
}
