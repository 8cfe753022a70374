package backendsim

// Faults makes a Server misbehave. The zero value is a server that works.
type Faults struct {
	// Frozen stops every answer and announcement. Requests that arrive meanwhile go
	// on when it ends, also if their callers have given up.
	Frozen bool `json:"frozen"`
	// CrashPayload is the payload that crashes the server; none if empty.
	CrashPayload string `json:"crash_payload"`
	// Healthy replaces the health answer.
	Healthy *bool `json:"healthy,omitempty"`
	// Utilization replaces the load answer, 0 to 1.
	Utilization *float64 `json:"utilization,omitempty"`
	// SlowFactor multiplies the service time; 0 is 1.
	SlowFactor float64 `json:"slow_factor"`
	// Shed is the share of requests, 0 to 1, that are refused without running.
	Shed float64 `json:"shed"`
	// Errors is the share of requests, 0 to 1, that run without effect and fail at once.
	Errors float64 `json:"errors"`
	// ChecksGrants replaces Config.ChecksGrants.
	ChecksGrants *bool `json:"checks_grants,omitempty"`
}
