package backend

import (
	"time"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
)

// Grant proves to the backend server that this daemon owns the range of the key.
type Grant struct {
	Instance    string
	Incarnation uint64
	// Epoch is the cluster version at which the owner was set.
	Epoch      uint64
	RangeStart uint64
	// NotAfter is when the grant ends, by the wall clock of this instance.
	NotAfter time.Time
}

// Request is a request to the backend server. Its deadline is that of the context.
type Request struct {
	Service    string
	Key        string
	Method     string
	Team       string
	RequestID  string
	Payload    []byte
	Idempotent bool
	Grant      Grant
	// Fingerprint identifies the request for the quarantine; LostRequest contains it.
	Fingerprint uint64
	// StillOwned reports whether the lease is valid now. It is called immediately before
	// and after the request is written, and must not block. Nil means always valid.
	StillOwned func() bool
}

// Result is the response of the backend server.
type Result struct {
	Payload []byte
	// Duration is the time from the start of Execute to the response.
	Duration time.Duration
}

// LostRequest is a request whose connection broke shortly before or after the server went
// down.
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
