package backend

import (
	"time"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
)

// Grant proves to the backend server that this daemon owns the key.
type Grant struct {
	Instance    string
	Incarnation uint64
	// Epoch is the cluster version at which the owner was set.
	Epoch      uint64
	RangeStart uint64
	// NotAfter is when the grant ends by this instance's wall clock.
	NotAfter time.Time
}

// Request is one request for the backend server. The deadline is that of the context.
type Request struct {
	Service    string
	Key        string
	Method     string
	Team       string
	RequestID  string
	Payload    []byte
	Idempotent bool
	Grant      Grant
	// Fingerprint identifies the request for the quarantine; see Notice.Lost.
	Fingerprint uint64
	// StillOwned reports whether the lease is valid now. It is called right before and
	// right after the request is written; nil means always. It must not block.
	StillOwned func() bool
}

// Result is the answer of the backend server.
type Result struct {
	Payload []byte
	// Took is the time from the start of Execute to the answer.
	Took time.Duration
}

// LostRequest is a request whose connection broke when the server went down.
type LostRequest struct {
	RequestID   string
	Fingerprint uint64
}

func (r *Request) owned() bool { return r.StillOwned == nil || r.StillOwned() }

func (r *Request) toWire() *backendv1.ExecuteRequest {
	return &backendv1.ExecuteRequest{
		Service: r.Service, Key: r.Key, Method: r.Method, Team: r.Team,
		RequestId: r.RequestID, Payload: r.Payload, Idempotent: r.Idempotent,
		Grant: &backendv1.Grant{
			Instance: r.Grant.Instance, Incarnation: r.Grant.Incarnation, Epoch: r.Grant.Epoch,
			RangeStart: r.Grant.RangeStart, NotAfterUs: r.Grant.NotAfter.UnixMicro(),
		},
	}
}
